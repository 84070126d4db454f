#include "platform/worker_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch::platform {
namespace {

/// Orders to a worker that restarts under its id and at its address. Times in an order are on the
/// clock of one incarnation; on that of a later one they can lie hours ahead.
class worker_incarnations_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_incarnations_test);
    CPPUNIT_TEST(a_start_for_an_earlier_incarnation_isnt_carried_out_by_a_later_one);
    CPPUNIT_TEST(a_start_over_a_new_connection_reaches_its_incarnation);
    CPPUNIT_TEST(starts_over_new_connections_reach_their_incarnation);
    CPPUNIT_TEST(a_start_takes_a_connection_whose_incarnation_is_known);
    CPPUNIT_TEST(a_start_without_proof_of_the_incarnation_isnt_sent);
    CPPUNIT_TEST(a_start_that_is_no_longer_wanted_after_the_proof_isnt_sent);
    CPPUNIT_TEST(a_lease_for_an_earlier_incarnation_isnt_granted_by_a_later_one);
    CPPUNIT_TEST(ends_of_a_later_incarnation_arent_acknowledged_by_numbers_of_an_earlier_one);
    CPPUNIT_TEST(a_superseded_sender_learns_it_from_the_proof);
    CPPUNIT_TEST(a_start_over_a_connection_opened_after_the_restart_isnt_sent);
    CPPUNIT_TEST(starts_dropped_after_the_proof_leave_room_for_others);
    CPPUNIT_TEST(a_renewal_after_the_proof_names_its_time);
    CPPUNIT_TEST(a_refusal_for_another_worker_is_no_report);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t first_born = 1'750'000'000'000;
    static constexpr std::uint64_t second_born = first_born + 60'000;

    /// An order as the worker has received it.
    struct received_order {
        std::string path;
        std::string body;
        std::uint64_t born_ms = 0;
    };

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::uint16_t port_ = 0;
    std::vector<received_order> received_;
    std::vector<std::shared_ptr<http_responder>> unanswered_;
    bool is_silent_ = false;
    bool is_fenced_ = false;
    bool has_other_id_ = false;
    worker_client client_{loop_};

    /// Ends the worker's process, with its connections, and starts the next one at its address.
    void begin_life(std::uint64_t born_ms) {
        server_.reset();
        auto listening = http_server::listen(
            loop_, "127.0.0.1", port_, {},
            [this, born_ms](const http_request& order, const std::shared_ptr<http_responder>& to) {
                received_.push_back({order.path, order.body, born_ms});
                if (is_silent_)
                    return unanswered_.push_back(to);
                http_response answer;
                if (has_other_id_) {
                    answer.status = 421;
                    return to->respond(std::move(answer));
                }
                answer.status = is_fenced_ ? 409 : 200;
                answer.body = absl::StrCat(R"({"clockMs":1000,"born":)", born_ms,
                                           is_fenced_ ? R"(,"reason":"fence"})"
                                                      : R"(,"running":[],"finished":[]})");
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
        port_ = server_->port();
    }
    worker_listing worker() const {
        worker_listing listing;
        listing.id = worker_id("worker");
        listing.address = endpoint{"127.0.0.1", port_};
        return listing;
    }
    struct renewal_result {
        order_outcome outcome = order_outcome::unknown;
        std::uint64_t incarnation = 0;
    };
    renewal_result renew(const renewal_order& order) {
        renewal_result got;
        client_.renew_lease(worker(), order,
                            [&](order_outcome outcome, const worker_report& report) {
                                got = {outcome, report.incarnation};
                                loop_.stop();
                            });
        loop_.run();
        return got;
    }
    /// Renews the lease twice, so that the second report comes over a kept connection.
    void renew_first_lives_lease() {
        renew({});
        CPPUNIT_ASSERT(renew(lease_of_first_life()).outcome == order_outcome::done);
        received_.clear();
    }
    static renewal_order lease_of_first_life() {
        renewal_order order;
        order.lease_until_ms = 3'600'000;
        order.incarnation = first_born;
        order.epoch = lease_epoch(5);
        return order;
    }
    static start_order start_for_first_life() {
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.run = run_number(9);
        order.start_by_ms = 3'600'000;
        order.epoch = lease_epoch(5);
        order.incarnation = first_born;
        return order;
    }
    std::vector<order_outcome> start(std::size_t count, const start_order& order) {
        std::vector<order_outcome> outcomes;
        for (std::size_t index = 0; index < count; ++index)
            client_.start(worker(), order, [&, count](const order_answer& answer) {
                outcomes.push_back(answer.outcome);
                if (outcomes.size() == count)
                    loop_.stop();
            });
        loop_.run();
        return outcomes;
    }
    order_outcome start(const start_order& order) { return start(1, order).front(); }
    std::size_t starts_received() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            received_, [](const received_order& order) { return order.path.ends_with("start"); }));
    }
    /// Whether an order that the second incarnation received names a time on a worker's clock.
    bool has_second_life_a_time() const {
        return std::ranges::any_of(received_, [](const received_order& order) {
            return order.born_ms == second_born && absl::StrContains(order.body, "untilMs");
        });
    }

public:
    void setUp() override { begin_life(first_born); }

    /// Guards against a task that runs twice: the later incarnation carries out the start and
    /// grants its longest lease to everything that runs there.
    void a_start_for_an_earlier_incarnation_isnt_carried_out_by_a_later_one() {
        renew_first_lives_lease();
        begin_life(second_born);
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::other_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_received());
        CPPUNIT_ASSERT(!has_second_life_a_time());
    }
    /// Guards against starts that are refused for lack of a kept connection.
    void a_start_over_a_new_connection_reaches_its_incarnation() {
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts_received());
    }
    /// The same for more starts at a time than the worker has connections for.
    void starts_over_new_connections_reach_their_incarnation() {
        constexpr std::size_t count = 40;
        const std::vector<order_outcome> outcomes = start(count, start_for_first_life());
        CPPUNIT_ASSERT((outcomes == std::vector(count, order_outcome::done)));
        CPPUNIT_ASSERT_EQUAL(count, starts_received());
    }
    /// Guards against a hold before each order that follows orders which need no proof.
    void a_start_takes_a_connection_whose_incarnation_is_known() {
        renew_first_lives_lease();
        constexpr std::size_t stops = 3;
        std::size_t stopped = 0;
        for (std::size_t index = 0; index < stops; ++index)
            client_.stop(worker(), "5c0e7a21d94b36f8.0.1.13", run_number(1), lease_epoch(5),
                         [&](const order_answer&) {
                             if (++stopped == stops)
                                 loop_.stop();
                         });
        loop_.run();
        received_.clear();
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    }
    /// Guards against a start sent to a worker of which nothing proves that it is the one meant.
    void a_start_without_proof_of_the_incarnation_isnt_sent() {
        is_silent_ = true;
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_received());
    }
    /// Guards against starts that are sent past a notice or a deadline that fell into the proof.
    void a_start_that_is_no_longer_wanted_after_the_proof_isnt_sent() {
        start_order order = start_for_first_life();
        order.still_wanted = [] { return false; };
        CPPUNIT_ASSERT(start(order) == order_outcome::dropped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_received());
    }
    /// Guards against a lease that lasts for as long as the worker grants one, instead of the time
    /// that was asked for, and against not learning of the new incarnation.
    void a_lease_for_an_earlier_incarnation_isnt_granted_by_a_later_one() {
        renew_first_lives_lease();
        begin_life(second_born);
        const renewal_result renewed = renew(lease_of_first_life());
        CPPUNIT_ASSERT(renewed.outcome == order_outcome::done);
        CPPUNIT_ASSERT_EQUAL(second_born, renewed.incarnation);
        CPPUNIT_ASSERT(!has_second_life_a_time());
    }
    /// Guards against ends that a later incarnation discards unread, because an earlier one's of
    /// the same numbers were stored.
    void ends_of_a_later_incarnation_arent_acknowledged_by_numbers_of_an_earlier_one() {
        renew_first_lives_lease();
        begin_life(second_born);
        renewal_order order;
        order.acknowledged = 57;
        order.incarnation = first_born;
        renew(order);
        for (const received_order& received : received_)
            CPPUNIT_ASSERT(absl::StrContains(received.body, R"("lastSeen":0)"));
    }
    /// Guards against a former coordinator that goes on because its starts end as unsent.
    void a_superseded_sender_learns_it_from_the_proof() {
        is_fenced_ = true;
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::superseded);
    }
    /// Guards against taking any kept connection for one that leads to the incarnation which
    /// reported last.
    void a_start_over_a_connection_opened_after_the_restart_isnt_sent() {
        renew_first_lives_lease();
        begin_life(second_born);
        client_.stop(worker(), "5c0e7a21d94b36f8.0.1.13", run_number(1), lease_epoch(5),
                     [this](const order_answer&) { loop_.stop(); });
        loop_.run();
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::other_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_received());
        CPPUNIT_ASSERT_EQUAL(second_born, renew(lease_of_first_life()).incarnation);
        CPPUNIT_ASSERT(!has_second_life_a_time());
    }
    /// Guards against dropped starts that block all later orders to the worker.
    void starts_dropped_after_the_proof_leave_room_for_others() {
        start_order unwanted = start_for_first_life();
        unwanted.still_wanted = [] { return false; };
        constexpr std::size_t count = 25;
        CPPUNIT_ASSERT((start(count, unwanted) == std::vector(count, order_outcome::dropped)));
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::done);
    }
    /// Guards against leases that aren't renewed over new connections.
    void a_renewal_after_the_proof_names_its_time() {
        CPPUNIT_ASSERT(renew(lease_of_first_life()).outcome == order_outcome::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
        CPPUNIT_ASSERT(!absl::StrContains(received_.front().body, "untilMs"));
        CPPUNIT_ASSERT(absl::StrContains(received_.back().body, "untilMs"));
    }
    /// Guards against an empty report in place of the refusal of a worker with another id.
    void a_refusal_for_another_worker_is_no_report() {
        has_other_id_ = true;
        CPPUNIT_ASSERT(renew(lease_of_first_life()).outcome == order_outcome::other_incarnation);
        CPPUNIT_ASSERT(start(start_for_first_life()) == order_outcome::other_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts_received());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_incarnations_test);

} // namespace
} // namespace figwinch::platform
