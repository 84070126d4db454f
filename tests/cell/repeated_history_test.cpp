#include "tests/cell/cell_history.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>

namespace figwinch::sim {
namespace {

struct played_history {
    std::uint64_t seed;
    std::size_t faults;
};

/// The same seed played several times in one process.
class repeated_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(repeated_history_test);
    CPPUNIT_TEST(a_seed_gives_the_same_history_each_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array histories = {
        played_history{2'000'042, 1},  played_history{3'000'065, 2},  played_history{4'000'067, 6},
        played_history{5'000'026, 3},  played_history{21'000'071, 6}, played_history{24'500'135, 6},
        played_history{25'000'003, 2}, played_history{27'000'013, 4}, played_history{28'000'015, 4},
        played_history{34'000'012, 0},
    };

    static std::uint64_t digest_of(const played_history& played) {
        return run_history(played.seed, played.faults).digest;
    }

public:
    /// Guards against decisions that depend on addresses, on the order of a hash table or on what
    /// was played before, so that a violation can't be found again by its seed.
    void a_seed_gives_the_same_history_each_time() {
        std::map<std::uint64_t, std::uint64_t> digests;
        for (const played_history& played : histories)
            digests[played.seed] = digest_of(played);
        // In the other order, so that others come before each and memory lies elsewhere.
        for (auto played = histories.rbegin(); played != histories.rend(); ++played)
            CPPUNIT_ASSERT_EQUAL(digests.at(played->seed), digest_of(*played));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_history_test);

} // namespace
} // namespace figwinch::sim
