#pragma once

#include "figwinch/net.h"
#include "google/protobuf/struct.pb.h"
#include "platform.pb.h"
#include "standin_platform/platform_faults.h"
#include "standin_platform/standin_log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// The platform's log and host list of docs/PORTS.md in one small process, with the faults that
/// tests ask for by POST /control/{fault}. Owned by `main`; runs on its loop.
class standin_platform {
public:
    standin_platform(event_loop& loop, const clock& time);

    /// Handles one request; the handler of an `http_server`.
    void handle(const http_request& request, const std::shared_ptr<http_responder>& responder);

private:
    using responder_ref = std::shared_ptr<http_responder>;
    using fault_setter = bool (standin_platform::*)(const google::protobuf::Struct&);

    void handle_log(const http_request& request, const responder_ref& responder);
    void append(const stream_name& stream, const http_request& request,
                const responder_ref& responder);
    void read(const stream_name& stream, const http_request& request,
              const responder_ref& responder);
    void list_hosts(const responder_ref& responder);
    void control(const http_request& request, const responder_ref& responder);
    http_response state() const;

    bool set_log_down(const google::protobuf::Struct& body);
    bool set_log_silent(const google::protobuf::Struct& body);
    bool set_log_slow(const google::protobuf::Struct& body);
    bool set_lose_ack(const google::protobuf::Struct& body);
    bool set_retention(const google::protobuf::Struct& body);
    bool set_partition(const google::protobuf::Struct& body);
    bool set_hosts(const google::protobuf::Struct& body);

    bool is_cut(const http_request& request) const;
    /// Keeps the call open without an answer until the caller gives up.
    void hold(const responder_ref& responder);
    void answer(const responder_ref& responder, http_response response);

    struct host_list_version {
        instant visible_from{};
        pb::HostList hosts;
    };

    event_loop& loop_;
    const clock& time_;
    standin_log log_;
    platform_faults faults_;
    std::deque<host_list_version> host_lists_;
    std::deque<responder_ref> held_;
    std::map<std::uint64_t, std::unique_ptr<event_handle>> delayed_;
    std::uint64_t next_delayed_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t unanswered_ = 0;
};

} // namespace figwinch
