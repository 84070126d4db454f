#include "tools/experiment/load_file.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <string>

namespace figwinch::experiment {
namespace {

class load_file_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_file_test);
    CPPUNIT_TEST(every_key_is_read);
    CPPUNIT_TEST(every_load_of_the_project_is_read);
    CPPUNIT_TEST(a_value_out_of_range_is_named_with_file_key_value_and_range);
    CPPUNIT_TEST(a_value_of_another_type_is_refused);
    CPPUNIT_TEST(an_unknown_key_is_refused);
    CPPUNIT_TEST(keys_that_dont_fit_together_are_refused);
    CPPUNIT_TEST(a_text_that_is_no_json_is_refused_with_its_place);
    CPPUNIT_TEST(nesting_without_end_is_refused);
    CPPUNIT_TEST(a_file_that_isnt_there_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* good_class = R"({"name": "c", "steps": [{}]})";

    static std::string error_of(const std::string& text) {
        const auto load = read_load(text, "loads/x.json");
        return load.ok() ? "" : std::string(load.status().message());
    }
    static void refuses(const std::string& text, const std::string& expected) {
        const std::string error = error_of(text);
        CPPUNIT_ASSERT_MESSAGE("\"" + error + "\" doesn't say \"" + expected + "\"",
                               error.find(expected) != std::string::npos);
    }
    static std::string with_class(const std::string& members) {
        return R"({"classes": [{"name": "c", "steps": [{}], )" + members + "}]}";
    }
    static std::string with_step(const std::string& members) {
        return R"({"classes": [{"name": "c", "steps": [{}, {)" + members + "}]}]}";
    }
    static std::string with_top(const std::string& members) {
        return std::string(R"({"classes": [)") + good_class + "], " + members + "}";
    }

    void every_key_is_read() {
        const auto load = read_load(R"({
            "pattern": "p", "day_s": 2.5, "settle_s": 3, "workers": 4, "data_centres": 2,
            "cores_per_worker": 6.5, "memory_mib_per_worker": 700, "arrivals_factor": 2,
            "failing": 0.25, "slowdown_per_core": 0.5, "log_delay_ms": 8,
            "classes": [{"name": "c", "kind": "serving", "arrivals_per_s": 1.5,
                "jobs_at_start": 9, "burst_every_s": 10, "burst_jobs": 11, "stretch": 1.25,
                "target_s": 12, "tail_target_ms": 13,
                "steps": [{}, {"tasks": 14, "seconds": 1.75, "spread": 0.1, "guess_factor": 3,
                    "guess_spread": 0.2, "cores": 0.5, "memory_mib": 15, "after": [0]}]}],
            "losses": [{"at_s": 1, "workers": 3, "back_after_s": 5}, {"data_centre": 1}],
            "slow_logs": [{"from_s": 1, "to_s": 2, "delay_ms": 30}]})",
                                    "x");
        CPPUNIT_ASSERT_MESSAGE(std::string(load.status().message()), load.ok());
        using std::chrono::milliseconds;
        using std::chrono::seconds;
        CPPUNIT_ASSERT_EQUAL(std::string("p"), load->pattern);
        CPPUNIT_ASSERT(load->day == milliseconds(2500) && load->settle == seconds(3));
        CPPUNIT_ASSERT(load->workers == 4 && load->data_centres == 2);
        CPPUNIT_ASSERT(load->cores_per_worker == 6.5 && load->memory_mib_per_worker == 700);
        CPPUNIT_ASSERT(load->arrivals_factor == 2 && load->failing == 0.25);
        CPPUNIT_ASSERT(load->slowdown_per_core == 0.5 && load->log_delay == milliseconds(8));
        const class_load& one = load->classes.at(0);
        CPPUNIT_ASSERT(one.name == "c" && one.kind == task_kind::serving);
        CPPUNIT_ASSERT(one.arrivals_per_s == 1.5 && one.jobs_at_start == 9);
        CPPUNIT_ASSERT(one.burst_every == seconds(10) && one.burst_jobs == 11);
        CPPUNIT_ASSERT(one.stretch == 1.25 && one.target == seconds(12));
        CPPUNIT_ASSERT(one.tail_target == milliseconds(13));
        const step_load& step = one.steps.at(1);
        CPPUNIT_ASSERT(step.tasks == 14 && step.length == milliseconds(1750));
        CPPUNIT_ASSERT(step.spread == 0.1 && step.guess_factor == 3 && step.guess_spread == 0.2);
        CPPUNIT_ASSERT(step.cores == 0.5 && step.memory_mib == 15);
        CPPUNIT_ASSERT(step.after == std::vector<std::uint32_t>{0});
        CPPUNIT_ASSERT(load->losses.at(0).workers == 3 && load->losses.at(0).data_centre == -1);
        CPPUNIT_ASSERT(load->losses.at(0).at == seconds(1));
        CPPUNIT_ASSERT(load->losses.at(0).back_after == seconds(5));
        CPPUNIT_ASSERT(load->losses.at(1).data_centre == 1);
        CPPUNIT_ASSERT(load->slow_logs.at(0).from == seconds(1));
        CPPUNIT_ASSERT(load->slow_logs.at(0).to == seconds(2));
        CPPUNIT_ASSERT(load->slow_logs.at(0).delay == milliseconds(30));
    }
    void every_load_of_the_project_is_read() {
        const std::filesystem::path folder = FIGWINCH_SOURCE_DIR "/experiments/loads";
        std::size_t read = 0;
        for (const auto& file : std::filesystem::directory_iterator(folder)) {
            const auto load = read_load_file(file.path());
            CPPUNIT_ASSERT_MESSAGE(std::string(load.status().message()), load.ok());
            CPPUNIT_ASSERT(!load->pattern.empty());
            ++read;
        }
        CPPUNIT_ASSERT(read >= 4);
    }
    void a_value_out_of_range_is_named_with_file_key_value_and_range() {
        refuses(with_step(R"("seconds": -3)"),
                "loads/x.json: classes[0] steps[1] seconds=-3: expected 0.05 to 86400 s");
        refuses(with_top(R"("workers": 0)"),
                "loads/x.json: workers=0: expected 1 to 20000 workers");
        refuses(with_top(R"("workers": 2.5)"),
                "loads/x.json: workers=2.5: expected 1 to 20000 workers");
        refuses(with_top(R"("slow_logs": [{"delay_ms": 6000}])"),
                "loads/x.json: slow_logs[0] delay_ms=6000: expected 1 to 5000 ms");
        refuses(with_top(R"("losses": [{"at_s": 1e9, "workers": 1}])"),
                "losses[0] at_s=1000000000.0: expected 0 to 86400 s");
    }
    void a_value_of_another_type_is_refused() {
        refuses(with_top(R"("day_s": "long")"), "day_s=\"long\": expected 1 to 86400 s");
        refuses(with_class(R"("kind": "quick")"),
                "classes[0] kind=\"quick\": expected batch, filling, lasting or serving");
        refuses(R"({"classes": {}})", "classes={...}: expected a list");
        refuses(R"({"classes": [7]})", "classes[0]=7: expected an object");
        refuses(with_step(R"("after": [-1])"), "after[0]=-1: expected the number of an earlier");
        refuses("[]", "loads/x.json:=[...]: expected an object");
    }
    /// Guards against a misspelt key, for which the default would be played.
    void an_unknown_key_is_refused() {
        refuses(with_top(R"("worker": 3)"), "loads/x.json: worker=3: expected no such key");
        refuses(with_class(R"("burst": 3)"), "classes[0] burst=3");
        refuses(with_step(R"("core": 3)"), "steps[1] core=3");
    }
    void keys_that_dont_fit_together_are_refused() {
        refuses("{}", "classes=[]: expected at least one class");
        refuses(R"({"classes": [{"name": "c"}]})", "steps=0 steps: expected 1 to 100 steps");
        refuses(R"({"classes": [{"steps": [{}]}]})", "classes[0] name=");
        refuses(with_class(R"("kind": "serving")"), "tail_target_ms=0: expected 1 to 60000 ms");
        refuses(with_class(R"("tail_target_ms": 5)"), "tail_target_ms=5: expected 0");
        refuses(with_class(R"("burst_jobs": 5)"), "burst_every_s=0: expected above 0");
        refuses(with_step(R"("cores": 17)"), "cores=17: expected at most cores_per_worker, 16");
        refuses(with_step(R"("memory_mib": 70000)"), "expected at most memory_mib_per_worker");
        refuses(with_step(R"("after": [1])"), "after=1: expected the number of an earlier step");
        refuses(with_top(R"("losses": [{}])"), "expected either workers or data_centre");
        refuses(with_top(R"("losses": [{"workers": 2}])"), "workers=2: expected 1 to 1 workers");
        refuses(with_top(R"("losses": [{"data_centre": 1}])"), "data_centre=1: expected 0 to 0");
    }
    void a_text_that_is_no_json_is_refused_with_its_place() {
        refuses(R"({"workers": })", "loads/x.json: byte 12: Invalid value.");
        refuses("", "loads/x.json: byte 0: The document is empty.");
    }
    /// Guards against a file that takes the process's stack.
    void nesting_without_end_is_refused() {
        constexpr std::size_t depth = 1'000'000;
        refuses(with_top(R"("day_s": )" + std::string(depth, '[') + std::string(depth, ']')),
                "day_s=[...]");
    }
    void a_file_that_isnt_there_is_refused() {
        const auto load = read_load_file("/nowhere/load.json");
        CPPUNIT_ASSERT(!load.ok());
        CPPUNIT_ASSERT(std::string(load.status().message()).find("/nowhere/load.json") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_file_test);

} // namespace
} // namespace figwinch::experiment
