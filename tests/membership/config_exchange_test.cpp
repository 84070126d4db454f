#include "membership/config_exchange.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"
#include "tests/membership/sim_process.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name config_stream("config");

/// A process with peers, a link to the log and a follower.
struct sim_host {
    sim_host(sim_network& network, sim_log& log, const std::string& address)
        : process(network, address, {"p0", "p1"}), link(network.loop, log),
          follower(link, network.loop.time(), {node_id(address)},
                   fetch_config_from(process.peers, 1s)) {
        exchange_config(follower, process.peers, network.loop.time());
        tick(network.loop);
    }
    void tick(sim_loop& loop) {
        follower.tick(loop.now());
        loop.after(50ms, [this, &loop] { tick(loop); });
    }
    sim_process process;
    sim_log_client link;
    config_follower follower;
};

class config_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_exchange_test);
    CPPUNIT_TEST(a_data_centre_cut_off_from_the_log_goes_on_through_its_peers);
    CPPUNIT_TEST(a_data_centre_cut_off_from_everybody_starts_nothing);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_network network_{loop_};
    sim_log log_{loop_};
    sim_host one_{network_, log_, "p0"};
    sim_host two_{network_, log_, "p1"};

    void begin() {
        log_.append(config_stream, replace_record("first", 0, sample_manifest()));
        loop_.run_for(2s);
    }
    bool may_start(const sim_host& at) {
        return at.follower.judge(loop_.now()) != freshness::unknown;
    }

    // The link between one data centre and the platform is cut; other data centres still reach
    // both. Starts go on there, and a drain arrives there within seconds.
    void a_data_centre_cut_off_from_the_log_goes_on_through_its_peers() {
        begin();
        two_.link.is_cut = true;
        int refused = 0;
        for (int i = 0; i < 600; ++i) {
            loop_.run_for(100ms);
            refused += may_start(two_) ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(0, refused);
        log_.append(config_stream, state_record("drain", 1, "a", "out"));
        loop_.run_for(2s);
        CPPUNIT_ASSERT_EQUAL(config_version(2), two_.follower.version());
        CPPUNIT_ASSERT(!is_in_service(*two_.follower.current(), "a"));
    }

    // A data centre is cut off from the platform and from its peers, and is taken out meanwhile. It
    // can't hear of that, so that it has to stop starting within two seconds.
    void a_data_centre_cut_off_from_everybody_starts_nothing() {
        begin();
        two_.link.is_cut = true;
        network_.cut = {{"p0", "p1"}};
        loop_.run_for(2100ms);
        CPPUNIT_ASSERT(!may_start(two_));
        log_.append(config_stream, state_record("drain", 1, "a", "out"));
        loop_.run_for(1min);
        CPPUNIT_ASSERT(!may_start(two_));
        network_.cut.clear();
        loop_.run_for(6s);
        CPPUNIT_ASSERT(may_start(two_));
        CPPUNIT_ASSERT(!is_in_service(*two_.follower.current(), "a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_exchange_test);

} // namespace
} // namespace figwinch
