#include "config/manifest_message.h"
#include "figwinch/config.h"
#include "tests/config/config_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace figwinch {
namespace {

/// The faults as "code path" lines.
std::string faults_of(const std::string& json) {
    std::string result;
    for (const manifest_fault& fault : parse_manifest(json).faults)
        result += std::to_string(number(fault.code)) + " " + fault.path + "\n";
    return result;
}

std::string replaced(std::string text, const std::string& what, const std::string& with) {
    const std::size_t at = text.find(what);
    CPPUNIT_ASSERT_MESSAGE(what, at != std::string::npos);
    return text.replace(at, what.size(), with);
}

class manifest_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(manifest_codec_test);
    CPPUNIT_TEST(a_manifest_survives_the_round_trip);
    CPPUNIT_TEST(defaults_of_the_schema_are_filled_in);
    CPPUNIT_TEST(every_kind_of_fault_is_refused_with_path_and_number);
    CPPUNIT_TEST(all_faults_are_listed);
    CPPUNIT_TEST(a_worker_under_two_names_is_refused);
    CPPUNIT_TEST(a_job_of_an_out_data_centre_stays_possible);
    CPPUNIT_TEST(a_difference_applies_to_the_other_manifest);
    CPPUNIT_TEST_SUITE_END();

    const std::string json_ = to_json(sample_manifest());

    void a_manifest_survives_the_round_trip() {
        const checked_manifest again = parse_manifest(json_);
        CPPUNIT_ASSERT(again.value.has_value());
        CPPUNIT_ASSERT(*again.value == sample_manifest());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), again.value->data_centres.front().name.str());
    }

    void defaults_of_the_schema_are_filled_in() {
        const manifest config = sample_manifest();
        CPPUNIT_ASSERT_EQUAL(8, config.executors.front().slots);
        CPPUNIT_ASSERT_EQUAL(64, config.executors.front().connections);
        CPPUNIT_ASSERT_EQUAL(3, config.jobs.front().max_attempts);
        CPPUNIT_ASSERT(config.customers.front().max_queued_jobs == 10'000);
    }

    void every_kind_of_fault_is_refused_with_path_and_number() {
        const auto faults = [this](const std::string& what, const std::string& with) {
            return faults_of(replaced(json_, what, with));
        };
        using text = std::string;
        CPPUNIT_ASSERT_EQUAL(text("400 $\n"), faults_of("{"));
        CPPUNIT_ASSERT_EQUAL(text("400 $\n"), faults_of(R"({"jobs": [], "jobs": []})"));
        CPPUNIT_ASSERT_EQUAL(text("401 workers[0].capacity.memory_gb\n"),
                             faults("\"memory_mib\"", "\"memory_gb\""));
        CPPUNIT_ASSERT_EQUAL(text("402 workers[0].capacity.memory_mib\n"),
                             faults("\"memory_mib\": \"61440\"", "\"memory_mib\": \"60GB\""));
        CPPUNIT_ASSERT_EQUAL(text("402 workers[0].capacity.memory_mib\n"),
                             faults("\"memory_mib\": \"61440\"", "\"memory_mib\": 64424509440"));
        CPPUNIT_ASSERT_EQUAL(text("402 jobs[0].tasks\n"), faults("\"tasks\": 2", "\"tasks\": 0"));
        CPPUNIT_ASSERT_EQUAL(text("402 jobs[0].tasks\n"), faults("\"tasks\": 2", "\"tasks\": 2.5"));
        CPPUNIT_ASSERT_EQUAL(text("402 data_centres[0].state\n"),
                             faults("\"state\": \"in\"", "\"state\": \"draining\""));
        CPPUNIT_ASSERT_EQUAL(text("403 jobs[0].customer\n"),
                             faults("\"customer\": \"studio\"", "\"customer\": \"studios\""));
        CPPUNIT_ASSERT_EQUAL(text("404 jobs[0].size\n"),
                             faults("\"cpu_millis\": \"4000\"", "\"cpu_millis\": \"33000\""));
        CPPUNIT_ASSERT_EQUAL(text("406 workers[1].name\n"), faults("w-b", "w-a"));
    }

    // An operator fixes one fault, publishes, and is told of the next, ten times over, while a
    // service waits. The check has to name them all at once.
    void all_faults_are_listed() {
        CPPUNIT_ASSERT_EQUAL(
            std::string("402 data_centres\n401 job\n402 workers[0].name\n401 workers[0].zone\n"),
            faults_of(R"({"data_centres": {}, "job": [], "workers": [{"name": 1, "zone": "a"}]})"));
    }

    // A pipeline declares one machine as two workers. Two schedulers would each count its room.
    void a_worker_under_two_names_is_refused() {
        CPPUNIT_ASSERT_EQUAL(std::string("406 workers[1].address\n"),
                             faults_of(replaced(json_, "10.0.1.1:7000", "10.0.0.1:7000")));
    }

    // An operator takes the only data centre with large workers out. The change must not be refused
    // because jobs then fit nowhere for a while.
    void a_job_of_an_out_data_centre_stays_possible() {
        manifest config = sample_manifest();
        config.jobs.front().size.cpu_millis = 20'000;
        config.data_centres.back().in_service = false;
        CPPUNIT_ASSERT(parse_manifest(to_json(config)).value.has_value());
    }

    void a_difference_applies_to_the_other_manifest() {
        const manifest from = sample_manifest();
        manifest to = from;
        to.executors.clear();
        to.workers.front().capacity.cpu_millis = 8000;
        to.customers.emplace_back().name = customer_id("zeta");
        to.data_centres.front().in_service = false;
        const checked_manifest result = apply_change(from, change_between(from, to));
        CPPUNIT_ASSERT(result.value.has_value());
        CPPUNIT_ASSERT(*result.value == to);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, change_between(from, from).put().ByteSizeLong());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(manifest_codec_test);

} // namespace
} // namespace figwinch
