#include "tests/cell/cell_world.h"
#include "tests/link/fake_workers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t first_born = 1'000;
constexpr std::uint64_t second_born = 200'000;
constexpr std::int64_t first_clock_ms = 100'000;
constexpr std::int64_t second_clock_ms = 50;

/// A coordinator whose worker restarts, with orders that the test answers.
class restarted_worker_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(restarted_worker_clock_test);
    CPPUNIT_TEST(an_answer_of_an_earlier_incarnation_doesnt_set_the_clock);
    CPPUNIT_TEST(an_answer_of_an_unknown_incarnation_doesnt_set_the_clock);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    sim_store store_;
    sim_log log_{time_, store_, [] { return 0.5; }};
    sim_policy policy_;
    sim_advisor advisor_{time_, policy_};
    fake_workers workers_;
    progress_writer writer_{time_.clock(),
                            log_,
                            lease_epoch(1),
                            record_limits(cell_settings{}.max_record_bytes),
                            [](const stored_record&) {},
                            [] {}};
    std::unique_ptr<coordinator> coordinator_;

    void run_for(duration span) {
        for (duration passed{}; passed < span; passed += milliseconds(5)) {
            coordinator_->tick();
            writer_.tick();
            time_.run_for(milliseconds(5));
        }
    }
    void report(std::uint64_t incarnation, std::int64_t clock_ms) {
        CPPUNIT_ASSERT(!workers_.holds.empty());
        const fake_workers::recorded_hold asked = workers_.holds.back();
        worker_report shown;
        shown.incarnation = incarnation;
        shown.clock_ms = clock_ms;
        asked.done(order_outcome::done, shown);
    }
    /// Leaves a start for the worker's first incarnation unanswered.
    void start_on_first_incarnation() {
        run_for(milliseconds(100));
        report(first_born, first_clock_ms);
        run_for(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, workers_.starts.size());
    }
    void answer_start(std::int64_t clock_ms, bool may_reach_other_incarnation) {
        order_answer answer;
        answer.outcome = order_outcome::done;
        answer.clock_ms = clock_ms;
        answer.may_reach_other_incarnation = may_reach_other_incarnation;
        const auto done = workers_.starts.front().done;
        done(answer);
    }
    /// Asserts that the worker's next lease ends about one lease after `clock_ms`.
    void assert_next_lease_from(std::int64_t clock_ms) {
        run_for(milliseconds(100));
        const std::optional<std::int64_t> until = workers_.holds.back().order.lease_until_ms;
        CPPUNIT_ASSERT(until);
        constexpr std::int64_t tolerance_ms = 1000;
        const std::int64_t lease_ms = cell_settings().lease() / milliseconds(1);
        CPPUNIT_ASSERT(std::abs(*until - clock_ms - lease_ms) < tolerance_ms);
    }

public:
    void setUp() override {
        coordinator_ = coordinator::create({time_.clock(), workers_, advisor_, writer_,
                                            [this] { return time_.now(); }, [] { return true; },
                                            [] { return true; }, [] {},
                                            [](const job_id&, const std::function<void()>&) {}},
                                           {}, lease_epoch(1), {true, {}, {}}, {});
        cell_config config;
        config.version = config_version(1);
        config.queues.push_back(
            {queue_name("q"), "h", "/q/", service_id("s"), 0, 3, 2, duration{}, std::nullopt});
        coordinator_->apply_config(config);
        worker_listing worker = listing_of("w1");
        worker.service = service_id("s");
        worker.capacity = {4000, 16'384, 0};
        coordinator_->update_workers({worker});
        job_entry job;
        job.id = job_id("a");
        job.spec = std::make_shared<const job_spec>(
            cell_world::make_job({cell_world::make_step(1, 1000)}));
        coordinator_->apply_intake(job);
    }
    /// Guards against a lease that ends on the clock of an earlier incarnation: the later one
    /// grants its longest lease.
    void an_answer_of_an_earlier_incarnation_doesnt_set_the_clock() {
        start_on_first_incarnation();
        report(second_born, second_clock_ms);
        answer_start(first_clock_ms, false);
        assert_next_lease_from(second_clock_ms);
    }
    /// Guards against the same by an answer that may be another incarnation's.
    void an_answer_of_an_unknown_incarnation_doesnt_set_the_clock() {
        start_on_first_incarnation();
        answer_start(2 * first_clock_ms, true);
        report(first_born, first_clock_ms);
        assert_next_lease_from(first_clock_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_worker_clock_test);

} // namespace
} // namespace figwinch::sim
