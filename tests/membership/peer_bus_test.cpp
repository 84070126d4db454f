#include "membership/config_exchange.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"
#include "tests/membership/bus_process.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

constexpr duration enough = 30s;
constexpr duration period = 50ms;

/// Peer services over real buses, all on one loop.
class peer_bus_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_bus_test);
    CPPUNIT_TEST(processes_find_each_other_over_the_bus);
    CPPUNIT_TEST(a_stopped_process_is_missed_and_a_leaving_one_is_seen);
    CPPUNIT_TEST(a_process_without_a_log_takes_the_configuration_from_a_peer);
    CPPUNIT_TEST_SUITE_END();

    system_clock time_;
    event_loop loop_;
    std::vector<std::unique_ptr<bus_process>> all_;

    bus_process& start(const std::string& name) {
        std::vector<std::string> seeds;
        if (!all_.empty())
            seeds.push_back(all_.front()->address());
        all_.push_back(std::make_unique<bus_process>(loop_, time_, name, seeds, period));
        return *all_.back();
    }
    void start_all(int count) {
        for (int i = 0; i < count; ++i)
            start("p" + std::to_string(i));
        const auto sees_all = [&](const auto& each) {
            return each->live_peers() + 1 == all_.size();
        };
        CPPUNIT_ASSERT(
            run_until(loop_, enough, [&] { return std::ranges::all_of(all_, sees_all); }));
    }
    bool sees(std::size_t index, const std::string& name, member_state state) const {
        return std::ranges::any_of(all_[index]->peers->members(), [&](const member& each) {
            return each.node.str() == name && each.state == state;
        });
    }

    void processes_find_each_other_over_the_bus() { start_all(6); }

    void a_stopped_process_is_missed_and_a_leaving_one_is_seen() {
        start_all(3);
        all_[2]->peers->start_leaving();
        CPPUNIT_ASSERT(run_until(loop_, enough, [&] {
            return sees(0, "p2", member_state::leaving) && sees(1, "p2", member_state::leaving);
        }));
        all_.pop_back();
        CPPUNIT_ASSERT(run_until(loop_, enough, [&] { return sees(0, "p2", member_state::dead); }));
        CPPUNIT_ASSERT(sees(0, "p1", member_state::live));
    }

    void a_process_without_a_log_takes_the_configuration_from_a_peer() {
        sim_loop log_loop;
        sim_log log(log_loop);
        sim_log_client good(log_loop, log);
        sim_log_client cut(log_loop, log);
        cut.is_cut = true;
        start_all(2);
        config_follower with_log(good, time_, {node_id("p0")}, nullptr);
        config_follower without(cut, time_, {node_id("p1")},
                                fetch_config_from(*all_[1]->peers, 1s));
        exchange_config(with_log, *all_[0]->peers, time_);
        exchange_config(without, *all_[1]->peers, time_);
        log.append(stream_name("config"), replace_record("first", 0, sample_manifest()));
        const auto ticking = loop_.every(5ms, [&] {
            log_loop.run_for(5ms);
            with_log.tick(time_.now());
            without.tick(time_.now());
        });
        CPPUNIT_ASSERT(run_until(loop_, enough, [&] {
            return without.version() == config_version(1) &&
                   without.judge(time_.now()) == freshness::confirmed;
        }));
        CPPUNIT_ASSERT(*without.current() == *with_log.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_bus_test);

} // namespace
} // namespace figwinch
