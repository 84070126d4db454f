#include "cell_host/cell_member.h"
#include "platform/config_codec.h"
#include "tests/cell_host/captured_log.h"
#include "tests/cell_host/fake_platform.h"
#include "tests/cell_host/scripted_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

/// Decodes operators' records as the users' platform has them.
class operators_platform final : public fake_platform {
public:
    using fake_platform::fake_platform;

    scripted_log operators{cell_stream::operators};

    durable_log& log() override { return operators; }
    bool is_config_key(std::string_view key) const override { return platform::is_config_key(key); }
    std::optional<cell_config> decode_config(std::string_view bytes) const override {
        return platform::decode_config(bytes);
    }
    std::optional<data_centre_id> evacuated_by(std::string_view key) const override {
        return platform::evacuated_data_centre(key);
    }
};

class silent_peers final : public peer_client {
public:
    void ask(const std::string&, std::string, duration, handler) override {}
};

/// Follows an operators' stream in which another writer left odd records.
class odd_operator_records_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_operator_records_test);
    CPPUNIT_TEST(an_odd_configuration_leaves_the_former_in_force);
    CPPUNIT_TEST(a_good_configuration_after_an_odd_one_is_followed);
    CPPUNIT_TEST(odd_records_before_the_first_configuration_hide_nothing);
    CPPUNIT_TEST(an_odd_route_hides_no_other);
    CPPUNIT_TEST(an_evacuation_holds_whatever_its_value);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    operators_platform platform_{loop_};
    manual_clock time_;
    silent_peers peers_;
    cell_member member_{time_, platform_, peers_, {}, incarnation_id("host-1#1"), {}, 1};

    static std::string deep() {
        constexpr std::size_t depth = 1'000'000;
        return std::string(depth, '[') + std::string(depth, ']');
    }
    static std::string config(const std::string& version, const std::string& more_routes = "") {
        return R"({"version":)" + version + R"(,"services":[{"name":"s"}],"routes":[)" +
               more_routes + R"({"name":"good","host":"h","pathPrefix":"/g/","service":"s"}]})";
    }
    static std::vector<std::string> odd_configs() {
        return {deep(),
                config(deep()),
                config("1e300"),
                config("1e400"),
                config("9223372036854775807"),
                config("18446744073709551615"),
                config("-1"),
                config("\"9\""),
                R"({"version":9,"services":)" + deep() + R"(,"routes":{}})",
                R"({"version":9,"services":[],"routes":)" + std::string(1'000'000, '['),
                std::string("\0\xff\xfe{", 4)};
    }
    static std::vector<std::string> odd_routes() {
        return {
            deep(),
            R"({"name":)" + deep() + "}",
            R"({"name":"odd","pathPrefix":"/o/","service":"s","advice":)" + deep() + "}",
            R"({"name":"odd","pathPrefix":"/o/","service":"s","attempts":1e300})",
            R"({"name":"odd","pathPrefix":"/o/","service":"s","stretch":-1e300})",
            R"({"name":"odd","pathPrefix":"/o/","service":"s","priority":18446744073709551615})",
            R"({"name":"odd","pathPrefix":"/o/","service":"s","targetLatencyMs":1e19})"};
    }
    /// Keys of operators' records that this system doesn't read, or that name nothing.
    static std::vector<std::string> odd_keys() {
        constexpr std::size_t longest_key = 255;
        return {"",
                "evacuate/",
                "evacuate",
                "wave/1",
                "config/",
                "\xff\n",
                std::string(longest_key, 'k')};
    }
    void add(const std::string& key, const std::optional<std::string>& value) {
        platform_.operators.records.push_back({key, value, platform_.operators.records.size()});
    }
    void follow() {
        for (int turn = 0; turn < 20; ++turn) {
            member_.tick();
            time_.advance(std::chrono::milliseconds(200));
        }
    }
    std::uint64_t version() const {
        return member_.config() ? member_.config()->version.value() : 0;
    }

public:
    /// Guards against a host that ends, or drops its routes, at a configuration that it can't read.
    void an_odd_configuration_leaves_the_former_in_force() {
        add("config", config("5"));
        follow();
        for (const std::string& odd : odd_configs()) {
            const captured_log log(log_level::warn);
            add("config", odd);
            follow();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, version());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count("config_unreadable"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, member_.config()->queues.size());
    }
    /// Guards against a host that stops following the operators at a record that it can't read.
    void a_good_configuration_after_an_odd_one_is_followed() {
        std::uint64_t number = 0;
        for (const std::string& odd : odd_configs()) {
            add("config", odd);
            add("config", config(std::to_string(++number)));
            follow();
            CPPUNIT_ASSERT_EQUAL(number, version());
        }
    }
    /// Guards against a host that can't begin while such records are there.
    void odd_records_before_the_first_configuration_hide_nothing() {
        for (const std::string& key : odd_keys())
            for (const std::string& odd : odd_configs())
                add(key, odd);
        add("config", config("5"));
        follow();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, version());
        for (const std::string& key : odd_keys())
            add(key, std::nullopt);
        add("config", config("6"));
        follow();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, version());
    }
    void an_odd_route_hides_no_other() {
        std::uint64_t number = 0;
        for (const std::string& odd : odd_routes()) {
            add("config", config(std::to_string(++number), odd + ","));
            follow();
            CPPUNIT_ASSERT_EQUAL(number, version());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, member_.config()->queues.size());
            CPPUNIT_ASSERT_EQUAL(std::string("good"), member_.config()->queues[0].name.str());
        }
    }
    /// Guards against starts in a data centre whose evacuation has a value that can't be read.
    void an_evacuation_holds_whatever_its_value() {
        const captured_log log(log_level::info);
        for (const std::string& odd : odd_configs())
            add("evacuate/z", odd);
        follow();
        CPPUNIT_ASSERT_EQUAL(odd_configs().size(), log.count(R"("taken_out": true)"));
        add("evacuate/z", std::nullopt);
        follow();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(R"("taken_out": false)"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_operator_records_test);

} // namespace
} // namespace figwinch
