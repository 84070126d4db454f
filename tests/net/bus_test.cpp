#include "net/message_age.h"
#include "tests/net/raw_client.h"
#include "tests/net/tcp_relay.h"

#include "figwinch/base.h"
#include "figwinch/net.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {
namespace {

using reply_function = std::function<void(std::string)>;

constexpr duration long_timeout = std::chrono::seconds(50);
constexpr duration short_timeout = std::chrono::milliseconds(20);

class bus_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bus_test);
    CPPUNIT_TEST(a_question_is_answered);
    CPPUNIT_TEST(many_questions_at_once_are_all_answered);
    CPPUNIT_TEST(a_reply_after_the_timeout_is_dropped);
    CPPUNIT_TEST(nobody_there_is_unreachable);
    CPPUNIT_TEST(an_address_that_is_none_is_unreachable);
    CPPUNIT_TEST(a_silent_link_is_replaced);
    CPPUNIT_TEST(a_message_that_was_held_up_is_not_delivered);
    CPPUNIT_TEST(foreign_messages_are_dropped);
    CPPUNIT_TEST(forgetting_ends_open_questions);
    CPPUNIT_TEST(everything_may_end_inside_a_callback);
    CPPUNIT_TEST(age_is_counted_from_the_quickest_message);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    manual_clock time_;
    std::unique_ptr<bus> asker_;
    std::unique_ptr<bus> server_;
    std::vector<std::string> seen_;
    std::vector<reply_function> held_;
    bool hold_ = false;

public:
    void setUp() override {
        asker_ = make_bus("asker#1");
        server_ = make_bus("server#1");
        server_->on_request([this](const bus_sender&, std::string_view body, reply_function reply) {
            seen_.emplace_back(body);
            if (hold_)
                held_.push_back(std::move(reply));
            else
                reply("re:" + seen_.back());
        });
    }

private:
    std::unique_ptr<bus> make_bus(const char* self) {
        auto made = bus::bind(loop_, time_, "127.0.0.1", 0, incarnation_id(self));
        CPPUNIT_ASSERT(made.ok());
        return std::move(*made);
    }

    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    absl::StatusOr<std::string> ask(const std::string& where, const std::string& body,
                                    duration timeout = long_timeout) {
        std::optional<absl::StatusOr<std::string>> result;
        asker_->ask(where, body, timeout, [&](absl::StatusOr<std::string> reply) {
            CPPUNIT_ASSERT(!result.has_value());
            result = std::move(reply);
        });
        run_until(loop_, [&] { return result.has_value(); });
        return *result;
    }

    void assert_unreachable(const absl::StatusOr<std::string>& reply) {
        CPPUNIT_ASSERT(code_of(reply.status()) == result_code::peer_unreachable);
    }

    void a_question_is_answered() {
        const auto reply = ask(address(server_->port()), "hello");
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("re:hello"), *reply);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server_->traffic().messages_received);
        CPPUNIT_ASSERT_EQUAL(server_->traffic().bytes_sent, asker_->traffic().bytes_received);
    }

    // ZeroMQ's descriptor signals a change of state, not a message: a reader that takes one message
    // for each signal is left with the rest, and every later answer comes one question late.
    void many_questions_at_once_are_all_answered() {
        constexpr int count = 500;
        int answered = 0;
        for (int i = 0; i < count; ++i) {
            const std::string body = std::to_string(i);
            asker_->ask(address(server_->port()), body, long_timeout,
                        [&, body](const absl::StatusOr<std::string>& reply) {
                            if (reply.ok() && *reply == "re:" + body)
                                ++answered;
                        });
        }
        run_until(loop_, [&] { return answered == count; });
    }

    void a_reply_after_the_timeout_is_dropped() {
        hold_ = true;
        assert_unreachable(ask(address(server_->port()), "slow", std::chrono::milliseconds(200)));
        hold_ = false;
        for (const reply_function& reply : held_)
            reply("late");
        CPPUNIT_ASSERT_EQUAL(std::string("re:next"), *ask(address(server_->port()), "next"));
    }

    void nobody_there_is_unreachable() {
        const std::string where = address(server_->port());
        server_.reset();
        assert_unreachable(ask(where, "hello", short_timeout));
    }

    void an_address_that_is_none_is_unreachable() {
        assert_unreachable(ask("nowhere", "hello", short_timeout));
    }

    // Something between two hosts loses track of their connection: what is sent on it is swallowed
    // without an error, while a new connection works. Without a new connection the two processes
    // would take each other for dead until one is restarted.
    void a_silent_link_is_replaced() {
        tcp_relay relay(loop_, server_->port());
        CPPUNIT_ASSERT(ask(address(relay.port()), "first").ok());
        relay.freeze();
        constexpr int most_tries = 200;
        bool answered = false;
        for (int i = 0; i < most_tries && !answered; ++i)
            answered = ask(address(relay.port()), "again", std::chrono::milliseconds(100)).ok();
        CPPUNIT_ASSERT(answered);
    }

    // A link holds a message up for an hour and then delivers it. Its sender gave up long ago; a
    // claim or a hand-over that is acted on now would be one that nobody stands behind.
    void a_message_that_was_held_up_is_not_delivered() {
        tcp_relay relay(loop_, server_->port());
        CPPUNIT_ASSERT(ask(address(relay.port()), "first").ok());
        relay.freeze();
        assert_unreachable(ask(address(relay.port()), "stale", short_timeout));
        time_.advance(std::chrono::hours(1));
        relay.thaw();
        run_until(loop_, [&] { return server_->traffic().messages_received == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server_->traffic().expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen_.size());
    }

    void foreign_messages_are_dropped() {
        zmq::context_t context;
        zmq::socket_t stranger(context, zmq::socket_type::dealer);
        stranger.set(zmq::sockopt::linger, 0);
        stranger.connect("tcp://" + address(server_->port()));
        stranger.send(zmq::str_buffer("one part"), zmq::send_flags::none);
        stranger.send(zmq::str_buffer("\xff\xff"), zmq::send_flags::sndmore);
        stranger.send(zmq::str_buffer("body"), zmq::send_flags::none);
        CPPUNIT_ASSERT(ask(address(server_->port()), "known").ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen_.size());
    }

    void forgetting_ends_open_questions() {
        hold_ = true;
        std::optional<absl::Status> ended;
        asker_->ask(address(server_->port()), "x", long_timeout,
                    [&](const absl::StatusOr<std::string>& reply) { ended = reply.status(); });
        run_until(loop_, [&] { return !held_.empty(); });
        asker_->forget(address(server_->port()));
        run_until(loop_, [&] { return ended.has_value(); });
        CPPUNIT_ASSERT(code_of(*ended) == result_code::peer_unreachable);
    }

    void everything_may_end_inside_a_callback() {
        bool ended = false;
        asker_->ask(address(server_->port()), "x", long_timeout,
                    [&](const absl::StatusOr<std::string>&) {
                        asker_.reset();
                        ended = true;
                    });
        run_until(loop_, [&] { return ended; });
    }

    void age_is_counted_from_the_quickest_message() {
        message_age_estimator ages;
        const instant sent{std::chrono::hours(5)}; // of another clock
        const instant now = time_.now();
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(ages.age(sent, now) == duration::zero());
        CPPUNIT_ASSERT(ages.age(sent, now + milliseconds(30)) == milliseconds(30));
        CPPUNIT_ASSERT(ages.age(sent + milliseconds(40), now + milliseconds(35)) ==
                       duration::zero());
        CPPUNIT_ASSERT(ages.age(sent, now) == milliseconds(5));
        CPPUNIT_ASSERT(ages.age(sent, now + std::chrono::seconds(61)) ==
                       std::chrono::seconds(61) + milliseconds(5));
        CPPUNIT_ASSERT(!ages.is_stale(now + std::chrono::seconds(62)));
        CPPUNIT_ASSERT(ages.is_stale(now + std::chrono::minutes(10)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bus_test);

} // namespace
} // namespace figwinch
