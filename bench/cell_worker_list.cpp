// What a coordinator spends on a second of workers' entries, by the number of workers, each of
// which writes once: taking the answer apart, folding entries that say nothing new or something
// else, and handing a changed list on. Reading over the link isn't in it; its bytes are.

#include "bench/bench_report.h"
#include "cell_host/worker_list.h"
#include "platform/store_records.h"
#include "platform/worker_codec.h"
#include "tests/cell_host/fake_platform.h"

namespace figwinch {
namespace {

constexpr int runs = 15;

/// Reads entries as the platform does.
class listing_platform final : public fake_platform {
public:
    using fake_platform::fake_platform;

    absl::StatusOr<worker_listing> decode_listing(std::string_view id,
                                                  std::string_view bytes) const override {
        return platform::decode_listing(id, bytes);
    }
    std::optional<std::uint64_t> listing_digest(std::string_view bytes) const override {
        return platform::listing_digest(bytes);
    }
};

/// A whole entry, of about the size that platforms write.
std::string entry_of(std::size_t worker, int cold_ms, int sequence) {
    const std::string number = std::to_string(worker);
    return R"({"service":"service-a","address":"10.)" + std::to_string(worker / 250 / 250) + "." +
           std::to_string(worker / 250 % 250) + "." + std::to_string(worker % 250) +
           R"(:8080","zone":"region-a-zone-b","version":"1.4.2","slots":16,"state":"ready",)" +
           R"("coldRemainingMs":)" + std::to_string(cold_ms) + R"(,"sequence":)" +
           std::to_string(sequence) + R"(,"born":1770000000000,)" +
           R"("capacity":{"cpu":16000,"memMb":64000},"labels":["a","rack-)" + number + R"("]})";
}

/// The body of a read that brings one entry of each worker.
std::string second_of(std::size_t workers, int cold_ms, int sequence) {
    std::vector<stored_record> records;
    records.reserve(workers);
    for (std::size_t index = 0; index < workers; ++index)
        records.push_back(
            {"i-" + std::to_string(index), entry_of(index, cold_ms, sequence), index});
    constexpr std::size_t head_bytes = 16;
    return std::string(head_bytes, '\0') +
           platform::encode_records(platform::record_format::keyed, records);
}

std::vector<stored_record> records_in(const std::string& body) {
    return platform::decode_read(platform::record_format::keyed, 0, body)->records;
}

void take_all(worker_list& list, const std::vector<stored_record>& records) {
    for (const stored_record& record : records)
        list.apply(record);
}

/// Microseconds that a list takes to fold two seconds in turn, for one of them.
double fold_us(worker_list& list, const std::vector<stored_record>& one,
               const std::vector<stored_record>& other) {
    return median_seconds(runs,
                          [&] {
                              take_all(list, one);
                              take_all(list, other);
                          }) /
           2 * 1e6;
}

double pass_us(listing_platform& platform, const worker_list& list) {
    const system_clock time;
    const cell_state known;
    progress_writer journal(
        time, platform.log(), lease_epoch(1), record_limits(cell_settings{}.max_record_bytes),
        [](const stored_record&) {}, [] {});
    const auto coordinates = coordinator::create(
        {time, platform, platform, journal, [&time] { return time.now(); }, [] { return true; },
         [] { return true; }, [] {}, [](const job_id&, const std::function<void()>&) {}},
        {}, lease_epoch(1), {}, known);
    coordinates->update_workers(list.listings());
    return median_seconds(runs, [&] { coordinates->update_workers(list.listings()); }) * 1e6;
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(cell_worker_list) {
    using namespace figwinch;
    constexpr int cold_ms = 1000;
    for (const std::size_t workers : {66U, 490U, 2'000U, 20'000U}) {
        const auto size = static_cast<std::int64_t>(workers);
        event_loop loop;
        listing_platform platform(loop);
        const std::string body = second_of(workers, cold_ms, 1);
        out.add("bytes read", size, static_cast<double>(body.size()), "bytes/s");
        out.add("taking apart", size,
                median_seconds(runs, [&body] { keep(records_in(body).size()); }) * 1e6, "us/s");
        const auto first = records_in(body);
        const auto same = records_in(second_of(workers, cold_ms, 2));
        const auto other = records_in(second_of(workers, cold_ms - 1, 3));
        const double heap_before = heap_bytes();
        const system_clock time;
        worker_list list(time, platform);
        take_all(list, first);
        out.add("heap", size, heap_bytes() - heap_before, "bytes");
        out.add("folding nothing new", size, fold_us(list, first, same), "us/s");
        out.add("folding all new", size, fold_us(list, first, other), "us/s");
        out.add("passing on", size, pass_us(platform, list), "us");
    }
}
