#pragma once

#include "entry/entry_core.h"
#include "tests/entry/fake_config.h"
#include "tests/entry/fake_peers.h"
#include "tools/standin_executor/executor_server.h"

#include <cppunit/TestAssert.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// Entries and stand-in executors of one data centre in one process, over loopback HTTP and a fake
/// network between the entries.
class region {
public:
    struct entry {
        std::unique_ptr<fake_peers> peers;
        std::unique_ptr<metrics> measured;
        std::unique_ptr<entry_core> core;
        std::unique_ptr<http_client> caller;
    };

    region(int entry_count, int executor_count, int slots = 8) : network(loop) {
        settings.claims.voters = static_cast<std::size_t>(entry_count);
        for (int i = 0; i < executor_count; ++i) {
            standin::executor_model_settings with;
            with.name = "x" + std::to_string(i);
            with.slots = slots;
            with.default_work = std::chrono::milliseconds(2);
            add_executor(with);
        }
        manifest_.services.push_back({service_id("tickets"), work_class::urgent,
                                      std::chrono::seconds(3), std::chrono::milliseconds(100)});
        config.set(manifest_);
        for (int i = 0; i < entry_count; ++i)
            start("e" + std::to_string(i));
        fake_peers::exchange_heartbeats(network);
    }

    void start(const std::string& node, int boot = 1, bool may_vote = true) {
        entry& it = entries[node];
        it.peers = std::make_unique<fake_peers>(network, node, member_role::entry, "lugo-1", boot);
        it.measured = std::make_unique<metrics>();
        it.core =
            std::make_unique<entry_core>(loop, time, *it.peers, config, *it.measured, settings);
        if (may_vote)
            it.core->guard().vote_at_once();
        CPPUNIT_ASSERT(it.core->listen("127.0.0.1", 0).ok());
        it.caller = http_client::create(loop, {"127.0.0.1", it.core->port()}, 64);
    }
    /// The entry dies without a word.
    void kill(const std::string& node) {
        const member dead = entries.at(node).peers->self();
        entry& it = entries.at(node);
        it.caller.reset();
        it.core.reset();
        it.peers.reset();
        entries.erase(node);
        for (auto& [name, other] : entries) {
            other.peers->gone.push_back(dead);
            other.peers->gone.back().state = member_state::dead;
        }
        fake_peers::exchange_heartbeats(network);
    }

    /// Sends a request and returns where its response will be.
    std::shared_ptr<call_result> send(const std::string& node, const std::string& id,
                                      const std::vector<http_header>& more = {},
                                      const std::string& body = "{}") {
        http_request message;
        message.method = http_method::post;
        message.path = "/v1/requests/tickets";
        message.headers.add("Figwinch-Request-Id", id);
        message.headers.add("Figwinch-Customer", "lugo");
        for (const http_header& line : more)
            message.headers.add(line.name, line.value);
        message.body = body;
        return call(node, message);
    }
    /// Sends `count` requests called PREFIX0, PREFIX1 and so on at once.
    std::vector<std::shared_ptr<call_result>> send_many(const std::string& node, int count,
                                                        const std::string& prefix,
                                                        const std::vector<http_header>& more,
                                                        const std::string& body = "{}") {
        std::vector<std::shared_ptr<call_result>> results;
        results.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            results.push_back(send(node, prefix + std::to_string(i), more, body));
        return results;
    }
    std::shared_ptr<call_result> call(const std::string& node, const http_request& message) {
        auto result = std::make_shared<call_result>();
        ++open_calls_;
        entries.at(node).caller->call(message, std::chrono::seconds(20),
                                      [this, result](const call_result& ended) {
                                          *result = ended;
                                          if (--open_calls_ == 0)
                                              loop.stop();
                                      });
        return result;
    }
    /// Runs until every call has ended.
    void finish() {
        const auto limit = loop.after(std::chrono::seconds(30), [this] { loop.stop(); });
        if (open_calls_ > 0)
            loop.run();
        CPPUNIT_ASSERT_EQUAL(0, open_calls_);
    }
    /// How often the request was run, over all executors.
    int runs(const std::string& id) const {
        int count = 0;
        for (const auto& one : executors)
            count += one->model().runs_of("lugo", id);
        return count;
    }

    event_loop loop;
    system_clock time;
    fake_peer_network network;
    fake_config config;
    entry_core_settings settings;
    std::vector<std::unique_ptr<standin::executor_server>> executors;
    std::map<std::string, entry> entries;

private:
    void add_executor(const standin::executor_model_settings& with) {
        auto server = std::make_unique<standin::executor_server>(loop, with);
        CPPUNIT_ASSERT(server->listen("127.0.0.1", 0).ok());
        executor_spec spec;
        spec.name = executor_id(with.name);
        spec.data_centre = data_centre_id("lugo-1");
        spec.address = "127.0.0.1:" + std::to_string(server->port());
        spec.slots = with.slots;
        manifest_.executors.push_back(spec);
        executors.push_back(std::move(server));
    }

    manifest manifest_;
    int open_calls_ = 0;
};

} // namespace figwinch
