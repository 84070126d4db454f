#pragma once

#include "cell_host/intake_entry.h"
#include "cell_host/shared_writer.h"

#include <functional>
#include <memory>

namespace figwinch {

/// Hands entries of this host over to the cell's shared writer, one batch at a time. Owned by
/// `intake_writer`.
class handover_sender {
public:
    /// Called with a batch and its outcome.
    using handler = std::function<void(intake_entries, const handover_result&)>;

    handover_sender(const clock& time, handler back) : time_(time), on_result_(std::move(back)) {}

    /// Sets the shared writer, which must outlive this object; null if there is none.
    void set_writer(shared_writer* writer) { writer_ = writer; }
    bool is_available() const { return writer_ != nullptr && writer_->is_available(); }
    bool is_busy() const { return busy_; }
    void hand_over(intake_entries entries);
    intake_entries& entries() { return entries_; }
    std::size_t size() const { return entries_.size(); }

    /// Estimated time until the batch in flight is answered, if it takes as long as the one before;
    /// zero if there is none. Later batches aren't estimated, because only the writer can observe
    /// the log's queue.
    duration time_left() const;

private:
    void handle_result(const handover_result& result);

    const clock& time_;
    handler on_result_;
    shared_writer* writer_ = nullptr;
    intake_entries entries_;
    bool busy_ = false;
    instant handed_at_{};
    duration latest_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
