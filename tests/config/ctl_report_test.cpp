#include "ctl/cell_page.h"
#include "ctl/ctl_commands.h"
#include "ctl/ctl_report.h"
#include "tests/config/config_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch {
namespace {

change_result ended(change_end end, result_code code) {
    change_result result;
    result.end = end;
    result.code = code;
    return result;
}

class ctl_report_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ctl_report_test);
    CPPUNIT_TEST(each_end_has_its_exit_code);
    CPPUNIT_TEST(the_winner_of_a_race_is_named);
    CPPUNIT_TEST(a_state_shows_data_centres);
    CPPUNIT_TEST(a_difference_lists_names);
    CPPUNIT_TEST(commands_check_their_arguments);
    CPPUNIT_TEST(a_cell_is_shown_to_people);
    CPPUNIT_TEST(what_is_no_status_of_a_cell_is_said_so);
    CPPUNIT_TEST_SUITE_END();

    void a_cell_is_shown_to_people() {
        const auto page =
            format_cell(R"({"node":"host-1","leads":true,"epoch":"7","coordinator":"host-1#5",)"
                        R"("log_answers":true,"config_version":"3","jobs_known":"2","workers":[)"
                        R"({"id":"w1","standing":"usable","tasks":"2","free_cpu_millis":"1500"},)"
                        R"({"id":"w2","standing":"silent","free_cpu_millis":"4000"}],)"
                        R"("jobs":[{"id":"0a","queue":"q","waiting":"3","waits_for":"no_room",)"
                        R"("known_for_s":2.5}],"a_later_field":1})");
        CPPUNIT_ASSERT(page.has_value());
        CPPUNIT_ASSERT_EQUAL(
            std::string("host         host-1\n"
                        "coordinator  host-1#5 (epoch 7), this host\n"
                        "log          answers\n"
                        "config       version 3\n"
                        "jobs known   2\n"
                        "workers      2\n"
                        "  silent             1\n"
                        "  usable             1\n"
                        "  free processors    1.5\n"
                        "open jobs    1\n"
                        "  job                queue        prio  running  waiting    age s  waits "
                        "for\n"
                        "  0a                 q               0        0        3      2.5  "
                        "no_room\n"),
            *page);
    }
    void what_is_no_status_of_a_cell_is_said_so() {
        for (const char* const text : {"", "{}", "[]", "# HELP metric", R"({"node":7})"})
            CPPUNIT_ASSERT(!format_cell(text).has_value());
        const auto report = ctl_commands({}).run("cell", {"nowhere"});
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT(report->exit == exit_code::usage);
    }

    void each_end_has_its_exit_code() {
        const auto exit_of = [](change_end end, result_code code) {
            return report_change(ended(end, code), report_form::json).exit;
        };
        CPPUNIT_ASSERT(exit_of(change_end::accepted, result_code::ok) == exit_code::done);
        CPPUNIT_ASSERT(exit_of(change_end::unchanged, result_code::ok) == exit_code::done);
        CPPUNIT_ASSERT(exit_of(change_end::refused, result_code::manifest_stale_base) ==
                       exit_code::lost_race);
        CPPUNIT_ASSERT(exit_of(change_end::refused, result_code::manifest_impossible_job) ==
                       exit_code::invalid);
        CPPUNIT_ASSERT(exit_of(change_end::not_published, result_code::log_unavailable) ==
                       exit_code::unavailable);
        CPPUNIT_ASSERT(exit_of(change_end::unknown, result_code::log_silent) == exit_code::unknown);
    }

    void the_winner_of_a_race_is_named() {
        change_result lost = ended(change_end::refused, result_code::manifest_stale_base);
        lost.winner = record_id("r1");
        lost.winner_author = "ana";
        CPPUNIT_ASSERT(report_change(lost, report_form::text).output.find("r1 by \"ana\"") !=
                       std::string::npos);
        CPPUNIT_ASSERT(
            report_change(lost, report_form::json).output.find("\"winner_author\":\"ana\"") !=
            std::string::npos);
    }

    void a_state_shows_data_centres() {
        const ctl_report report =
            report_state(sample_manifest(), config_version(7), report_form::text);
        CPPUNIT_ASSERT_EQUAL(std::string("version 7\n"
                                         "data centre a: in, 1 workers, 1 executors\n"
                                         "data centre b: in, 1 workers, 0 executors\n"
                                         "1 services, 1 customers, 1 jobs\n"),
                             report.output);
    }

    void a_difference_lists_names() {
        manifest other = sample_manifest();
        other.executors.clear();
        other.data_centres.front().in_service = false;
        const ctl_report report =
            report_difference(change_between(sample_manifest(), other), report_form::text);
        CPPUNIT_ASSERT_EQUAL(std::string("put data centre a\nremove executor x-a\n"),
                             report.output);
        CPPUNIT_ASSERT(report.exit == exit_code::differs);
        CPPUNIT_ASSERT(report_difference({}, report_form::text).exit == exit_code::done);
    }

    void commands_check_their_arguments() {
        ctl_commands commands{{}};
        CPPUNIT_ASSERT(!commands.run("drain", {}).has_value());
        CPPUNIT_ASSERT(!commands.run("state", {"a"}).has_value());
        CPPUNIT_ASSERT(!commands.run("undrain", {"a"}).has_value());
        CPPUNIT_ASSERT(commands.run("check", {"/does/not/exist"})->exit == exit_code::usage);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_report_test);

} // namespace
} // namespace figwinch
