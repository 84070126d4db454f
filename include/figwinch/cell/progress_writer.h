#pragma once

#include "figwinch/cell/durable_log.h"

#include <deque>
#include <functional>
#include <memory>

namespace figwinch {

/// The coordinator's one writer to the progress stream. Gathers records and appends them in
/// batches, one batch at a time, each under the epoch and a sequence number: a batch that is sent
/// again takes effect once, and a deposed coordinator's batches are refused. A batch without an
/// answer for several times the usual is sent again beside the first append, since all that follows
/// waits for it. Owned by the coordinator's host for one reign.
class progress_writer {
public:
    /// `applied` gets each record once the log has it, in order; `deposed` is called when a higher
    /// epoch has been seen.
    progress_writer(const clock& time, durable_log& log, lease_epoch epoch,
                    std::function<void(const stored_record&)> applied,
                    std::function<void()> deposed);

    /// Fences earlier epochs; `done` is called once nobody else can append, with the end of the
    /// stream.
    void fence(std::function<void(std::uint64_t end)> done);
    /// Writes one record; `committed` is called after it and all earlier ones are in the log.
    void write(stored_record record, std::function<void()> committed = nullptr);
    /// Calls `committed` once all that was written so far is in the log; at once when it is.
    void barrier(std::function<void()> committed);
    /// Sends what waits, when it is time.
    void tick();

    bool is_idle() const { return waiting_.empty() && !is_on_its_way(); }
    /// Records that the log hasn't confirmed.
    std::size_t unconfirmed() const { return waiting_.size() + batch_.size(); }

private:
    struct entry {
        stored_record record;
        std::vector<std::function<void()>> committed;
    };

    bool is_on_its_way() const { return appends_on_way_ > 0; }
    bool may_repeat() const;
    void take_batch();
    void send();
    void append_batch();
    void take(const append_result& result);
    void commit(std::uint64_t offset);
    void depose();

    const clock& time_;
    durable_log& log_;
    lease_epoch epoch_;
    std::function<void(const stored_record&)> applied_;
    std::function<void()> deposed_;
    std::deque<entry> waiting_;
    std::vector<entry> batch_;
    std::function<void(std::uint64_t)> fenced_;
    /// Appends of the present batch without an answer.
    std::size_t appends_on_way_ = 0;
    bool stopped_ = false;
    std::uint64_t sequence_ = 0;
    /// Goes up when a batch is settled: answers to its other appends are dropped.
    std::uint64_t settled_ = 0;
    instant next_send_{};
    instant next_repeat_{};
    /// What the newest answer took.
    duration answer_time_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
