#include "config.pb.h"
#include "figwinch/config.h"
#include "tests/log/sim_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name audit_stream("audit");

struct audit_host {
    audit_host(sim_loop& loop, sim_log& log, const std::string& name)
        : link(loop, log), writer(link, loop.time(), audit_writer_settings{node_id(name)}) {
        tick(loop);
    }
    void tick(sim_loop& loop) {
        writer.tick(loop.now());
        loop.after(100ms, [this, &loop] { tick(loop); });
    }
    sim_log_client link;
    audit_writer writer;
};

fold_outcome accepted(const std::string& id) {
    fold_outcome outcome;
    outcome.result = fold_result::accepted;
    outcome.change = record_id(id);
    outcome.from = config_version(1);
    outcome.to = config_version(2);
    return outcome;
}

class audit_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(audit_writer_test);
    CPPUNIT_TEST(one_of_many_processes_writes);
    CPPUNIT_TEST(a_lost_acknowledgement_leaves_one_record);
    CPPUNIT_TEST(an_outage_loses_no_outcome);
    CPPUNIT_TEST(a_record_that_expired_is_no_obstacle);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_log log_{loop_};

    std::multiset<std::string> ids() {
        std::multiset<std::string> result;
        for (const log_record& record : log_.records(audit_stream)) {
            pb::AuditRecord parsed;
            CPPUNIT_ASSERT(parsed.ParseFromString(record.payload));
            result.insert(parsed.change_record_id());
        }
        return result;
    }

    void one_of_many_processes_writes() {
        std::vector<std::unique_ptr<audit_host>> hosts;
        hosts.reserve(264);
        for (int i = 0; i < 264; ++i)
            hosts.push_back(std::make_unique<audit_host>(loop_, log_, "h" + std::to_string(i)));
        for (int change = 0; change < 5; ++change) {
            for (const auto& each : hosts)
                each->writer.note(log_offset(1), accepted("change" + std::to_string(change)));
        }
        loop_.run_for(1min);
        const std::multiset<std::string> written = ids();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             std::set<std::string>(written.begin(), written.end()).size());
        CPPUNIT_ASSERT(written.size() <= 15);
        for (const auto& each : hosts)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, each->writer.pending());
    }

    // The append of an audit record takes effect and its acknowledgement is lost. The writer finds
    // its own record when it reads the stream, and does not append it again.
    void a_lost_acknowledgement_leaves_one_record() {
        audit_host one(loop_, log_, "one");
        one.link.lost_acknowledgements = 1;
        one.writer.note(log_offset(1), accepted("change"));
        loop_.run_for(2min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ids().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.writer.pending());
    }

    void an_outage_loses_no_outcome() {
        audit_host one(loop_, log_, "one");
        log_.is_down = true;
        one.writer.note(log_offset(1), accepted("change"));
        loop_.run_for(10min);
        log_.is_down = false;
        loop_.run_for(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ids().size());
    }

    void a_record_that_expired_is_no_obstacle() {
        log_.retention = 1;
        for (int i = 0; i < 10; ++i)
            log_.append(audit_stream, "old");
        audit_host one(loop_, log_, "one");
        one.writer.note(log_offset(1), accepted("change"));
        loop_.run_for(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ids().count("change"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(audit_writer_test);

} // namespace
} // namespace figwinch
