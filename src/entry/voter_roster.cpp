#include "entry/voter_roster.h"

#include "entries.pb.h"

namespace figwinch {
namespace {

constexpr std::size_t page_records = 256;

const stream_name& entries_stream() {
    static const stream_name name("entries");
    return name;
}

} // namespace

voter_roster::voter_roster(log_client& log, dispatch_guard& guard, const member& self,
                           std::size_t voters)
    : log_(log), guard_(guard), self_(self), voters_(voters) {
    guard_.set_vouching(false);
}

void voter_roster::tick() {
    if (busy_ || settled_)
        return;
    busy_ = true;
    if (appended_)
        read();
    else
        append();
}

void voter_roster::note_complete() {
    complete_ = true;
    guard_.set_vouching(true);
}

void voter_roster::append() {
    pb::EntryJoined joined;
    joined.set_node(self_.node.str());
    joined.set_incarnation(self_.incarnation.str());
    log_.append(entries_stream(), joined.SerializeAsString(),
                [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_offset>& at) {
                    if (alive.expired())
                        return;
                    busy_ = false;
                    // A silent append may have taken effect; a second record changes nothing.
                    appended_ = at.ok();
                    if (appended_)
                        tick();
                });
}

void voter_roster::read() {
    log_.read(entries_stream(), next_, page_records,
              [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_page>& page) {
                  if (alive.expired())
                      return;
                  busy_ = false;
                  if (page.ok())
                      take_page(*page);
                  else if (code_of(page.status()) == result_code::log_truncated)
                      settle();
              });
}

void voter_roster::take_page(const log_page& page) {
    whole_ = whole_ && page.first_kept <= log_offset(1);
    for (const log_record& record : page.records)
        fold(record);
    if (!page.records.empty() && next_ < page.next) {
        tick();
        return;
    }
    settle();
}

void voter_roster::fold(const log_record& record) {
    next_ = record.offset.next();
    pb::EntryJoined joined;
    if (!joined.ParseFromString(record.payload))
        return;
    const bool is_own_node = joined.node() == self_.node.str();
    const bool is_own = joined.incarnation() == self_.incarnation.str();
    nodes_.insert(joined.node());
    if (is_own_node && !is_own && !own_seen_)
        own_node_before_ = true;
    if (is_own && !own_seen_) {
        own_seen_ = true;
        nodes_when_joined_ = nodes_.size();
    }
}

void voter_roster::settle() {
    settled_ = true;
    // Records that have expired were of entries that joined long ago: the roster was complete, or
    // its first members have outlived the log's retention and the window with it.
    const bool first = whole_ && own_seen_ && !own_node_before_ && nodes_when_joined_ <= voters_;
    if (first)
        guard_.vote_at_once();
    complete_ = complete_ || !whole_ || nodes_.size() >= voters_;
    guard_.set_vouching(true);
}

} // namespace figwinch
