#include "figwinch/link.h"
#include "link.pb.h"
#include "tests/link/fake_workers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

class relay_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_server_test);
    CPPUNIT_TEST(orders_of_a_deposed_coordinator_arent_forwarded);
    CPPUNIT_TEST(an_exchange_that_was_missed_ends_the_session);
    CPPUNIT_TEST(bytes_that_are_no_exchange_are_refused);
    CPPUNIT_TEST(answers_of_an_earlier_session_are_dropped);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    fake_workers workers_;
    relay_server server_{time_, workers_};

    static pb::LinkExchange make(const std::string& session, std::uint64_t number,
                                 std::uint64_t epoch) {
        pb::LinkExchange exchange;
        exchange.set_session(session);
        exchange.set_number(number);
        exchange.set_epoch(epoch);
        pb::LinkWorker& worker = *exchange.add_workers();
        worker.set_number(1);
        worker.set_id("w1");
        pb::LinkOrder& order = *exchange.add_orders();
        order.set_kind(pb::LinkOrder::HOLD);
        order.set_number(number);
        order.set_worker(1);
        return exchange;
    }
    pb::LinkReply reply_to(const pb::LinkExchange& exchange) {
        pb::LinkReply reply;
        CPPUNIT_ASSERT(
            reply.ParseFromString(server_.handle_exchange(exchange.SerializeAsString())));
        return reply;
    }

public:
    /// Guards against a relay that forwards orders of a deposed coordinator beside those of its
    /// successor.
    void orders_of_a_deposed_coordinator_arent_forwarded() {
        CPPUNIT_ASSERT(reply_to(make("old", 1, 4)).taken());
        CPPUNIT_ASSERT(reply_to(make("new", 1, 5)).taken());
        CPPUNIT_ASSERT(!reply_to(make("old", 2, 4)).taken());
        CPPUNIT_ASSERT(!reply_to(make("old again", 1, 4)).taken());
        CPPUNIT_ASSERT(reply_to(make("new", 2, 5)).taken());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, workers_.holds.size());
    }
    /// Guards against orders that refer to workers or payloads of an exchange that the relay never
    /// received.
    void an_exchange_that_was_missed_ends_the_session() {
        CPPUNIT_ASSERT(reply_to(make("one", 1, 4)).taken());
        CPPUNIT_ASSERT(!reply_to(make("one", 3, 4)).taken());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, workers_.holds.size());
    }
    void bytes_that_are_no_exchange_are_refused() {
        for (const std::string& bytes : {std::string(), std::string("\xff\xff\xff", 3)}) {
            pb::LinkReply reply;
            CPPUNIT_ASSERT(reply.ParseFromString(server_.handle_exchange(bytes)));
            CPPUNIT_ASSERT(!reply.taken());
        }
    }
    /// Guards against matching an answer to another order: order numbers repeat in each session.
    void answers_of_an_earlier_session_are_dropped() {
        reply_to(make("one", 1, 4));
        reply_to(make("two", 1, 4));
        workers_.holds.at(0).done(order_outcome::done, {});
        CPPUNIT_ASSERT_EQUAL(0, reply_to(make("two", 2, 4)).results_size());
        workers_.holds.at(1).done(order_outcome::unknown, {});
        CPPUNIT_ASSERT_EQUAL(1, reply_to(make("two", 3, 4)).results_size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_server_test);

} // namespace
} // namespace figwinch
