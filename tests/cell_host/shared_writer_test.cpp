#include "cell_host/bus_shared_writer.h"
#include "cell_host/handover_codec.h"
#include "cell_host/handover_server.h"
#include "tests/cell_host/sim_intake.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration caller_timeout = milliseconds(2700);
constexpr std::size_t hosts = 40;

/// Tests handovers to the shared writer in a cell whose log is slow.
class shared_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_writer_test);
    CPPUNIT_TEST(forty_hosts_are_served_by_a_log_of_ten_appends_a_second);
    CPPUNIT_TEST(a_cell_is_fast_again_within_a_second_of_its_log);
    CPPUNIT_TEST(a_host_that_reads_late_adds_nothing_to_the_queue);
    CPPUNIT_TEST(a_writer_doesnt_refuse_by_a_queue_that_is_gone);
    CPPUNIT_TEST(a_writer_killed_between_append_and_answer_leaves_no_doubt);
    CPPUNIT_TEST(a_host_that_doesnt_write_leaves_records_to_their_own_host);
    CPPUNIT_TEST(a_request_that_was_lost_is_made_good_by_the_writer);
    CPPUNIT_TEST(a_record_that_the_log_rejects_fails_alone_after_a_handover);
    CPPUNIT_TEST(records_are_the_same_after_the_way_over_the_bus);
    CPPUNIT_TEST(a_writer_over_the_bus_takes_records);
    CPPUNIT_TEST(a_writer_whose_log_is_slow_is_asked_again);
    CPPUNIT_TEST(a_writer_that_is_silent_is_given_up_before_callers_do);
    CPPUNIT_TEST_SUITE_END();

    sim::sim_time time_;
    sim::sim_store store_;
    std::vector<std::unique_ptr<sim::intake_host>> hosts_;
    std::vector<std::unique_ptr<sim::sim_bus_writer>> writers_;
    std::vector<std::shared_ptr<sim::submission_result>> results_;
    int jobs_ = 0;

    /// Starts `count` hosts; the first one is the shared writer.
    void start(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            hosts_.push_back(std::make_unique<sim::intake_host>(time_, store_));
        for (std::size_t i = 1; i < count; ++i) {
            writers_.push_back(std::make_unique<sim::sim_bus_writer>(time_, *hosts_.front()));
            hosts_[i]->writer.set_shared_writer(writers_.back().get());
        }
        store_.service[cell_stream::intake] = milliseconds(2);
    }
    std::shared_ptr<sim::submission_result> submit(std::size_t host) {
        results_.push_back(hosts_[host]->submit(std::to_string(jobs_++), caller_timeout));
        return results_.back();
    }
    /// Submits a job at each host in turn, 10 ms apart: with 40 hosts, every 400 ms at each.
    void load_for(duration span) {
        for (const instant end = time_.now() + span; time_.now() < end;) {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                submit(i);
                time_.run_for(milliseconds(10));
            }
        }
    }
    std::size_t count(intake_outcome outcome) const {
        std::size_t sum = 0;
        for (const auto& answer : results_)
            sum += answer->outcome == outcome ? 1 : 0;
        return sum;
    }

public:
    /// Guards against hosts whose small appends queue behind one another in a slow log, which
    /// refuses half of the jobs and leaves the outcome of the others unknown.
    void forty_hosts_are_served_by_a_log_of_ten_appends_a_second() {
        start(hosts);
        load_for(seconds(1));
        store_.service[cell_stream::intake] = milliseconds(100);
        load_for(seconds(5));
        time_.run_for(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(intake_outcome::unknown));
        CPPUNIT_ASSERT_EQUAL(results_.size(),
                             count(intake_outcome::stored) + count(intake_outcome::not_stored));
        CPPUNIT_ASSERT(count(intake_outcome::not_stored) * 20 < results_.size());
        CPPUNIT_ASSERT_EQUAL(count(intake_outcome::stored),
                             store_.of(cell_stream::intake).newest.size());
    }
    /// Guards against hosts that go on handing records over after the log has become fast again.
    void a_cell_is_fast_again_within_a_second_of_its_log() {
        start(hosts);
        load_for(seconds(1));
        store_.service[cell_stream::intake] = milliseconds(100);
        load_for(seconds(4));
        store_.service[cell_stream::intake] = milliseconds(2);
        load_for(seconds(1));
        for (const auto& host : hosts_)
            CPPUNIT_ASSERT(!host->writer.append_latency().is_slow());
        results_.clear();
        load_for(seconds(1));
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(results_.size(), count(intake_outcome::stored));
    }
    /// Guards against hosts that detect a slow log only by an append of their own: the first append
    /// of each host would fill the log's queue ahead of the shared writer's.
    void a_host_that_reads_late_adds_nothing_to_the_queue() {
        start(2);
        load_for(seconds(1));
        const std::size_t appends = hosts_[1]->log.appends;
        store_.service[cell_stream::intake] = milliseconds(100);
        hosts_[1]->writer.report_late_read(milliseconds(250));
        const auto answer = submit(1);
        time_.run_for(seconds(1));
        CPPUNIT_ASSERT(answer->outcome == intake_outcome::stored);
        CPPUNIT_ASSERT_EQUAL(appends, hosts_[1]->log.appends);
    }
    /// Guards against a shared writer that refuses all records of the cell because its first append
    /// queued behind those of other hosts, which no longer append.
    void a_writer_doesnt_refuse_by_a_queue_that_is_gone() {
        start(2);
        store_.service[cell_stream::intake] = milliseconds(1500);
        CPPUNIT_ASSERT(store_.admit(cell_stream::intake, time_.now()).has_value());
        store_.service[cell_stream::intake] = milliseconds(100);
        submit(0);
        time_.run_for(milliseconds(1650));
        CPPUNIT_ASSERT(hosts_[0]->writer.append_latency().is_slow());
        submit(0);
        time_.run_for(milliseconds(15));
        std::optional<intake_outcome> outcome;
        hosts_[0]->writer.write_for_other({{"jx", "what it is", 0}}, time_.now() + seconds(1),
                                          [&](intake_outcome what, auto) { outcome = what; });
        time_.run_for(seconds(1));
        CPPUNIT_ASSERT(outcome == intake_outcome::stored);
    }
    /// Guards against records whose outcome stays unknown, or that are reported as not stored, when
    /// the shared writer is killed after it has sent their append and before it has replied.
    void a_writer_killed_between_append_and_answer_leaves_no_doubt() {
        start(3);
        load_for(seconds(1));
        store_.service[cell_stream::intake] = milliseconds(100);
        load_for(seconds(1));
        results_.clear();
        const auto answer = submit(1);
        time_.run_for(milliseconds(50));
        hosts_.front()->killed = true;
        hosts_.front()->log.kill();
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT(answer->outcome == intake_outcome::stored);
    }
    /// Guards against records that nobody appends because they were handed over to a host that no
    /// longer coordinates.
    void a_host_that_doesnt_write_leaves_records_to_their_own_host() {
        class refusing final : public shared_writer {
        public:
            bool is_available() const override { return true; }
            void hand_over(const std::vector<stored_record>&, duration, handler done) override {
                ++asked;
                done({handover_result::kind::not_taken, 0, {}});
            }
            int asked = 0;
        };
        refusing other;
        start(1);
        hosts_.front()->writer.set_shared_writer(&other);
        store_.service[cell_stream::intake] = milliseconds(500);
        submit(0);
        time_.run_for(milliseconds(450));
        submit(0);
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(1, other.asked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count(intake_outcome::stored));
    }
    /// Guards against a caller that gets an unknown outcome because its host's append request never
    /// reached the log.
    void a_request_that_was_lost_is_made_good_by_the_writer() {
        start(2);
        load_for(seconds(1));
        results_.clear();
        hosts_[1]->log.stuck = cell_stream::intake;
        const instant begun = time_.now();
        const auto answer = submit(1);
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT(answer->outcome == intake_outcome::stored);
        CPPUNIT_ASSERT(answer->at - begun < seconds(1));
    }
    /// Guards against jobs that are refused because another job of the same handover is one that
    /// the log doesn't take.
    void a_record_that_the_log_rejects_fails_alone_after_a_handover() {
        constexpr std::size_t jobs = 20;
        start(2);
        load_for(seconds(1));
        store_.service[cell_stream::intake] = milliseconds(100);
        load_for(seconds(2));
        time_.run_for(seconds(1));
        CPPUNIT_ASSERT(hosts_[1]->writer.append_latency().is_slow());
        store_.max_record_bytes = 1000;
        results_.clear();
        const auto large = hosts_[1]->submit("large", caller_timeout, std::string(1000, 'v'));
        for (std::size_t index = 0; index < jobs; ++index)
            submit(1);
        time_.run_for(seconds(4));
        CPPUNIT_ASSERT(large->outcome == intake_outcome::rejected);
        CPPUNIT_ASSERT_EQUAL(jobs, count(intake_outcome::stored));
    }
    /// Guards against the deletion of a key that arrives as an empty value.
    void records_are_the_same_after_the_way_over_the_bus() {
        const auto read = decode_handover(
            encode_handover({seconds(2), {{"ja", std::string("\0x", 2), 0}, {"jb", {}, 0}}}));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->timeout == seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->records.size());
        CPPUNIT_ASSERT(read->records[0].value == std::string("\0x", 2));
        CPPUNIT_ASSERT(!read->records[1].value.has_value());
        const auto result = decode_handover_result(
            encode_handover_result({handover_result::kind::not_stored, 7, milliseconds(100)}));
        CPPUNIT_ASSERT(result.outcome == handover_result::kind::not_stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, result.offset);
        CPPUNIT_ASSERT(result.writer_latency == milliseconds(100));
        CPPUNIT_ASSERT(decode_handover_result("?").outcome == handover_result::kind::unknown);
        const auto rejected = decode_handover_result(
            encode_handover_result({handover_result::kind::rejected, 0, {}}));
        CPPUNIT_ASSERT(rejected.outcome == handover_result::kind::rejected);
    }

private:
    struct handed_over {
        handover_result result;
        /// Whether the writer would still be used for the next handover.
        bool open = false;
    };
    /// Hands a record over on a real bus to a host that handles requests with `serve`; returns the
    /// outcome.
    static handed_over hand_over(const bus::request_handler& serve, duration wait) {
        event_loop loop;
        system_clock time;
        auto server = bus::bind(loop, time, "127.0.0.1", 0, incarnation_id("writer#1"));
        auto asker = bus::bind(loop, time, "127.0.0.1", 0, incarnation_id("host#1"));
        CPPUNIT_ASSERT(server.ok() && asker.ok());
        (*server)->on_request(serve);
        const std::string where = "127.0.0.1:" + std::to_string((*server)->port());
        bus_shared_writer writer(time, **asker, [&] { return std::optional(where); });
        const auto ticking = loop.every(milliseconds(10), [&] { writer.tick(); });
        handed_over ended;
        writer.hand_over({{"ja", "what it is", 0}}, wait, [&](const handover_result& result) {
            ended = {result, writer.is_available()};
            loop.stop();
        });
        loop.run();
        return ended;
    }

public:
    void a_writer_over_the_bus_takes_records() {
        sim::intake_host host(time_, store_);
        const handed_over ended = hand_over(
            [&](const bus_sender&, std::string_view body, const auto& reply) {
                handover_server server(time_.clock(), host.writer, [] { return true; });
                server.handle(body.substr(1), reply);
                time_.run_for(milliseconds(50));
            },
            seconds(20));
        CPPUNIT_ASSERT(ended.result.outcome == handover_result::kind::stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.of(cell_stream::intake).records.size());
    }
    /// Guards against hosts that switch to appends of their own, and fill the log's queue, because
    /// the writer's append took longer than a caller's timeout.
    void a_writer_whose_log_is_slow_is_asked_again() {
        const handed_over ended = hand_over(
            [](const bus_sender&, std::string_view body, const auto& reply) {
                if (decode_handover(body)->records.empty())
                    reply(encode_probe_reply());
            },
            milliseconds(400));
        CPPUNIT_ASSERT(ended.result.outcome == handover_result::kind::unknown);
        CPPUNIT_ASSERT(ended.open);
    }
    /// Guards against callers that wait until their deadlines for a shared writer that hangs.
    void a_writer_that_is_silent_is_given_up_before_callers_do() {
        const instant begun = system_clock().now();
        const handed_over ended =
            hand_over([](const bus_sender&, std::string_view, const auto&) {}, seconds(20));
        CPPUNIT_ASSERT(ended.result.outcome == handover_result::kind::unknown);
        CPPUNIT_ASSERT(!ended.open);
        CPPUNIT_ASSERT(system_clock().now() - begun < seconds(10));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_writer_test);

} // namespace
} // namespace figwinch
