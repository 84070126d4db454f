#pragma once

#include "cell_host/intake_entry.h"
#include "cell_host/shared_writer.h"

#include <functional>
#include <memory>

namespace figwinch {

/// A host's entries on their way to the cell's writer, one batch at a time. Owned by
/// `intake_writer`.
class handover_lane {
public:
    /// Gets a batch back with what became of it.
    using handler = std::function<void(intake_entries, const handover_result&)>;

    handover_lane(const clock& time, handler back) : time_(time), back_(std::move(back)) {}

    /// `writer` outlives this; null: there is none.
    void use(shared_writer* writer) { writer_ = writer; }
    bool is_open() const { return writer_ != nullptr && writer_->is_open(); }
    bool is_busy() const { return busy_; }
    void hand(intake_entries entries);
    intake_entries& entries() { return entries_; }
    std::size_t size() const { return entries_.size(); }

    /// What is left of the batch on its way, if it takes as long as the one before. What comes
    /// after it only the writer can tell, which sees the log's queue.
    duration left() const;

private:
    void take(const handover_result& result);

    const clock& time_;
    handler back_;
    shared_writer* writer_ = nullptr;
    intake_entries entries_;
    bool busy_ = false;
    instant handed_at_{};
    duration latest_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
