#pragma once

#include "figwinch/config/fold_outcome.h"
#include "figwinch/config/manifest.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figwinch {

namespace pb {
class ConfigRecord;
class ConfigSnapshot;
} // namespace pb

/// Folds the `config` stream into the accepted configuration. Pure: the state is a function of the
/// records up to `offset`, whether they were folded one by one or taken over with a snapshot, so
/// that all processes agree on every version. Owned by the configuration follower.
class config_fold {
public:
    /// Judges the record at `offset`, which must be the next one; an older one is ignored.
    fold_outcome fold(log_offset offset, std::string_view bytes);

    /// Whether the record is a snapshot that a reader can take over when the log keeps records
    /// from `first_kept` on: no record between its state and the log's beginning is missing.
    static bool is_usable_snapshot(std::string_view bytes, log_offset first_kept);
    /// Takes over the state of a snapshot record of the log. False when it is not newer than this
    /// state or not valid.
    bool take_over_record(std::string_view bytes);
    /// As `take_over_record`, for the bytes of `snapshot` of a peer.
    bool take_over(std::string_view snapshot);

    /// The state as a serialized ConfigSnapshot, for peers.
    std::string snapshot() const;
    /// The state as a record of the `config` stream. Every process gives the same record the same
    /// `record_id`.
    std::string snapshot_record(wall_time now) const;

    std::shared_ptr<const manifest> current() const { return current_; }
    config_version version() const { return version_; }
    /// The last record that is part of the state; none before the first.
    log_offset offset() const { return offset_; }

private:
    struct judged_change {
        record_id id;
        config_version to;
    };

    void judge(const pb::ConfigRecord& record, fold_outcome& outcome);
    void accept(manifest next, fold_outcome& outcome);
    void refuse_base(config_version base, fold_outcome& outcome) const;
    bool take_over(const pb::ConfigSnapshot& state);
    void write(pb::ConfigSnapshot& state) const;
    void remember(const record_id& id, config_version to);

    std::shared_ptr<const manifest> current_;
    config_version version_;
    log_offset offset_;
    /// Oldest first; bounded. Part of the state, so that all processes forget alike.
    std::deque<judged_change> recent_;
    std::unordered_map<record_id, config_version> recent_ids_;
};

} // namespace figwinch
