#include "figwinch/learning.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch {
namespace {

const customer_id studio("studio-a");
const template_id render("stem-render");
constexpr resources declared{.cpu_millis = 4000, .memory_mib = 8192, .accelerators = 1};

class size_estimator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(size_estimator_test);
    CPPUNIT_TEST(a_declared_size_holds_until_enough_tasks_were_seen);
    CPPUNIT_TEST(a_size_copied_ten_times_too_large_comes_down);
    CPPUNIT_TEST(a_size_copied_ten_times_too_small_rises_with_the_first_report);
    CPPUNIT_TEST(a_template_whose_use_jumps_up_is_followed_at_once);
    CPPUNIT_TEST(a_template_whose_use_falls_is_followed_by_new_tasks);
    CPPUNIT_TEST(one_task_over_the_peak_does_not_hide_the_memory_of_another);
    CPPUNIT_TEST(many_reports_of_one_task_are_one_task);
    CPPUNIT_TEST(reports_without_use_are_ignored);
    CPPUNIT_TEST(customers_do_not_share_what_was_learned);
    CPPUNIT_TEST(the_least_recently_seen_pair_is_forgotten);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<size_estimator> sizes_ = size_estimator::create({.max_pairs = 3});
    int next_task_ = 0;

    void run_tasks(int count, const resources& used, int reports = 4) {
        for (int i = 0; i < count; ++i) {
            const task_id task("job/" + std::to_string(next_task_++));
            for (int report = 0; report < reports; ++report)
                sizes_->observe(studio, render, task, used);
        }
    }
    resources commit() const { return sizes_->commit_size(studio, render, declared); }

    void a_declared_size_holds_until_enough_tasks_were_seen() {
        CPPUNIT_ASSERT(commit() == declared);
        run_tasks(4, {.cpu_millis = 400, .memory_mib = 800});
        CPPUNIT_ASSERT(commit() == declared);
        run_tasks(1, {.cpu_millis = 400, .memory_mib = 800});
        CPPUNIT_ASSERT(commit() ==
                       (resources{.cpu_millis = 480, .memory_mib = 960, .accelerators = 1}));
    }

    // Tasks submitted with a copied script declare ten times what they use. Guards against
    // committing the declared size, which leaves nine tenths of each host idle while tasks queue.
    void a_size_copied_ten_times_too_large_comes_down() {
        run_tasks(20, {.cpu_millis = 400, .memory_mib = 819});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{480}, commit().cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{983}, commit().memory_mib);
        CPPUNIT_ASSERT_EQUAL(declared.accelerators, commit().accelerators);
    }

    // Tasks submitted with a copied script declare a tenth of what they use. If the size rose only
    // after five observed tasks, ten of them would be placed on a host that fits one, which then
    // swaps. The first report must raise it.
    void a_size_copied_ten_times_too_small_rises_with_the_first_report() {
        run_tasks(1, {.cpu_millis = 40'000, .memory_mib = 81'920}, 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{48'000}, commit().cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{98'304}, commit().memory_mib);
    }

    // The use of a template's tasks rises to eight times what it was. Guards against committing the
    // old size, which overcommits the hosts, until every sample in the window has been replaced.
    void a_template_whose_use_jumps_up_is_followed_at_once() {
        run_tasks(16, {.cpu_millis = 500, .memory_mib = 1000}, 1);
        run_tasks(1, {.cpu_millis = 4000, .memory_mib = 8000}, 1);
        CPPUNIT_ASSERT(commit().cpu_millis >= 4000);
        CPPUNIT_ASSERT(commit().memory_mib >= 8000);
    }

    void a_template_whose_use_falls_is_followed_by_new_tasks() {
        run_tasks(16, {.cpu_millis = 4000, .memory_mib = 8000});
        run_tasks(16, {.cpu_millis = 500, .memory_mib = 1000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{600}, commit().cpu_millis);
    }

    // The window is full and its oldest sample has the memory peak. A new task with the highest CPU
    // use replaces that sample. Guards against losing the memory peak while the replaced task still
    // runs.
    void one_task_over_the_peak_does_not_hide_the_memory_of_another() {
        run_tasks(1, {.cpu_millis = 500, .memory_mib = 8000}, 1);
        run_tasks(15, {.cpu_millis = 500, .memory_mib = 1000}, 1);
        run_tasks(1, {.cpu_millis = 2000, .memory_mib = 1000}, 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2400}, commit().cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9600}, commit().memory_mib);
    }

    void many_reports_of_one_task_are_one_task() {
        run_tasks(1, {.cpu_millis = 10, .memory_mib = 10}, 1000);
        CPPUNIT_ASSERT(commit() == declared);
    }

    void reports_without_use_are_ignored() {
        run_tasks(20, {});
        sizes_->observe(studio, template_id(), task_id("job/0"), {.cpu_millis = 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sizes_->pairs());
        CPPUNIT_ASSERT(commit() == declared);
        CPPUNIT_ASSERT(sizes_->commit_size(studio, render, {}).cpu_millis > 0);
    }

    void customers_do_not_share_what_was_learned() {
        run_tasks(8, {.cpu_millis = 400, .memory_mib = 800});
        const resources rival = sizes_->commit_size(customer_id("studio-b"), render, declared);
        CPPUNIT_ASSERT(rival == declared);
    }

    void the_least_recently_seen_pair_is_forgotten() {
        const resources used{.cpu_millis = 40'000, .memory_mib = 1};
        for (const char* name : {"a", "b", "c", "a", "d"})
            sizes_->observe(studio, template_id(name), task_id("job/0"), used);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sizes_->pairs());
        CPPUNIT_ASSERT(sizes_->commit_size(studio, template_id("b"), declared) == declared);
        CPPUNIT_ASSERT(sizes_->commit_size(studio, template_id("a"), declared) != declared);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(size_estimator_test);

} // namespace
} // namespace figwinch
