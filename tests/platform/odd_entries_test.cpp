#include "platform/advice_codec.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/worker_answers.h"
#include "platform/worker_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace figwinch::platform {
namespace {

/// Numbers that are valid JSON, except for 1e400, and that no field of the platform holds.
const std::vector<std::string> huge_numbers = {"1e300",
                                               "-1e300",
                                               "1e400",
                                               "9223372036854775807",
                                               "-9223372036854775808",
                                               "1e19",
                                               "18446744073709551615"};

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string with(std::string text, const std::string& from, const std::string& to) {
    const std::size_t found = text.find(from);
    CPPUNIT_ASSERT(found != std::string::npos);
    return text.replace(found, from.size(), to);
}

/// `"name":` of `"name":value`.
std::string name_in(std::string_view field) {
    return std::string(field.substr(0, field.find(':') + 1));
}

/// Input with values out of range. Run with the sanitizers, it also shows arithmetic on such values
/// that overflows.
class odd_entries_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(a_deeply_nested_entry_names_no_worker);
    CPPUNIT_TEST(an_entry_with_a_number_out_of_range_names_no_worker);
    CPPUNIT_TEST(an_entry_with_a_warmup_out_of_range_names_no_worker);
    CPPUNIT_TEST(an_entry_with_a_port_out_of_range_names_no_worker);
    CPPUNIT_TEST(an_entry_with_an_unreadable_capacity_names_no_worker);
    CPPUNIT_TEST(an_entry_with_unreadable_labels_names_no_worker);
    CPPUNIT_TEST(an_entry_with_an_unusable_key_names_no_worker);
    CPPUNIT_TEST(capacities_of_many_workers_add_up);
    CPPUNIT_TEST(a_configuration_with_a_number_out_of_range_leaves_out_its_route);
    CPPUNIT_TEST(counts_of_a_route_arent_truncated);
    CPPUNIT_TEST(an_evacuation_without_a_data_centre_is_ignored);
    CPPUNIT_TEST(a_report_with_a_clock_out_of_range_is_malformed);
    CPPUNIT_TEST(an_answer_with_a_clock_out_of_range_has_none);
    CPPUNIT_TEST(a_deeply_nested_answer_keeps_its_outcome);
    CPPUNIT_TEST(a_row_with_a_load_out_of_range_is_still_running);
    CPPUNIT_TEST(a_submission_with_a_number_out_of_range_is_refused);
    CPPUNIT_TEST(advice_with_a_validity_out_of_range_is_malformed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* worker =
        R"({"service":"s","address":"10.9.8.7:80","zone":"z","state":"ready","sequence":3,)"
        R"("born":5,"coldRemainingMs":6,"capacity":{"cpu":7,"memMb":8,"gpu":9},"labels":["a","r"]})";
    static constexpr const char* config =
        R"({"version":9,"services":[{"name":"s"}],"routes":[)"
        R"({"name":"odd","host":"h","pathPrefix":"/o/","service":"s","targetLatencyMs":5,)"
        R"("attempts":4,"stretch":1.5,"priority":2,)"
        R"("advice":{"decideMs":6,"eachMs":7,"validMs":8}},)"
        R"({"name":"good","host":"h","pathPrefix":"/g/","service":"s"}]})";
    static constexpr const char* report =
        R"({"clockMs":12,"born":5,"running":[["a.0.0.0",7,"c",40,13],["a.0.0.1",8,"",50,14]],)"
        R"("finished":[]})";
    static constexpr const char* submission =
        R"({"spec":"s","firstMs":3,"intervalMs":4,"repeats":2,"steps":[)"
        R"({"count":2,"cpu":500,"memMb":64,"gpu":1,"estimateMs":40,"targetMs":50}]})";

    static call_result answer(int status, std::string body) {
        call_result result;
        result.outcome = call_outcome::answered;
        result.response.status = status;
        result.response.body = std::move(body);
        return result;
    }
    static void assert_no_worker(const std::string& entry) {
        CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 300), !decode_listing("w1", entry).ok());
    }

public:
    void a_deeply_nested_entry_names_no_worker() {
        constexpr std::size_t depth = 1'000'000;
        const std::string deep = nested(depth);
        assert_no_worker(deep);
        assert_no_worker(with(worker, R"("s")", deep));
        assert_no_worker(with(worker, R"({"cpu":7,"memMb":8,"gpu":9})", deep));
        assert_no_worker(with(worker, R"("cpu":7)", R"("cpu":)" + deep));
        assert_no_worker(with(worker, R"(["a","r"])", deep));
        assert_no_worker(std::string(depth, '['));
        std::string objects;
        for (std::size_t level = 0; level < depth; ++level)
            objects += R"({"service":)";
        assert_no_worker(objects + "1" + std::string(depth, '}'));
        CPPUNIT_ASSERT(!decode_config(deep).has_value());
        CPPUNIT_ASSERT(!decode_report(deep).has_value());
        CPPUNIT_ASSERT(!decode_advice(deep).has_value());
        CPPUNIT_ASSERT(!decode_submission(deep).ok());
    }
    void an_entry_with_a_number_out_of_range_names_no_worker() {
        for (const std::string& number : huge_numbers)
            for (const char* const field :
                 {R"("born":5)", R"("cpu":7)", R"("memMb":8)", R"("gpu":9)"})
                assert_no_worker(with(worker, field, name_in(field) + number));
    }
    /// Guards against an overflow when the warm-up time is converted.
    void an_entry_with_a_warmup_out_of_range_names_no_worker() {
        for (const std::string& number : huge_numbers)
            assert_no_worker(
                with(worker, R"("coldRemainingMs":6)", R"("coldRemainingMs":)" + number));
    }
    void an_entry_with_a_port_out_of_range_names_no_worker() {
        for (const char* const port : {"0", "65536", "99999999999", "-1", "80x", "", "1e3"})
            assert_no_worker(with(worker, "10.9.8.7:80", "10.9.8.7:" + std::string(port)));
        assert_no_worker(with(worker, "10.9.8.7:80", "10.9.8.256:80"));
        CPPUNIT_ASSERT(decode_listing("w1", with(worker, "10.9.8.7:80", "10.9.8.7:65535")).ok());
    }
    /// Guards against a capacity of 0, or below, in the sums over all workers.
    void an_entry_with_an_unreadable_capacity_names_no_worker() {
        for (const char* const value : {R"("7")", "true", "[7]", "{}", "-1", "-1.5"}) {
            assert_no_worker(with(worker, R"("cpu":7)", R"("cpu":)" + std::string(value)));
            assert_no_worker(with(worker, R"("gpu":9)", R"("gpu":)" + std::string(value)));
        }
        for (const char* const value : {"null", "7", "[]", R"("7")"})
            assert_no_worker(with(worker, R"({"cpu":7,"memMb":8,"gpu":9})", value));
        assert_no_worker(with(worker, R"("capacity")", R"("other")"));
    }
    void an_entry_with_unreadable_labels_names_no_worker() {
        for (const char* const labels : {R"({"a":"r"})", "7", R"("a")", R"(["a",7])",
                                         R"([null,"r"])", R"([["a"],"r"])", R"([{},"r"])"})
            assert_no_worker(with(worker, R"(["a","r"])", labels));
    }
    /// Guards against orders to a worker whose ID can't stand in a header of HTTP.
    void an_entry_with_an_unusable_key_names_no_worker() {
        constexpr std::size_t longest_key = 255;
        CPPUNIT_ASSERT(!decode_listing("", worker).ok());
        for (const char* const key : {"w\r\nX: 1", "w\n", "\x01", "w\x7f"})
            CPPUNIT_ASSERT(!decode_listing(key, worker).ok());
        CPPUNIT_ASSERT(!decode_listing(std::string_view("w\0", 2), worker).ok());
        CPPUNIT_ASSERT(decode_listing(std::string(longest_key, 'w'), worker).ok());
    }
    void capacities_of_many_workers_add_up() {
        constexpr int workers = 100'000;
        const auto largest = decode_listing("w1", with(worker, R"("cpu":7)", R"("cpu":1e9)"));
        CPPUNIT_ASSERT(largest.ok());
        resources sum;
        for (int count = 0; count < workers; ++count)
            sum += largest->capacity;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100'000'000'000'000}, sum.cpu_millis);
    }
    void a_configuration_with_a_number_out_of_range_leaves_out_its_route() {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decode_config(config)->queues.size());
        for (const std::string& number : huge_numbers) {
            for (const char* const field :
                 {R"("targetLatencyMs":5)", R"("stretch":1.5)", R"("decideMs":6)", R"("eachMs":7)",
                  R"("validMs":8)", R"("attempts":4)", R"("priority":2)"}) {
                const std::string name = name_in(field);
                const auto read = decode_config(with(config, field, name + number));
                // 1e400 isn't representable, so the document as a whole can't be read.
                CPPUNIT_ASSERT_EQUAL(number != "1e400", read.has_value());
                if (!read)
                    continue;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name + number, std::size_t{1}, read->queues.size());
                CPPUNIT_ASSERT_EQUAL(std::string("good"), read->queues[0].name.str());
            }
            CPPUNIT_ASSERT(
                !decode_config(with(config, R"("version":9)", R"("version":)" + number)));
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            decode_config(with(config, R"({"decideMs":6)", R"({"decideMs":"6")"))->queues.size());
    }
    /// Guards against 2^32 attempts being read as none.
    void counts_of_a_route_arent_truncated() {
        const auto read =
            decode_config(with(config, R"("attempts":4)", R"("attempts":4294967296)"));
        CPPUNIT_ASSERT(read.has_value());
        for (const queue_config& queue : read->queues)
            CPPUNIT_ASSERT(queue.max_attempts > 0);
    }
    /// Guards against an empty name that would take out all workers without a data centre.
    void an_evacuation_without_a_data_centre_is_ignored() {
        CPPUNIT_ASSERT(!evacuated_data_centre("evacuate/").has_value());
        CPPUNIT_ASSERT(evacuated_data_centre("evacuate/" + std::string(246, 'z')).has_value());
    }
    void a_report_with_a_clock_out_of_range_is_malformed() {
        for (const std::string& number : huge_numbers) {
            CPPUNIT_ASSERT_MESSAGE(
                number, !decode_report(with(report, R"("clockMs":12)", R"("clockMs":)" + number)));
            CPPUNIT_ASSERT_MESSAGE(
                number, !decode_report(with(report, R"("born":5)", R"("born":)" + number)));
        }
    }
    /// Guards against a clock that is taken for 0, or overflows, when an answer's can't be read.
    void an_answer_with_a_clock_out_of_range_has_none() {
        CPPUNIT_ASSERT(answer_of(answer(200, R"({"clockMs":12})")).clock_ms == 12);
        for (const std::string& number : huge_numbers) {
            const order_answer read = answer_of(answer(200, R"({"clockMs":)" + number + "}"));
            CPPUNIT_ASSERT(read.outcome == order_outcome::done);
            CPPUNIT_ASSERT_MESSAGE(number, !read.clock_ms);
        }
    }
    void a_deeply_nested_answer_keeps_its_outcome() {
        constexpr std::size_t depth = 1'000'000;
        for (const std::string& body : {nested(depth), R"({"clockMs":)" + nested(depth) +
                                                           R"(,"reason":)" + nested(depth) + "}"}) {
            const order_answer done = answer_of(answer(200, body));
            CPPUNIT_ASSERT(done.outcome == order_outcome::done);
            CPPUNIT_ASSERT(!done.clock_ms);
            CPPUNIT_ASSERT(answer_of(answer(409, body)).outcome == order_outcome::refused);
        }
    }
    /// Guards against a run that is taken for lost because its load can't be read.
    void a_row_with_a_load_out_of_range_is_still_running() {
        for (const std::string& number : huge_numbers) {
            const auto read = decode_report(with(report, "40,13", "40," + number));
            CPPUNIT_ASSERT_EQUAL(number != "1e400", read.has_value());
            if (!read)
                continue;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t{2}, read->running.size());
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, read->running[0].latency_ms_or_cpu_millis);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{14}, read->running[1].latency_ms_or_cpu_millis);
        }
    }
    void a_submission_with_a_number_out_of_range_is_refused() {
        CPPUNIT_ASSERT(decode_submission(submission).ok());
        for (const std::string& number : huge_numbers)
            for (const char* const field :
                 {R"("firstMs":3)", R"("intervalMs":4)", R"("cpu":500)", R"("memMb":64)",
                  R"("gpu":1)", R"("estimateMs":40)", R"("targetMs":50)"}) {
                const std::string name = name_in(field);
                const auto read = decode_submission(with(submission, field, name + number));
                CPPUNIT_ASSERT_MESSAGE(name + number, !read.ok());
            }
    }
    void advice_with_a_validity_out_of_range_is_malformed() {
        for (const std::string& number : huge_numbers)
            CPPUNIT_ASSERT_MESSAGE(
                number,
                !decode_advice(R"({"good":[["w1","t"]],"validMs":)" + number + "}").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace
} // namespace figwinch::platform
