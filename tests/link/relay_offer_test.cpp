#include "figwinch/link.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

class relay_offer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_offer_test);
    CPPUNIT_TEST(an_offer_survives_encoding);
    CPPUNIT_TEST(a_reply_survives_encoding);
    CPPUNIT_TEST(invalid_bytes_decode_to_no_offer);
    CPPUNIT_TEST(the_scarcer_of_cpu_and_bandwidth_decides);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_offer_survives_encoding() {
        const relay_offer offer{
            incarnation_id("h#1"), "10.0.0.1:7000", data_centre_id("a"), 120, true, true, 7};
        const auto read = decode_offer(encode_offer(offer));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->incarnation == offer.incarnation);
        CPPUNIT_ASSERT_EQUAL(offer.bus_address, read->bus_address);
        CPPUNIT_ASSERT(read->data_centre == offer.data_centre);
        CPPUNIT_ASSERT_EQUAL(offer.worker_capacity, read->worker_capacity);
        CPPUNIT_ASSERT(read->leaving);
        CPPUNIT_ASSERT(read->has_job_copy);
        CPPUNIT_ASSERT_EQUAL(offer.replicas_digest, read->replicas_digest);
    }
    void a_reply_survives_encoding() {
        CPPUNIT_ASSERT(
            decode_offer_reply(encode_offer_reply({true, read_mode::undecided, false, {}}))
                ->used_as_relay);
        CPPUNIT_ASSERT(
            !decode_offer_reply(encode_offer_reply({false, read_mode::undecided, false, {}}))
                 ->used_as_relay);
        const replica_list replicas(
            {{"10.0.0.2:7000", data_centre_id("b")}, {"10.0.0.1:7000", data_centre_id("a")}});
        const offer_reply reply{false, read_mode::forwarding, true, replicas};
        const auto read = decode_offer_reply(encode_offer_reply(reply));
        CPPUNIT_ASSERT(read->mode == read_mode::forwarding);
        CPPUNIT_ASSERT(read->from_coordinator);
        CPPUNIT_ASSERT(read->replicas.has_value());
        CPPUNIT_ASSERT(read->replicas->entries() == replicas.entries());
        CPPUNIT_ASSERT_EQUAL(replicas.digest(), read->replicas->digest());
        CPPUNIT_ASSERT(!decode_offer_reply(encode_offer_reply({}))->replicas.has_value());
    }
    void invalid_bytes_decode_to_no_offer() {
        CPPUNIT_ASSERT(!decode_offer(""));
        CPPUNIT_ASSERT(!decode_offer("\xff\xff\xff"));
    }
    /// Guards against assigning a host more workers than its CPU share or its bandwidth allows.
    void the_scarcer_of_cpu_and_bandwidth_decides() {
        CPPUNIT_ASSERT(relay_capacity(0.5, 200) > relay_capacity(0.12, 200));
        CPPUNIT_ASSERT(relay_capacity(0.12, 2) < relay_capacity(0.12, 20));
        CPPUNIT_ASSERT(relay_capacity(0.001, 0.001) >= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_offer_test);

} // namespace
} // namespace figwinch
