#include "platform/advice_codec.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/store_records.h"
#include "platform/worker_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace figwinch::platform {
namespace {

/// Encoding and decoding of everything that is exchanged with the platform, and rejection of
/// malformed input.
class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(a_submission_is_read);
    CPPUNIT_TEST(malformed_submissions_are_refused_by_number);
    CPPUNIT_TEST(job_ids_are_sixteen_hexadecimal_digits);
    CPPUNIT_TEST(job_states_are_encoded_as_callers_know_them);
    CPPUNIT_TEST(a_configuration_is_read);
    CPPUNIT_TEST(the_longest_prefix_selects_the_queue);
    CPPUNIT_TEST(a_worker_is_read);
    CPPUNIT_TEST(entries_of_other_writers_name_no_worker);
    CPPUNIT_TEST(only_the_sequence_is_left_out_of_a_digest);
    CPPUNIT_TEST(entries_of_equal_digests_are_read_alike);
    CPPUNIT_TEST(a_report_is_read);
    CPPUNIT_TEST(a_full_list_of_ended_runs_may_have_more_behind_it);
    CPPUNIT_TEST(orders_carry_what_workers_check);
    CPPUNIT_TEST(records_are_read_back);
    CPPUNIT_TEST(records_cut_short_are_refused);
    CPPUNIT_TEST(advice_is_asked_for_and_read);
    CPPUNIT_TEST(corrupted_bytes_never_decode_to_an_invalid_job);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* submission =
        R"({"spec":"s","steps":[{"count":2,"cpu":500,"memMb":64,"estimateMs":40},)"
        R"({"count":1,"dependsOn":[0],"gang":true,"longRunning":true,"fills":true,)"
        R"("requires":"big","affinity":"rack-9","antiAffinity":3,"image":"x","targetMs":50}]})";
    static constexpr const char* worker =
        R"({"service":"s","address":"10.9.8.7:80","zone":"z","state":"ready","sequence":3,)"
        R"("born":1700000000000,"capacity":{"cpu":1000,"memMb":10},"labels":["a","rack-9"]})";
    static constexpr const char* report =
        R"({"clockMs":12,"born":5,"running":[["a.0.0.0",7,"c",40,13],["bad"],[1,2,3,4]],)"
        R"("finished":[[1,"a.0.0.1",6,"done",""],[2,"a.0.0.2",6,"else",""],"x"]})";
    static constexpr const char* advice =
        R"({"good":[["w1","t-1"],["w2"],[3,"t-2"],7],"validMs":3000})";

public:
    void a_submission_is_read() {
        const auto job = decode_submission(submission);
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job->steps.size());
        const step_spec& second = job->steps[1];
        CPPUNIT_ASSERT(second.gang && second.is_service && second.is_best_effort);
        CPPUNIT_ASSERT_EQUAL(std::string("big"), second.label);
        CPPUNIT_ASSERT_EQUAL(std::string("rack-9"), second.preferred_rack.str());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, second.max_per_worker);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, job->steps[0].size.cpu_millis);
    }
    void malformed_submissions_are_refused_by_number() {
        const auto code = [](const char* body) {
            return code_of(decode_submission(body).status());
        };
        CPPUNIT_ASSERT(code("") == result_code::malformed_request);
        CPPUNIT_ASSERT(code("[1]") == result_code::malformed_request);
        CPPUNIT_ASSERT(code(R"({"spec":"s"})") == result_code::malformed_request);
        CPPUNIT_ASSERT(code(R"({"steps":"none"})") == result_code::malformed_request);
        CPPUNIT_ASSERT(code(R"({"steps":[]})") == result_code::invalid_value);
        CPPUNIT_ASSERT(code(R"({"steps":[7]})") == result_code::invalid_value);
        CPPUNIT_ASSERT(code(R"({"steps":[{"count":1,"cpu":"much"}]})") ==
                       result_code::invalid_value);
        CPPUNIT_ASSERT(code(R"({"steps":[{"count":1,"dependsOn":[0]}]})") ==
                       result_code::invalid_value);
        CPPUNIT_ASSERT(code(R"({"steps":[{"count":1,"cpu":1e300}]})") ==
                       result_code::invalid_value);
    }
    void job_ids_are_sixteen_hexadecimal_digits() {
        CPPUNIT_ASSERT(is_job_id("0123456789abcdef"));
        CPPUNIT_ASSERT(!is_job_id("0123456789abcde"));
        CPPUNIT_ASSERT(!is_job_id("0123456789abcdeg"));
        CPPUNIT_ASSERT(!is_job_id("0123456789abcdef/"));
    }
    void job_states_are_encoded_as_callers_know_them() {
        job_entry job;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"queued"})"), encode_state(job));
        job.begun = true;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"running"})"), encode_state(job));
        job.cancel_wanted = true;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"cancelled"})"), encode_state(job));
        job.phase = job_phase::succeeded;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"succeeded"})"), encode_state(job));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"waiting":3})"), encode_waiting(3));
    }
    void a_configuration_is_read() {
        const auto config = decode_config(
            R"({"version":9,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
            R"("targetLatencyMs":250,"attempts":4,"stretch":1.5,"priority":2},{"name":"broken"},7],)"
            R"("services":[{"name":"s","enforcesCapacity":true}],"unknown":{}})");
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, config->version.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, config->queues.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, config->queues[0].max_attempts);
        CPPUNIT_ASSERT(config->services[0].enforces_capacity);
        CPPUNIT_ASSERT(!decode_config(R"({"routes":[],"services":[]})").has_value());
        CPPUNIT_ASSERT(!decode_config(R"({"version":"9","routes":[],"services":[]})").has_value());
        CPPUNIT_ASSERT(evacuated_data_centre("evacuate/z") == data_centre_id("z"));
        CPPUNIT_ASSERT(!evacuated_data_centre("config").has_value());
    }
    void the_longest_prefix_selects_the_queue() {
        const auto config =
            decode_config(R"({"version":1,"services":[],"routes":[)"
                          R"({"name":"short","host":"h","pathPrefix":"/a/"},)"
                          R"({"name":"long","host":"h","pathPrefix":"/a/b/"},)"
                          R"({"name":"other","host":"g","pathPrefix":"/a/b/c/"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("long"), config->match("H", "/a/b/c/1")->name.str());
        CPPUNIT_ASSERT_EQUAL(std::string("short"), config->match("h", "/a/1")->name.str());
        CPPUNIT_ASSERT(config->match("h", "/b/") == nullptr);
    }
    void a_worker_is_read() {
        const auto read = decode_listing("w1", worker);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("rack-9"), read->rack.str());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, read->capacity.cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'700'000'000'000}, read->incarnation);
        CPPUNIT_ASSERT(!read->leaving);
    }
    /// Guards against malformed entries in the list of workers, left there by another writer, being
    /// taken for usable workers.
    void entries_of_other_writers_name_no_worker() {
        for (const char* const bytes :
             {"", "{}", "null", R"({"service":"s","address":"10.9.8.7:80","state":"ready"})",
              R"({"service":"s","address":"nowhere","state":"ready","capacity":{}})",
              R"({"service":"s","address":"10.9.8.7:80","state":"odd","capacity":{}})",
              R"({"service":7,"address":"10.9.8.7:80","state":"ready","capacity":{}})",
              R"({"service":"s","address":"10.9.8.7:80","state":"ready","capacity":3})"})
            CPPUNIT_ASSERT_MESSAGE(bytes, !decode_listing("w1", bytes).ok());
    }
    void only_the_sequence_is_left_out_of_a_digest() {
        const auto changed = [](const std::string& from, const std::string& to) {
            std::string entry = worker;
            return listing_digest(entry.replace(entry.find(from), from.size(), to));
        };
        const std::uint64_t same = listing_digest(worker);
        CPPUNIT_ASSERT_EQUAL(same, changed(R"("sequence":3)", R"("sequence":41)"));
        CPPUNIT_ASSERT(same != changed("ready", "draining"));
        CPPUNIT_ASSERT(same != changed("1700000000000", "1700000000001"));
        CPPUNIT_ASSERT(same != changed("rack-9", "rack-8"));
        CPPUNIT_ASSERT(same != changed(R"("zone")", R"("coldRemainingMs":5,"zone")"));
        for (const char* const number : {"", "03", "-3", "3.5", "x", "3 4", R"("3")"})
            CPPUNIT_ASSERT(same !=
                           changed(R"("sequence":3)", R"("sequence":)" + std::string(number)));
    }
    /// Guards against a changed entry being skipped because its digest equals that of an entry
    /// which decodes differently. Entries are corrupted at random; half of them only around
    /// `sequence`.
    void entries_of_equal_digests_are_read_alike() {
        std::mt19937 random(11);
        const std::string_view bytes = R"("{}[]:,\ 0123456789sequencready)";
        std::map<std::uint64_t, absl::StatusOr<worker_listing>> read;
        std::size_t again = 0;
        for (int round = 0; round < 20'000; ++round) {
            std::string entry = worker;
            const std::size_t from = round % 2 == 0 ? entry.find("sequence") : 0;
            const std::size_t span = round % 2 == 0 ? 14 : entry.size();
            for (std::size_t change = random() % 3; change-- > 0;)
                entry[from + random() % span] = bytes[random() % bytes.size()];
            const auto listing = decode_listing("w1", entry);
            const auto [known, first] = read.try_emplace(listing_digest(entry), listing);
            again += first ? 0 : 1;
            CPPUNIT_ASSERT(known->second == listing);
        }
        CPPUNIT_ASSERT(again > 1000);
    }
    void a_report_is_read() {
        const auto read = decode_report(report);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->running.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{13}, read->running[0].latency_ms_or_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->ended.size());
        CPPUNIT_ASSERT(read->ended[0].reason == run_end::done);
        CPPUNIT_ASSERT(!decode_report(R"({"running":[]})").has_value());
    }
    /// Guards against taking a list of ended runs that is cut at the platform's limit for complete.
    void a_full_list_of_ended_runs_may_have_more_behind_it() {
        const auto list_of = [](int ends) {
            std::string rows;
            for (int number = 1; number <= ends; ++number)
                rows += (number == 1 ? "" : ",") + ("[" + std::to_string(number)) +
                        R"(,"a.0.0.1",7,"done",""])";
            return R"({"clockMs":1,"born":2,"running":[],"finished":[)" + rows + "]}";
        };
        CPPUNIT_ASSERT(!decode_report(list_of(0))->has_more_ended);
        CPPUNIT_ASSERT(!decode_report(list_of(499))->has_more_ended);
        CPPUNIT_ASSERT(decode_report(list_of(500))->has_more_ended);
    }
    void orders_carry_what_workers_check() {
        start_order order{"a.0.0.1", run_number(9), "p\"q", "c", 70, lease_epoch(4), "t-1"};
        const auto body = parse_object(encode_start(order));
        CPPUNIT_ASSERT(body.has_value());
        json_reader fields(*body);
        CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), fields.text("task"));
        CPPUNIT_ASSERT_EQUAL(std::string("t-1"), fields.text("ticket"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, fields.integer("run"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, fields.integer("fence"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{70}, fields.integer("untilMs"));
        CPPUNIT_ASSERT_EQUAL(std::string("p\"q"), fields.text("spec"));
        renewal_order hold;
        hold.acknowledged = 5;
        const auto look = parse_object(encode_hold(hold));
        CPPUNIT_ASSERT(!json_reader(*look).has("untilMs"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, json_reader(*look).integer("lastSeen"));
    }
    void records_are_read_back() {
        const std::vector<stored_record> records = {
            {"k", std::string("v\0w", 3), 0}, {"gone", std::nullopt, 0}, {"", "x", 0}};
        std::string body(16, '\0');
        body[7] = 43;
        body[15] = 2;
        body += encode_records(record_format::keyed, records);
        const auto read = decode_read(record_format::keyed, 40, body);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{43}, read->end_offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, read->start_offset);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read->records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, read->records[2].offset);
        CPPUNIT_ASSERT_EQUAL(std::string("v\0w", 3), *read->records[0].value);
        CPPUNIT_ASSERT(!read->records[1].value.has_value());
    }
    void records_cut_short_are_refused() {
        std::string body(16, '\0');
        body += encode_records(record_format::keyed, {{"key", "value", 0}});
        for (std::size_t size = 0; size < body.size(); ++size)
            CPPUNIT_ASSERT(size == 16 ||
                           !decode_read(record_format::keyed, 0, body.substr(0, size)).has_value());
    }
    void advice_is_asked_for_and_read() {
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"step":"a.0.1","workers":["w1","w2"]})"),
                             encode_advice_request("a.0.1", {worker_id("w1"), worker_id("w2")}));
        const auto read = decode_advice(advice);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->allowed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t-1"), read->allowed[0].ticket);
        CPPUNIT_ASSERT(read->ticket_validity == std::chrono::milliseconds(3000));
        CPPUNIT_ASSERT(!decode_advice(R"({"good":7})").has_value());
        CPPUNIT_ASSERT(!decode_advice("[]").has_value());
    }
    void corrupted_bytes_never_decode_to_an_invalid_job() {
        std::mt19937_64 random(3);
        const std::vector<std::string> good = {submission, worker, report, advice};
        for (int round = 0; round < 30'000; ++round) {
            std::string bytes = good[random() % good.size()];
            for (std::size_t change = 0; change <= random() % 5; ++change)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            if (random() % 3 == 0)
                bytes.resize(random() % bytes.size());
            if (const auto job = decode_submission(bytes); job.ok())
                CPPUNIT_ASSERT(validate_job(*job).ok());
            if (const auto listing = decode_listing("w", bytes); listing.ok())
                CPPUNIT_ASSERT(!any_negative(listing->capacity));
            decode_report(bytes);
            decode_advice(bytes);
            decode_config(bytes);
            decode_read(record_format::keyed, 0, bytes);
            decode_read(record_format::plain, 0, bytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
} // namespace figwinch::platform
