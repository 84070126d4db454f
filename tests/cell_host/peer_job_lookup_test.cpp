#include "cell_host/peer_job_lookup.h"

#include "cell_host/job_query_codec.h"
#include "cell_host/job_query_server.h"
#include "tests/link/fake_peers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using kind = job_answer::kind;

/// A job source with the jobs that a test sets.
class known_jobs final : public job_lookup {
public:
    std::map<std::string, job_phase> phases;
    kind otherwise = kind::unknown;
    std::size_t waiting = 0;

    void find(const job_id& id, instant, job_handler done) override {
        const auto known = phases.find(id.str());
        if (known == phases.end())
            return done({otherwise, {}});
        job_answer answer;
        answer.outcome = kind::found;
        answer.job.phase = known->second;
        answer.job.begun = true;
        done(answer);
    }
    void count_waiting(const queue_name&, instant, waiting_handler done) override { done(waiting); }
    void tick() override {}
    void cap_deadlines(instant) override {}
};

/// Tests the lookups of a host without a read replica; there are one replica in its own data centre
/// and two in another one.
class peer_job_lookup_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_job_lookup_test);
    CPPUNIT_TEST(a_reader_of_the_same_data_centre_answers);
    CPPUNIT_TEST(another_reader_is_asked_when_one_is_silent);
    CPPUNIT_TEST(another_reader_is_asked_when_one_cant_tell);
    CPPUNIT_TEST(a_silent_reader_is_asked_last_for_a_while);
    CPPUNIT_TEST(a_job_that_the_log_doesnt_have_is_unknown);
    CPPUNIT_TEST(without_any_answer_it_cant_be_told);
    CPPUNIT_TEST(waiting_jobs_are_counted_by_a_reader);
    CPPUNIT_TEST(a_host_without_a_copy_cant_tell);
    CPPUNIT_TEST(bytes_that_are_no_question_or_answer_are_none);
    CPPUNIT_TEST_SUITE_END();

    struct reader {
        known_jobs jobs;
        bool reads = true;
        std::unique_ptr<job_query_server> server;
    };

    manual_clock time_;
    fake_peers peers_;
    replica_role role_{time_, incarnation_id("host-1#1")};
    std::map<std::string, reader> readers_;
    peer_job_lookup jobs_{{time_, peers_, role_, data_centre_id("a")}};

    void add_reader(const std::string& address) {
        reader& made = readers_[address];
        made.jobs.phases["j"] = job_phase::succeeded;
        made.server =
            std::make_unique<job_query_server>(time_, made.jobs, [&made] { return made.reads; });
        peers_.hosts[address] = [&made](std::string_view body) {
            std::string reply;
            made.server->handle(body, [&reply](const std::string& bytes) { reply = bytes; });
            return reply;
        };
    }
    void deliver_all() {
        for (int round = 0; round < 5; ++round)
            peers_.deliver();
    }
    std::optional<job_answer> ask(const std::string& job) {
        std::optional<job_answer> told;
        jobs_.find(job_id(job), time_.now() + seconds(2),
                   [&told](const job_answer& answer) { told = answer; });
        deliver_all();
        return told;
    }
    std::uint64_t answered(const std::string& address) {
        return readers_.at(address).server->answered();
    }

public:
    void setUp() override {
        offer_reply reply;
        reply.mode = read_mode::forwarding;
        reply.replicas = replica_list({{"a:1", data_centre_id("a")},
                                       {"b:1", data_centre_id("b")},
                                       {"b:2", data_centre_id("b")}});
        role_.apply(reply);
        for (const char* const address : {"a:1", "b:1", "b:2"})
            add_reader(address);
    }
    void a_reader_of_the_same_data_centre_answers() {
        for (int turn = 0; turn < 4; ++turn)
            CPPUNIT_ASSERT(ask("j")->job.phase == job_phase::succeeded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, answered("a:1"));
    }
    void another_reader_is_asked_when_one_is_silent() {
        peers_.hosts.erase("a:1");
        const auto told = ask("j");
        CPPUNIT_ASSERT(told->outcome == kind::found);
        CPPUNIT_ASSERT(told->job.begun);
    }
    void another_reader_is_asked_when_one_cant_tell() {
        readers_["a:1"].reads = false;
        CPPUNIT_ASSERT(ask("j")->outcome == kind::found);
    }
    /// Guards against each lookup waiting for the timeout of the same unresponsive replica.
    void a_silent_reader_is_asked_last_for_a_while() {
        peers_.hosts.erase("a:1");
        ask("j");
        const std::size_t before = peers_.asked;
        ask("j");
        CPPUNIT_ASSERT_EQUAL(before + 1, peers_.asked);
        time_.advance(seconds(2));
        add_reader("a:1");
        ask("j");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answered("a:1"));
    }
    void a_job_that_the_log_doesnt_have_is_unknown() {
        CPPUNIT_ASSERT(ask("other")->outcome == kind::unknown);
    }
    /// Guards against reporting a job as unknown when no replica could be asked.
    void without_any_answer_it_cant_be_told() {
        peers_.hosts.clear();
        CPPUNIT_ASSERT(ask("j")->outcome == kind::undetermined);
        jobs_.cap_deadlines(time_.now() - milliseconds(1));
        CPPUNIT_ASSERT(ask("j")->outcome == kind::undetermined);
    }
    void waiting_jobs_are_counted_by_a_reader() {
        readers_["a:1"].jobs.waiting = 12;
        std::optional<std::size_t> told;
        jobs_.count_waiting(queue_name("q"), time_.now() + seconds(2),
                            [&told](std::optional<std::size_t> waiting) { told = waiting; });
        deliver_all();
        CPPUNIT_ASSERT(told == std::size_t{12});
    }
    void a_host_without_a_copy_cant_tell() {
        for (auto& [address, host] : readers_)
            host.reads = false;
        CPPUNIT_ASSERT(ask("j")->outcome == kind::undetermined);
        CPPUNIT_ASSERT(ask("other")->outcome == kind::undetermined);
    }
    void bytes_that_are_no_question_or_answer_are_none() {
        for (const std::string_view bytes : {"", "\xff\xff\xff", "abc"}) {
            CPPUNIT_ASSERT(!decode_job_query(bytes));
            CPPUNIT_ASSERT(decode_job_answer(job_id("j"), bytes).outcome == kind::undetermined);
            CPPUNIT_ASSERT(!decode_waiting_answer(bytes));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_job_lookup_test);

} // namespace
} // namespace figwinch
