#include "figwinch/config.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name config_stream("config");

/// One process of a simulation: a follower with its link to the log.
struct sim_host {
    sim_host(sim_loop& loop, sim_log& log, const std::string& name,
             config_follower_settings settings = {})
        : link(loop, log), follower(link, loop.time(), with_name(std::move(settings), name),
                                    [this](const std::string& peer, config_version newer_than,
                                           config_follower::state_callback done) {
                                        ++fetches;
                                        last_peer = peer;
                                        last_newer_than = newer_than;
                                        fetched = std::move(done);
                                    }) {
        tick(loop);
    }

    static config_follower_settings with_name(config_follower_settings settings,
                                              const std::string& name) {
        settings.self = node_id(name);
        return settings;
    }
    void tick(sim_loop& loop) {
        follower.tick(loop.now());
        loop.after(50ms, [this, &loop] { tick(loop); });
    }

    sim_log_client link;
    int fetches = 0;
    std::string last_peer;
    config_version last_newer_than;
    config_follower::state_callback fetched;
    config_follower follower;
};

class config_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_follower_test);
    CPPUNIT_TEST(a_change_is_in_force_within_a_poll);
    CPPUNIT_TEST(a_lagging_read_confirms_nothing);
    CPPUNIT_TEST(a_peer_that_knows_more_ends_the_right_to_start);
    CPPUNIT_TEST(a_late_answer_of_a_peer_is_no_step_back);
    CPPUNIT_TEST(a_relayed_confirmation_carries_its_age);
    CPPUNIT_TEST(a_cut_off_process_takes_a_change_over_from_a_peer);
    CPPUNIT_TEST(a_process_behind_the_retention_goes_on_from_a_snapshot);
    CPPUNIT_TEST(without_a_snapshot_a_peer_hands_the_state_over);
    CPPUNIT_TEST(a_new_process_recovers_from_a_peer_while_the_log_is_down);
    CPPUNIT_TEST(the_configuration_outlives_the_retention);
    CPPUNIT_TEST(of_many_processes_few_append_a_snapshot);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_log log_{loop_};

    void begin() { log_.append(config_stream, replace_record("first", 0, sample_manifest())); }
    void drain(std::uint64_t base) {
        log_.append(config_stream, state_record("drain" + std::to_string(base), base, "a", "out"));
    }
    std::unique_ptr<sim_host> host(const std::string& name,
                                   const config_follower_settings& settings = {}) {
        return std::make_unique<sim_host>(loop_, log_, name, settings);
    }
    freshness judge(const sim_host& at) { return at.follower.judge(loop_.now()); }

    void a_change_is_in_force_within_a_poll() {
        begin();
        const auto one = host("one");
        int calls = 0;
        one->follower.on_change([&](const manifest&, config_version) { ++calls; });
        loop_.run_for(10ms);
        CPPUNIT_ASSERT_EQUAL(config_version(1), one->follower.version());
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::following);
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
        drain(1);
        loop_.run_for(300ms);
        CPPUNIT_ASSERT(!is_in_service(*one->follower.current(), "a"));
        CPPUNIT_ASSERT_EQUAL(2, calls);
    }

    // A process reads from a replica of the log that lags. It has seen the drain through a peer,
    // and the replica then shows it a tail from before the drain.
    void a_lagging_read_confirms_nothing() {
        begin();
        drain(1);
        loop_.run_for(10s);
        const auto one = host("one");
        loop_.run_for(1s);
        one->link.lag = 1h;
        loop_.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(config_version(2), one->follower.version());
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
    }

    // The replica that this process reads from lags, and the drain is accepted. The read looks like
    // the tail, but a peer's heartbeat names version 2: nothing may start until it is known.
    void a_peer_that_knows_more_ends_the_right_to_start() {
        begin();
        loop_.run_for(1min);
        const auto one = host("one");
        one->link.lag = 10s;
        drain(1);
        loop_.run_for(1s);
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
        one->follower.offer_peer_state({"peer", config_version(2), 0s, loop_.now()});
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
        CPPUNIT_ASSERT_EQUAL(1, one->fetches);
        loop_.run_for(10s);
        CPPUNIT_ASSERT_EQUAL(config_version(2), one->follower.version());
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
    }

    // A slow peer is asked for version 2, then the log shows version 3, then the peer answers.
    void a_late_answer_of_a_peer_is_no_step_back() {
        begin();
        const auto slow = host("slow");
        loop_.run_for(1s);
        slow->link.is_cut = true;
        drain(1);
        const auto one = host("one");
        one->link.is_cut = true;
        one->follower.offer_peer_state({"slow", config_version(1), 0s, loop_.now()});
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), one->last_peer);
        one->link.is_cut = false;
        loop_.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(config_version(2), one->follower.version());
        one->fetched(slow->follower.snapshot());
        loop_.run_for(1s);
        CPPUNIT_ASSERT_EQUAL(config_version(2), one->follower.version());
        CPPUNIT_ASSERT(!is_in_service(*one->follower.current(), "a"));
    }

    // The link to the log goes silent, and a peer of the same version relays its own view, which is
    // itself 1.5 s old. After another 0.5 s nothing more may start.
    void a_relayed_confirmation_carries_its_age() {
        begin();
        const auto one = host("one");
        loop_.run_for(1s);
        one->link.is_cut = true;
        loop_.run_for(5s);
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
        one->follower.offer_peer_state({"peer", config_version(1), 1500ms, loop_.now()});
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
        loop_.run_for(501ms);
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
        one->follower.offer_peer_state({"peer", config_version(1), std::nullopt, loop_.now()});
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
    }

    void a_cut_off_process_takes_a_change_over_from_a_peer() {
        begin();
        const auto one = host("one");
        const auto peer = host("peer");
        loop_.run_for(1s);
        one->link.is_cut = true;
        drain(1);
        loop_.run_for(1s);
        one->follower.offer_peer_state({"peer", config_version(2), 0s, loop_.now()});
        one->fetched(peer->follower.snapshot());
        CPPUNIT_ASSERT(!is_in_service(*one->follower.current(), "a"));
    }

    // A process is frozen while the log drops the records that it has not read. What is missing may
    // hold anything; a snapshot bridges it.
    void a_process_behind_the_retention_goes_on_from_a_snapshot() {
        begin();
        const auto peer = host("peer");
        const auto one = host("one");
        loop_.run_for(1s);
        one->link.is_cut = true;
        loop_.run_for(3s);
        drain(1);
        loop_.run_for(1s);
        log_.append(config_stream, state_record("back", 2, "a", "in"));
        loop_.run_for(1s);
        const std::string snapshot = config_fold_of(*peer);
        log_.append(config_stream, state_record("again", 3, "a", "out"));
        log_.append(config_stream, snapshot);
        loop_.run_for(1s);
        log_.retention = 2;
        log_.append(config_stream, state_record("b", 4, "b", "out"));
        log_.retention = 3;
        loop_.run_for(1s);
        one->link.is_cut = false;
        loop_.run_for(3s);
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::waiting_for_state);
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
        CPPUNIT_ASSERT_EQUAL(config_version(1), one->follower.version());
        log_.append(config_stream, config_fold_of(*peer));
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::following);
        CPPUNIT_ASSERT_EQUAL(config_version(5), one->follower.version());
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
    }
    std::string config_fold_of(const sim_host& at) {
        pb::ConfigRecord record;
        record.set_record_id("snapshot");
        record.mutable_snapshot()->ParseFromString(at.follower.snapshot());
        return record.SerializeAsString();
    }

    // All records that make up the state have expired and no snapshot was written in time. A new
    // host says what it lacks and takes the state from a peer, then goes on with the log.
    void without_a_snapshot_a_peer_hands_the_state_over() {
        begin();
        const auto peer = host("peer");
        loop_.run_for(1s);
        log_.retention = 1;
        drain(1);
        loop_.run_for(1s);
        const auto one = host("one");
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::waiting_for_state);
        CPPUNIT_ASSERT(!one->follower.lacks().empty());
        CPPUNIT_ASSERT(one->follower.current() == nullptr);
        one->follower.offer_peer_state({"peer", config_version(2), 0s, loop_.now()});
        one->fetched(peer->follower.snapshot());
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::following);
        CPPUNIT_ASSERT(judge(*one) == freshness::confirmed);
        CPPUNIT_ASSERT_EQUAL(peer->follower.snapshot(), one->follower.snapshot());
    }

    // The log is down for long and a host is replaced. It has to serve from what its peers know,
    // and may start nothing: only its own or a relayed view of the log proves that no drain came.
    void a_new_process_recovers_from_a_peer_while_the_log_is_down() {
        begin();
        const auto peer = host("peer");
        loop_.run_for(1s);
        log_.is_down = true;
        loop_.run_for(10s);
        CPPUNIT_ASSERT(judge(*peer) == freshness::outage);
        const auto one = host("one");
        loop_.run_for(1s);
        one->follower.offer_peer_state({"peer", config_version(1), 10s, loop_.now()});
        one->fetched(peer->follower.snapshot());
        CPPUNIT_ASSERT_EQUAL(config_version(1), one->follower.version());
        CPPUNIT_ASSERT(judge(*one) == freshness::unknown);
        CPPUNIT_ASSERT(one->follower.lacks().find("log_unavailable") != std::string::npos);
        log_.is_down = false;
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->follower.state() == recovery_state::following);
    }

    // Nothing is published for a day, and the log keeps records for an hour. A host that starts on
    // the next day has to find the configuration.
    void the_configuration_outlives_the_retention() {
        begin();
        config_follower_settings settings;
        settings.retention = 1h;
        settings.poll_period = 10s;
        const auto one = host("one", settings);
        const auto two = host("two", settings);
        log_.max_age = settings.retention;
        loop_.run_for(24h);
        const std::uint64_t appended =
            one->follower.snapshots_appended() + two->follower.snapshots_appended();
        CPPUNIT_ASSERT(appended >= 38 && appended <= 50);
        const auto late = host("late", settings);
        loop_.run_for(20s);
        CPPUNIT_ASSERT_EQUAL(config_version(1), late->follower.version());
    }

    void of_many_processes_few_append_a_snapshot() {
        begin();
        config_follower_settings settings;
        settings.snapshot_every = 10;
        settings.poll_period = 1s;
        std::vector<std::unique_ptr<sim_host>> hosts;
        hosts.reserve(264);
        for (int i = 0; i < 264; ++i)
            hosts.push_back(host("host" + std::to_string(i), settings));
        loop_.run_for(2s);
        for (std::uint64_t base = 1; base <= 10; ++base)
            drain(base);
        loop_.run_for(10min);
        std::uint64_t appended = 0;
        for (const auto& each : hosts)
            appended += each->follower.snapshots_appended();
        CPPUNIT_ASSERT(appended >= 1 && appended <= 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_follower_test);

} // namespace
} // namespace figwinch
