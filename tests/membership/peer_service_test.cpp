#include "tests/membership/sim_process.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class peer_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_service_test);
    CPPUNIT_TEST(processes_find_each_other_through_one_seed);
    CPPUNIT_TEST(a_cut_makes_suspects_then_dead_members_and_heals);
    CPPUNIT_TEST(a_restarted_process_is_another_incarnation);
    CPPUNIT_TEST(leaving_is_told_at_once);
    CPPUNIT_TEST(each_pair_exchanges_about_one_heartbeat_a_period);
    CPPUNIT_TEST(only_an_own_question_dates_a_confirmation);
    CPPUNIT_TEST(a_process_settles_when_its_seeds_are_heard);
    CPPUNIT_TEST(a_silent_seed_holds_up_no_process_for_long);
    CPPUNIT_TEST(a_process_without_seeds_is_settled);
    CPPUNIT_TEST(unknown_requests_are_refused_and_errors_arrive_as_errors);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_network network_{loop_};
    std::vector<std::unique_ptr<sim_process>> all_;

    sim_process& start(const std::string& address, const std::string& run = "1") {
        all_.push_back(
            std::make_unique<sim_process>(network_, address, std::vector<std::string>{"p0"}, run));
        return *all_.back();
    }
    void start_all(int count) {
        for (int i = 0; i < count; ++i)
            start("p" + std::to_string(i));
        loop_.run_for(3s);
    }

    void processes_find_each_other_through_one_seed() {
        start_all(8);
        for (const auto& each : all_) {
            const std::vector<member> members = each->peers.members();
            CPPUNIT_ASSERT_EQUAL(std::size_t{7}, members.size());
            for (const member& other : members)
                CPPUNIT_ASSERT(other.state == member_state::live);
        }
    }

    void a_cut_makes_suspects_then_dead_members_and_heals() {
        start_all(3);
        network_.cut = {{"p1", "p2"}};
        loop_.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::string("suspect"), all_[1]->sees("p2"));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), all_[0]->sees("p2"));
        loop_.run_for(4s);
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), all_[1]->sees("p2"));
        loop_.run_for(1min);
        network_.cut.clear();
        loop_.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::string("live"), all_[1]->sees("p2"));
    }

    void a_restarted_process_is_another_incarnation() {
        start_all(3);
        int changes = 0;
        all_[1]->peers.on_change([&] { ++changes; });
        all_[2].reset();
        all_.pop_back();
        start("p2", "2");
        loop_.run_for(1s);
        CPPUNIT_ASSERT(changes > 0);
        for (const member& each : all_[1]->peers.members())
            CPPUNIT_ASSERT(each.address != "p2" || each.incarnation == incarnation_id("p2#2"));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), all_[1]->sees("p2"));
    }

    void leaving_is_told_at_once() {
        start_all(3);
        all_[2]->peers.start_leaving();
        loop_.run_for(5ms);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), all_[0]->sees("p2"));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), all_[1]->sees("p2"));
    }

    void each_pair_exchanges_about_one_heartbeat_a_period() {
        start_all(8);
        loop_.run_for(10s);
        const std::uint64_t before = all_[3]->bus.traffic().messages_sent;
        loop_.run_for(100s);
        // 7 peers, two periods a second, one message each: as the asking or as the answering side.
        const std::uint64_t sent = all_[3]->bus.traffic().messages_sent - before;
        constexpr std::uint64_t expected = 7UL * 2 * 100;
        CPPUNIT_ASSERT(sent >= expected * 9 / 10 && sent <= expected * 3 / 2);
    }

    // A peer's heartbeat, held up on the way for seconds, says that its view was confirmed just
    // now. Only the answer to an own question has a bound on its age.
    void only_an_own_question_dates_a_confirmation() {
        start_all(2);
        std::vector<std::int64_t> asked;
        std::vector<std::int64_t> unasked;
        all_[0]->peers.describe_with([](pb::Heartbeat& beat) { beat.set_config_age_ms(7); });
        all_[1]->peers.on_heartbeat(
            [&](const member&, const pb::Heartbeat& beat, instant asked_at) {
                auto& list = asked_at == loop_.now() ? unasked : asked;
                list.push_back(beat.config_age_ms());
            });
        loop_.run_for(10s);
        CPPUNIT_ASSERT(!asked.empty() && !unasked.empty());
        CPPUNIT_ASSERT(std::ranges::count(asked, 7) == static_cast<std::ptrdiff_t>(asked.size()));
        CPPUNIT_ASSERT(std::ranges::count(unasked, -1) ==
                       static_cast<std::ptrdiff_t>(unasked.size()));
    }

    // Guards against a start that is over before the process knows whom it can send to.
    void a_process_settles_when_its_seeds_are_heard() {
        sim_process& late = start("p1");
        CPPUNIT_ASSERT(!late.peers.has_settled());
        loop_.run_for(400ms);
        CPPUNIT_ASSERT(!late.peers.has_settled());
        start("p0");
        loop_.run_for(700ms);
        CPPUNIT_ASSERT_EQUAL(std::string("live"), late.sees("p0"));
        CPPUNIT_ASSERT(late.peers.has_settled());
    }

    // Guards against a start that waits for a peer that has been gone for days.
    void a_silent_seed_holds_up_no_process_for_long() {
        const sim_process& alone = start("p1");
        loop_.run_for(1400ms);
        CPPUNIT_ASSERT(!alone.peers.has_settled());
        loop_.run_for(300ms);
        CPPUNIT_ASSERT(alone.peers.has_settled());
        loop_.run_for(1min);
        CPPUNIT_ASSERT(alone.peers.has_settled());
    }

    void a_process_without_seeds_is_settled() { CPPUNIT_ASSERT(start("p0").peers.has_settled()); }

    void unknown_requests_are_refused_and_errors_arrive_as_errors() {
        start_all(2);
        std::optional<absl::StatusOr<pb::PeerReply>> answer;
        const auto ask = [&] {
            pb::PeerRequest request;
            request.mutable_show_job()->set_job("j");
            all_[1]->peers.ask("p0", request, 1s,
                               [&](const absl::StatusOr<pb::PeerReply>& reply) { answer = reply; });
            loop_.run_for(2s);
            return code_of(answer->status());
        };
        CPPUNIT_ASSERT(ask() == result_code::peer_version);
        all_[0]->peers.handle(pb::PeerRequest::kShowJob,
                              [](const incarnation_id&, const pb::PeerRequest&,
                                 const std::function<void(pb::PeerReply)>& reply) {
                                  pb::PeerReply refusal;
                                  refusal.set_code(number(result_code::not_found));
                                  reply(refusal);
                              });
        CPPUNIT_ASSERT(ask() == result_code::not_found);
        network_.cut = {{"p0", "p1"}};
        CPPUNIT_ASSERT(ask() == result_code::peer_unreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_service_test);

} // namespace
} // namespace figwinch
