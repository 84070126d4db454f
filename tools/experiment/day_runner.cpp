#include "tools/experiment/day_runner.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace figwinch::experiment {

std::vector<std::vector<day_result>>
play_days(const std::vector<setup>& setups, const day_range& range,
          const std::function<void(std::size_t played, std::size_t of)>& progress) {
    std::vector<std::vector<day_result>> days(setups.size(), std::vector<day_result>(range.seeds));
    const std::size_t count = setups.size() * range.seeds;
    std::atomic<std::size_t> next = 0;
    std::mutex told;
    std::size_t played = 0;
    const auto play = [&] {
        for (std::size_t at = next++; at < count; at = next++) {
            const std::size_t side = at / range.seeds;
            const std::size_t offset = at % range.seeds;
            days[side][offset] = play_day(setups[side], range.first_seed + offset);
            const std::lock_guard lock(told);
            progress(++played, count);
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t thread = 0; thread < range.threads; ++thread)
        threads.emplace_back(play);
    threads.clear();
    return days;
}

} // namespace figwinch::experiment
