#include "figwinch/link.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

class link_offer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_offer_test);
    CPPUNIT_TEST(an_offer_says_what_was_put_in);
    CPPUNIT_TEST(a_reply_says_what_was_put_in);
    CPPUNIT_TEST(bytes_that_are_no_offer_are_none);
    CPPUNIT_TEST(the_narrower_of_processor_and_link_decides);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_offer_says_what_was_put_in() {
        const link_offer offer{
            incarnation_id("h#1"), "10.0.0.1:7000", data_centre_id("a"), 120, true, true, 7};
        const auto read = decode_offer(encode_offer(offer));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->incarnation == offer.incarnation);
        CPPUNIT_ASSERT_EQUAL(offer.bus_address, read->bus_address);
        CPPUNIT_ASSERT(read->data_centre == offer.data_centre);
        CPPUNIT_ASSERT_EQUAL(offer.carries, read->carries);
        CPPUNIT_ASSERT(read->leaving);
        CPPUNIT_ASSERT(read->reads);
        CPPUNIT_ASSERT_EQUAL(offer.readers_digest, read->readers_digest);
    }
    void a_reply_says_what_was_put_in() {
        CPPUNIT_ASSERT(
            decode_offer_reply(encode_offer_reply({true, reading_part::undecided, false, {}}))
                ->used);
        CPPUNIT_ASSERT(
            !decode_offer_reply(encode_offer_reply({false, reading_part::undecided, false, {}}))
                 ->used);
        const reader_list readers(
            {{"10.0.0.2:7000", data_centre_id("b")}, {"10.0.0.1:7000", data_centre_id("a")}});
        const offer_reply reply{false, reading_part::asker, true, readers};
        const auto read = decode_offer_reply(encode_offer_reply(reply));
        CPPUNIT_ASSERT(read->part == reading_part::asker);
        CPPUNIT_ASSERT(read->coordinates);
        CPPUNIT_ASSERT(read->readers.has_value());
        CPPUNIT_ASSERT(read->readers->places() == readers.places());
        CPPUNIT_ASSERT_EQUAL(readers.digest(), read->readers->digest());
        CPPUNIT_ASSERT(!decode_offer_reply(encode_offer_reply({}))->readers.has_value());
    }
    void bytes_that_are_no_offer_are_none() {
        CPPUNIT_ASSERT(!decode_offer(""));
        CPPUNIT_ASSERT(!decode_offer("\xff\xff\xff"));
    }
    /// Guards against assigning a host more workers than its CPU share or its bandwidth allows.
    void the_narrower_of_processor_and_link_decides() {
        CPPUNIT_ASSERT(workers_carried(0.5, 200) > workers_carried(0.12, 200));
        CPPUNIT_ASSERT(workers_carried(0.12, 2) < workers_carried(0.12, 20));
        CPPUNIT_ASSERT(workers_carried(0.001, 0.001) >= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_offer_test);

} // namespace
} // namespace figwinch
