#include "figwinch/base.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch {
namespace {

std::string pick(const std::vector<std::string>& nodes, const std::string& key) {
    return *std::ranges::max_element(
        nodes, {}, [&key](const std::string& node) { return rendezvous_weight(node, key); });
}

class stable_hash_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stable_hash_test);
    CPPUNIT_TEST(the_hash_is_the_same_in_every_build);
    CPPUNIT_TEST(a_lost_node_moves_only_its_own_keys);
    CPPUNIT_TEST_SUITE_END();

    void the_hash_is_the_same_in_every_build() {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2d06800538d394c2}, stable_hash(""));
    }

    void a_lost_node_moves_only_its_own_keys() {
        const std::vector<std::string> all = {"a", "b", "c", "d"};
        const std::vector<std::string> without_d = {"a", "b", "c"};
        for (int i = 0; i < 1000; ++i) {
            const std::string key = "key" + std::to_string(i);
            const std::string before = pick(all, key);
            if (before != "d")
                CPPUNIT_ASSERT_EQUAL(before, pick(without_d, key));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stable_hash_test);

} // namespace
} // namespace figwinch
