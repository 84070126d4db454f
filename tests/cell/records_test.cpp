#include "figwinch/cell.h"
#include "figwinch/simulation/sim_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace figwinch {
namespace {

/// Encoding of records and task names, and the state that is built from records.
class records_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(records_test);
    CPPUNIT_TEST(a_job_survives_its_record);
    CPPUNIT_TEST(progress_survives_its_record);
    CPPUNIT_TEST(marks_name_all_workers_and_hardly_any_other);
    CPPUNIT_TEST(random_bytes_are_refused_or_bounded);
    CPPUNIT_TEST(names_of_tasks_are_read_back);
    CPPUNIT_TEST(malformed_names_are_refused);
    CPPUNIT_TEST(jobs_out_of_bounds_are_refused);
    CPPUNIT_TEST(older_records_never_undo_newer_ones);
    CPPUNIT_TEST(an_ended_job_keeps_no_work_in_whatever_order_it_is_read);
    CPPUNIT_TEST(unreadable_records_are_counted_and_passed_over);
    CPPUNIT_TEST(a_follower_reports_keys_that_went_while_it_was_away);
    CPPUNIT_TEST_SUITE_END();

    static step_spec step_of(std::uint32_t tasks) {
        step_spec step;
        step.tasks = tasks;
        return step;
    }
    static job_spec full_job() {
        step_spec first;
        first.tasks = 9;
        first.size = {1500, 2048, 1};
        first.estimate = std::chrono::milliseconds(700);
        first.label = "gpu";
        first.preferred_rack = rack_id("r1-2");
        first.max_per_worker = 2;
        step_spec second = first;
        second.depends_on = {0};
        second.gang = second.one_rack = second.saves_checkpoints = true;
        second.image = "i";
        second.latency_target = std::chrono::milliseconds(50);
        job_spec job;
        job.queue = queue_name("q");
        job.service = service_id("s");
        job.payload = std::string("bytes \0 of a caller", 19);
        job.steps = {first, second};
        job.repeats = 3;
        job.first_due_ms = 1'700'000'000'000;
        job.interval_ms = 4500;
        job.attempts = 4;
        job.stretch = 1.5;
        job.target = std::chrono::milliseconds(250);
        job.accepted_at = wall_time(std::chrono::milliseconds(1'700'000'000'000));
        return job;
    }

public:
    void a_job_survives_its_record() {
        const auto read = decode_job(encode_job(full_job()));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(encode_job(full_job()), encode_job(*read));
        CPPUNIT_ASSERT_EQUAL(std::string("gpu"), read->steps[0].label);
        CPPUNIT_ASSERT(read->steps[1].gang);
        CPPUNIT_ASSERT_EQUAL(full_job().payload, read->payload);
    }
    void progress_survives_its_record() {
        job_progress progress;
        progress.begun = true;
        progress.occurrences_ended = 2;
        std::vector<task_progress> tasks(11);
        tasks[0].done = tasks[10].done = true;
        tasks[4].failed_runs = {run_number(77), run_number(5)};
        tasks[4].checkpoint = "c";
        tasks[3].assigned_worker = worker_id("w3");
        tasks[6].crashed_runs = {
            {run_number(9), std::chrono::milliseconds(40), crash_suspicion::sole, true}};
        tasks[7].trial_run = run_number(11);
        progress.occurrences[2].steps = {tasks};
        const auto read = decode_progress(encode_progress(progress));
        CPPUNIT_ASSERT(read.has_value());
        const std::vector<task_progress>& back = read->occurrences.at(2).steps.at(0);
        CPPUNIT_ASSERT(back.at(0).done && back.at(10).done && !back.at(5).done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, back.at(4).failed_runs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), back.at(4).checkpoint);
        CPPUNIT_ASSERT(back.at(3).assigned_worker == worker_id("w3"));
        const crashed_run& crash = back.at(6).crashed_runs.at(0);
        CPPUNIT_ASSERT(crash.run == run_number(9) && crash.confirmed);
        CPPUNIT_ASSERT(crash.age == std::chrono::milliseconds(40));
        CPPUNIT_ASSERT(crash.suspicion == crash_suspicion::sole);
        CPPUNIT_ASSERT(back.at(7).trial_run == run_number(11));
    }
    void marks_name_all_workers_and_hardly_any_other() {
        worker_fingerprints marks;
        for (int index = 0; index < 400; ++index)
            marks.add(worker_id("w" + std::to_string(index)));
        const std::string bytes = marks.encode();
        CPPUNIT_ASSERT(bytes.size() <= 800);
        const worker_fingerprints read = worker_fingerprints::decode(bytes);
        CPPUNIT_ASSERT(read == marks);
        worker_fingerprints one;
        CPPUNIT_ASSERT(!read.may_intersect(one));
        one.add(worker_id("w7"));
        CPPUNIT_ASSERT(read.may_intersect(one) && one.may_intersect(read));
        int others = 0;
        for (int index = 0; index < 10'000; ++index) {
            const bool named = read.may_contain(worker_id("w" + std::to_string(index)));
            CPPUNIT_ASSERT(named || index >= 400);
            others += named && index >= 400 ? 1 : 0;
        }
        CPPUNIT_ASSERT(others < 150);
        // An incomplete mark at the end is ignored.
        CPPUNIT_ASSERT(worker_fingerprints::decode("abc") == worker_fingerprints::decode("ab"));
    }
    void random_bytes_are_refused_or_bounded() {
        std::mt19937_64 random(11);
        const std::string good = encode_job(full_job());
        for (int round = 0; round < 20'000; ++round) {
            std::string bytes = good;
            for (std::size_t change = 0; change <= random() % 4; ++change)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(random() % (bytes.size() + 1));
            if (const auto job = decode_job(bytes))
                CPPUNIT_ASSERT(validate_job(*job).ok());
            decode_progress(bytes);
            decode_worker(bytes);
            decode_election_record(bytes);
        }
    }
    void names_of_tasks_are_read_back() {
        const task_name name{job_id("5c0e7a21d94b36f8"), 3, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.3.1.17"), to_string(name));
        CPPUNIT_ASSERT(parse_task_name(to_string(name)) == name);
    }
    void malformed_names_are_refused() {
        for (const char* const text : {"", ".", "a", "a.0.0", "a.0.0.", "a.0.0.0.0", "a.0.x.0",
                                       ".0.0.0", "a.0.0.99999999999999999999", "a.-1.0.0"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_task_name(text).has_value());
    }
    void jobs_out_of_bounds_are_refused() {
        job_spec job = full_job();
        CPPUNIT_ASSERT(validate_job(job).ok());
        job.steps[1].depends_on = {1};
        CPPUNIT_ASSERT(code_of(validate_job(job)) == result_code::invalid_value);
        job = full_job();
        job.steps[0].tasks = 0;
        CPPUNIT_ASSERT(!validate_job(job).ok());
        job = full_job();
        job.steps[0].size.cpu_millis = -1;
        CPPUNIT_ASSERT(!validate_job(job).ok());
        job = full_job();
        job.steps.clear();
        CPPUNIT_ASSERT(!validate_job(job).ok());
        job = full_job();
        job.payload.assign(4001, 'x');
        CPPUNIT_ASSERT(!validate_job(job).ok());
        job = full_job();
        job.steps.assign(8, step_of(10'000));
        CPPUNIT_ASSERT(validate_job_size(job).ok());
        job.steps.push_back(step_of(1));
        CPPUNIT_ASSERT(validate_job(job).ok());
        CPPUNIT_ASSERT(code_of(validate_job_size(job)) == result_code::invalid_value);
        job.steps.assign(1, step_of(4'001));
        CPPUNIT_ASSERT(validate_job_size(job).ok());
        job.steps.front().is_service = true;
        CPPUNIT_ASSERT(!validate_job_size(job).ok());
        job.steps.front().tasks = 1;
        job.repeats = 4'000;
        CPPUNIT_ASSERT(validate_job_size(job).ok());
        job.repeats = 4'001;
        CPPUNIT_ASSERT(!validate_job_size(job).ok());
        job.repeats = 4'000;
        job.steps.push_back(step_of(20));
        CPPUNIT_ASSERT(!validate_job_size(job).ok());
        job.steps.front().is_service = false;
        CPPUNIT_ASSERT(validate_job_size(job).ok());
    }
    void older_records_never_undo_newer_ones() {
        cell_state state;
        job_progress progress;
        progress.phase = job_phase::succeeded;
        state.apply(cell_stream::progress, {"pa", encode_progress(progress), 9});
        progress.phase = job_phase::open;
        state.apply(cell_stream::progress, {"pa", encode_progress(progress), 4});
        CPPUNIT_ASSERT(state.find(job_id("a"))->phase == job_phase::succeeded);
    }
    /// Guards against hosts that keep payload and steps of all recently ended jobs in memory, and
    /// against treating an ended job as unknown.
    void an_ended_job_keeps_no_work_in_whatever_order_it_is_read() {
        job_progress ended;
        ended.phase = job_phase::succeeded;
        const stored_record job{"ja", encode_job(full_job()), 1};
        const stored_record end{"pa", encode_progress(ended), 1};
        for (const bool job_first : {true, false}) {
            cell_state state;
            state.apply(job_first ? cell_stream::intake : cell_stream::progress,
                        job_first ? job : end);
            state.apply(job_first ? cell_stream::progress : cell_stream::intake,
                        job_first ? end : job);
            state.apply(cell_stream::intake, {"ja", job.value, 2});
            const job_entry* const known = state.find(job_id("a"));
            CPPUNIT_ASSERT(known != nullptr && known->spec);
            CPPUNIT_ASSERT(known->phase == job_phase::succeeded);
            CPPUNIT_ASSERT(known->spec->queue == full_job().queue);
            CPPUNIT_ASSERT(known->spec->accepted_at == full_job().accepted_at);
            CPPUNIT_ASSERT(known->spec->payload.empty() && known->spec->steps.empty());
            state.apply(cell_stream::intake, {"ja", std::nullopt, 3});
            state.apply(cell_stream::progress, {"pa", std::nullopt, 3});
            CPPUNIT_ASSERT(state.find(job_id("a")) == nullptr);
        }
    }
    void unreadable_records_are_counted_and_passed_over() {
        cell_state state;
        state.apply(cell_stream::intake, {"ja", "\xff\xff", 1});
        state.apply(cell_stream::intake, {"x", "y", 2});
        state.apply(cell_stream::intake, {"zz", "y", 3});
        state.apply(cell_stream::progress, {"pa", "\xff\xff", 4});
        state.apply(cell_stream::progress, {"wa", "\xff\xff", 5});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.unreadable_records());
        CPPUNIT_ASSERT(state.find(job_id("a")) == nullptr || !state.find(job_id("a"))->spec);
    }
    /// The log drops its history while a host can't reach it. When the host loads again, keys that
    /// were deleted meanwhile must be deleted from its copy too.
    void a_follower_reports_keys_that_went_while_it_was_away() {
        sim::sim_time time;
        sim::sim_store store;
        sim::sim_log log(time, store, [] { return 0.5; });
        std::map<std::string, std::string> copy;
        keyed_follower follower(time.clock(), log, cell_stream::intake, {},
                                [&copy](const stored_record& record) {
                                    if (record.value)
                                        copy[record.key] = *record.value;
                                    else
                                        copy.erase(record.key);
                                });
        const auto run = [&] {
            for (int round = 0; round < 200; ++round) {
                follower.tick();
                time.run_for(std::chrono::milliseconds(10));
            }
        };
        for (int index = 0; index < 50; ++index)
            store.append(cell_stream::intake, {{"j" + std::to_string(index), "v", 0}}, {});
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{50}, copy.size());
        log.state = sim::sim_log::way::refused;
        store.append(cell_stream::intake, {{"j7", std::nullopt, 0}, {"j50", "v", 0}}, {});
        store.compact();
        run();
        log.state = sim::sim_log::way::open;
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{50}, copy.size());
        CPPUNIT_ASSERT(!copy.contains("j7") && copy.contains("j50"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(records_test);

} // namespace
} // namespace figwinch
