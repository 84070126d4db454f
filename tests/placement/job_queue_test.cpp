#include "figwinch/placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

class job_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_queue_test);
    CPPUNIT_TEST(urgent_work_goes_ahead_of_everything);
    CPPUNIT_TEST(the_customer_that_uses_least_goes_first);
    CPPUNIT_TEST(a_removed_job_is_never_visited);
    CPPUNIT_TEST(a_refused_customer_does_not_hold_up_the_next);
    CPPUNIT_TEST_SUITE_END();

    job_queue queue_;

    void add(const std::string& job, const std::string& customer, work_class rank,
             std::uint64_t age) {
        queue_.add(job_key(job), customer_id(customer), rank, age);
    }

    std::string visited() const {
        std::string order;
        queue_.visit(100, [&order](const job_key& job) {
            order += job.str() + ' ';
            return job_queue::visit_result::next_job;
        });
        return order;
    }

    void urgent_work_goes_ahead_of_everything() {
        add("bulk", "a", work_class::bulk, 1);
        add("normal", "a", work_class::normal, 2);
        add("service", "a", work_class::service, 3);
        add("urgent", "a", work_class::urgent, 4);
        CPPUNIT_ASSERT_EQUAL(std::string("urgent service normal bulk "), visited());
    }

    // Guards against starvation: in a first-come, first-served queue, a customer with one job would
    // wait for the thousands of jobs that another customer queued earlier.
    void the_customer_that_uses_least_goes_first() {
        add("a1", "a", work_class::normal, 1);
        add("a2", "a", work_class::normal, 2);
        add("b1", "b", work_class::normal, 3);
        queue_.set_usage(customer_id("a"), 4000);
        CPPUNIT_ASSERT_EQUAL(std::string("b1 a1 a2 "), visited());
        queue_.set_usage(customer_id("b"), 8000);
        CPPUNIT_ASSERT_EQUAL(std::string("a1 a2 b1 "), visited());
    }

    void a_removed_job_is_never_visited() {
        add("a1", "a", work_class::normal, 1);
        add("a2", "a", work_class::normal, 2);
        queue_.remove(job_key("a1"));
        queue_.remove(job_key("a1"));
        CPPUNIT_ASSERT_EQUAL(std::string("a2 "), visited());
        queue_.remove(job_key("a2"));
        CPPUNIT_ASSERT_EQUAL(std::string(), visited());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.size());
    }

    void a_refused_customer_does_not_hold_up_the_next() {
        add("a1", "a", work_class::normal, 1);
        add("a2", "a", work_class::normal, 2);
        add("b1", "b", work_class::normal, 3);
        std::string order;
        queue_.visit(100, [&order](const job_key& job) {
            order += job.str() + ' ';
            return job_queue::visit_result::next_customer;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("a1 b1 "), order);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_queue_test);

} // namespace
} // namespace figwinch
