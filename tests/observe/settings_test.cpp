#include "figwinch/observe.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

ABSL_FLAG(int, test_port, 80, "a port");
ABSL_FLAG(bool, test_fast, false, "a switch");
ABSL_FLAG(std::string, test_peer, "", "an endpoint");

namespace figwinch {
namespace {

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(a_flag_wins_over_its_variable_and_that_over_the_default);
    CPPUNIT_TEST(both_forms_of_flags_are_read);
    CPPUNIT_TEST(every_fault_is_named);
    CPPUNIT_TEST(an_unknown_variable_is_a_fault_but_the_scripts_one);
    CPPUNIT_TEST(a_range_and_an_endpoint_are_checked);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<absl::FlagSaver> saved_;

    /// A variable of the environment for the length of one test.
    class scoped_variable {
    public:
        scoped_variable(const char* name, const char* value) : name_(name) {
            setenv(name, value, 1);
        }
        ~scoped_variable() { unsetenv(name_); }
        scoped_variable(const scoped_variable&) = delete;
        scoped_variable& operator=(const scoped_variable&) = delete;

    private:
        const char* name_;
    };

    static settings_reader read(std::vector<std::string> words) {
        words.insert(words.begin(), "program");
        std::vector<char*> argv;
        argv.reserve(words.size());
        for (std::string& word : words)
            argv.push_back(word.data());
        return {{"program", "does nothing", {}}, static_cast<int>(argv.size()), argv.data()};
    }

    static std::string faults_of(const settings_reader& settings) {
        const std::ostringstream captured;
        std::streambuf* const before = std::cerr.rdbuf(captured.rdbuf());
        const bool accepted = settings.accept();
        std::cerr.rdbuf(before);
        CPPUNIT_ASSERT_EQUAL(accepted, captured.str().empty());
        return captured.str();
    }

    void a_flag_wins_over_its_variable_and_that_over_the_default() {
        CPPUNIT_ASSERT(read({}).accept());
        CPPUNIT_ASSERT_EQUAL(80, absl::GetFlag(FLAGS_test_port));
        const scoped_variable variable("FIGWINCH_TEST_PORT", "81");
        CPPUNIT_ASSERT(read({}).accept());
        CPPUNIT_ASSERT_EQUAL(81, absl::GetFlag(FLAGS_test_port));
        CPPUNIT_ASSERT(read({"--test_port=82"}).accept());
        CPPUNIT_ASSERT_EQUAL(82, absl::GetFlag(FLAGS_test_port));
    }

    void both_forms_of_flags_are_read() {
        const settings_reader settings =
            read({"file", "--test_port", "7", "--test_fast", "--", "--x"});
        CPPUNIT_ASSERT(settings.accept());
        CPPUNIT_ASSERT_EQUAL(7, absl::GetFlag(FLAGS_test_port));
        CPPUNIT_ASSERT(absl::GetFlag(FLAGS_test_fast));
        CPPUNIT_ASSERT((settings.arguments() == std::vector<std::string>{"file", "--x"}));
        CPPUNIT_ASSERT(read({"--notest_fast"}).accept());
        CPPUNIT_ASSERT(!absl::GetFlag(FLAGS_test_fast));
    }

    void every_fault_is_named() {
        const std::string faults =
            faults_of(read({"--test_port=many", "--unheard_of=1", "--test_peer"}));
        for (const char* part : {"900", "--test_port=many", "--unheard_of: no such flag",
                                 "--test_peer: a value is missing"})
            CPPUNIT_ASSERT_MESSAGE(part, faults.find(part) != std::string::npos);
    }

    // An operator misspells FIGWINCH_TEST_PROT. Taken silently, the daemon would run on a default
    // that nobody wants, and nobody would know.
    void an_unknown_variable_is_a_fault_but_the_scripts_one() {
        const scoped_variable jobs("FIGWINCH_JOBS", "3");
        CPPUNIT_ASSERT(read({}).accept());
        const scoped_variable misspelt("FIGWINCH_TEST_PROT", "81");
        CPPUNIT_ASSERT(faults_of(read({})).find("FIGWINCH_TEST_PROT") != std::string::npos);
    }

    void a_range_and_an_endpoint_are_checked() {
        settings_reader settings = read({});
        settings.require_range("test_port", 70000, 1, 65535, "(a port)");
        settings.require_endpoint("test_peer", "host:1");
        const std::string faults = faults_of(settings);
        for (const char* part : {"--test_port=70000: expected 1 to 65535 (a port)",
                                 "FIGWINCH_TEST_PORT", "--test_peer=host:1: expected an IP number"})
            CPPUNIT_ASSERT_MESSAGE(part, faults.find(part) != std::string::npos);
    }

public:
    void setUp() override { saved_ = std::make_unique<absl::FlagSaver>(); }
    void tearDown() override { saved_.reset(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace
} // namespace figwinch
