#include "ctl/change_publisher.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name config_stream("config");

absl::StatusOr<manifest> set_state(manifest config, const std::string& name, bool in_service) {
    for (data_centre_spec& each : config.data_centres) {
        if (each.name.str() == name)
            each.in_service = in_service;
    }
    return config;
}

change_request drain(const std::string& author, const std::string& name) {
    change_request request;
    request.author = author;
    request.edit = [name](const manifest& config) { return set_state(config, name, false); };
    return request;
}

/// One run of figwinchctl.
struct sim_operator {
    sim_operator(sim_loop& loop, sim_log& log, const change_request& request)
        : link(loop, log),
          publisher(
              link, loop.time(), settings(), request,
              [this, author = request.author] { return record_id(author + std::to_string(++ids)); },
              10s, [this](const change_result& end) { result = end; }) {
        tick(loop);
    }
    static config_follower_settings settings() {
        config_follower_settings result;
        result.poll_period = 50ms;
        return result;
    }
    void tick(sim_loop& loop) {
        publisher.tick(loop.now());
        loop.after(20ms, [this, &loop] { tick(loop); });
    }
    sim_log_client link;
    int ids = 0;
    std::optional<change_result> result;
    change_publisher publisher;
};

class change_publisher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(change_publisher_test);
    CPPUNIT_TEST(a_small_change_is_published_as_a_difference);
    CPPUNIT_TEST(the_first_manifest_is_published_whole);
    CPPUNIT_TEST(the_loser_of_a_race_is_told_who_won);
    CPPUNIT_TEST(a_drain_that_lost_a_race_is_made_anew);
    CPPUNIT_TEST(a_stale_base_is_refused_without_an_append);
    CPPUNIT_TEST(a_lost_acknowledgement_is_resolved_by_reading_back);
    CPPUNIT_TEST(after_a_silence_the_log_is_read_before_it_is_written);
    CPPUNIT_TEST(an_outage_publishes_nothing_and_says_so);
    CPPUNIT_TEST(silence_after_an_append_is_an_unknown_outcome);
    CPPUNIT_TEST(a_change_that_is_in_force_already_appends_nothing);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_log log_{loop_};

    void begin() { log_.append(config_stream, replace_record("first", 0, sample_manifest())); }
    std::unique_ptr<sim_operator> run(const change_request& request) {
        return std::make_unique<sim_operator>(loop_, log_, request);
    }
    std::size_t records() { return log_.records(config_stream).size(); }

    void a_small_change_is_published_as_a_difference() {
        begin();
        const auto one = run(drain("ana", "a"));
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(config_version(2), one->result->version);
        CPPUNIT_ASSERT(one->result->bytes < 100);
    }

    void the_first_manifest_is_published_whole() {
        change_request request;
        request.edit = [](const manifest&) { return sample_manifest(); };
        const auto one = run(request);
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(config_version(1), one->result->version);
    }

    // Two operators publish from version 1 in the same moment. One comes first in the log; the
    // other is told so, with the name of the first.
    void the_loser_of_a_race_is_told_who_won() {
        begin();
        const auto ana = run(drain("ana", "a"));
        const auto ben = run(drain("ben", "b"));
        loop_.run_for(2s);
        CPPUNIT_ASSERT(ana->result->end == change_end::accepted);
        CPPUNIT_ASSERT(ben->result->end == change_end::refused);
        CPPUNIT_ASSERT(ben->result->code == result_code::manifest_stale_base);
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), ben->result->winner_author);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, records());
    }

    // A drain must not fail because the pipeline published something else in the same moment.
    void a_drain_that_lost_a_race_is_made_anew() {
        begin();
        const auto ana = run(drain("ana", "a"));
        change_request again = drain("ben", "b");
        again.attempts = 5;
        const auto ben = run(again);
        loop_.run_for(2s);
        CPPUNIT_ASSERT(ben->result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(config_version(3), ben->result->version);
    }

    void a_stale_base_is_refused_without_an_append() {
        begin();
        log_.append(config_stream, state_record("drain", 1, "a", "out"));
        change_request request = drain("ana", "b");
        request.base = config_version(1);
        const auto one = run(request);
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->result->code == result_code::manifest_stale_base);
        CPPUNIT_ASSERT_EQUAL(std::string("author-of-drain"), one->result->winner_author);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records());
    }

    // The log takes the drain and its acknowledgement is lost. Appended again, it would stand in
    // the log twice; reported as failed, the operator would do it again.
    void a_lost_acknowledgement_is_resolved_by_reading_back() {
        begin();
        const auto one = run(drain("ana", "a"));
        one->link.lost_acknowledgements = 1;
        loop_.run_for(5s);
        CPPUNIT_ASSERT(one->result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records());
    }

    // The log takes the drain, and the link goes silent for three seconds. When it is back, the
    // record must be looked for before it is sent again.
    void after_a_silence_the_log_is_read_before_it_is_written() {
        begin();
        const auto one = run(drain("ana", "a"));
        one->link.lost_acknowledgements = 1;
        loop_.run_for(22ms);
        one->link.is_cut = true;
        loop_.run_for(3s);
        CPPUNIT_ASSERT(!one->result.has_value());
        one->link.is_cut = false;
        loop_.run_for(3s);
        CPPUNIT_ASSERT(one->result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records());
    }

    void an_outage_publishes_nothing_and_says_so() {
        begin();
        const auto one = run(drain("ana", "a"));
        loop_.run_for(1ms);
        log_.is_down = true;
        loop_.run_for(11s);
        CPPUNIT_ASSERT(one->result->end == change_end::not_published);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records());
        const auto two = run(drain("ben", "a"));
        loop_.run_for(5s);
        log_.is_down = false;
        loop_.run_for(1s);
        CPPUNIT_ASSERT(two->result->end == change_end::accepted);
    }

    // The record is sent, and everything goes silent. It may be in force: "failed" would be a lie.
    void silence_after_an_append_is_an_unknown_outcome() {
        begin();
        const auto one = run(drain("ana", "a"));
        one->link.lost_acknowledgements = 1;
        loop_.run_for(22ms);
        one->link.is_cut = true;
        loop_.run_for(11s);
        CPPUNIT_ASSERT(one->result->end == change_end::unknown);
    }

    void a_change_that_is_in_force_already_appends_nothing() {
        begin();
        log_.append(config_stream, state_record("drain", 1, "a", "out"));
        const auto one = run(drain("ana", "a"));
        loop_.run_for(1s);
        CPPUNIT_ASSERT(one->result->end == change_end::unchanged);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_publisher_test);

} // namespace
} // namespace figwinch
