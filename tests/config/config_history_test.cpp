#include "tests/config/config_history.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

namespace figwinch {
namespace {

// The plain build runs them all. Under the sanitizers one takes some thirty times as long, and what
// they look for does not depend on the number of seeds.
#ifdef __SANITIZE_ADDRESS__
constexpr unsigned histories = 400;
constexpr unsigned lagging_histories = 200;
#else
constexpr unsigned histories = 8000;
constexpr unsigned lagging_histories = 2000;
#endif

class config_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_history_test);
    CPPUNIT_TEST(histories_keep_every_promise);
    CPPUNIT_TEST(histories_with_lagging_replicas_never_go_back);
    CPPUNIT_TEST_SUITE_END();

    void run(unsigned first, unsigned count, bool with_lag) {
        std::uint64_t accepted = 0;
        unsigned unrecoverable = 0;
        for (unsigned seed = first; seed < first + count; ++seed) {
            config_history history(seed, with_lag);
            const std::string failure = history.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), failure);
            accepted += history.accepted();
            unrecoverable += history.was_recoverable() ? 0 : 1;
        }
        std::cout << "\nseeds " << first << " to " << first + count - 1 << ": " << accepted
                  << " accepted changes, " << unrecoverable
                  << " histories in which no process and no record held the state any more\n";
        CPPUNIT_ASSERT(unrecoverable < count / 50);
    }

    // Operators race, records are doubled, the log goes down and loses records, processes are cut
    // off, frozen and restarted, peers answer late. All processes must agree on each version, go
    // only forward, and never start in a data centre that was taken out more than 3 s ago.
    void histories_keep_every_promise() { run(1, histories, false); }

    // As above, and replicas of the log lag. No start rule can hold then by reads alone; versions
    // still agree and only grow.
    void histories_with_lagging_replicas_never_go_back() { run(100'001, lagging_histories, true); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_history_test);

} // namespace
} // namespace figwinch
