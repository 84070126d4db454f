#pragma once

#include "figwinch/base.h"
#include "figwinch/config.h"
#include "figwinch/routing/circuit_breaker.h"
#include "figwinch/routing/executor_answer.h"
#include "figwinch/routing/executor_load.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figwinch {

/// What this entry saw of one executor since the last report.
struct executor_report {
    executor_id name;
    duration p99{};
    std::int64_t samples = 0;
};

/// The executors of this entry's data centre, which of them this entry owns, and their slots.
/// Only the owner dispatches to an executor, so that slots and connections are counted in one
/// place. Owned by an entry.
class executor_pool {
public:
    struct settings {
        circuit_breaker::settings breaker;
        /// How long an executor that said it is leaving, or refused for it, is kept away from
        /// after it last said so.
        duration leaving_for = std::chrono::seconds(10);
        /// Health checks missed in a row after which an executor gets nothing new.
        int missed_checks = 2;
        /// Expected latency before anything was seen.
        duration first_latency = std::chrono::milliseconds(20);
    };

    executor_pool(const settings& with, data_centre_id own, node_id self);

    /// Takes over the executors of a newer manifest; slots in use are kept for names that stay.
    /// None is used while the manifest says that the data centre is out of service.
    void configure(const manifest& config);
    /// The live entries of this data centre, this one included.
    void set_entries(std::span<const node_id> live);
    /// Executors that the platform's host list shows as leaving.
    void set_listed_leaving(std::span<const executor_id> leaving);

    /// Takes a slot of the owned executor that is expected to answer first; empty when none is
    /// free. `tried` are left out.
    std::optional<executor_id> acquire(const service_id& service,
                                       std::span<const executor_id> tried, instant now);
    /// Gives the slot back and learns from how the dispatch ended.
    void release(const executor_id& name, dispatch_end end, duration latency, instant now);
    /// The executor said on some answer that it is leaving.
    void note_leaving(const executor_id& name, instant now);
    void note_health(const executor_id& name, bool answered, bool leaving, instant now);

    bool has_slot(const service_id& service, instant now) const;
    /// Free slots, and all slots of executors that may be used, over owned executors.
    int free_slots(const service_id& service, instant now) const;
    /// Over all services.
    int free_slots(instant now) const;
    int usable_slots(instant now) const;
    int usable_slots(const service_id& service, instant now) const;
    /// Mean latency over owned executors.
    duration usual_latency() const { return usual_; }
    /// Specs of the executors that this entry owns, for connections and health checks.
    std::vector<executor_spec> owned() const;
    /// Reports of every owned executor with samples, then begins new ones.
    std::vector<executor_report> take_reports();
    std::size_t known() const { return slots_.size(); }

private:
    struct slot_state {
        executor_spec spec;
        bool owned = false;
        bool listed_leaving = false;
        int busy = 0;
        int missed_checks = 0;
        instant leaving_until{};
        circuit_breaker breaker;
        executor_load load;

        explicit slot_state(const circuit_breaker::settings& with) : breaker(with) {}
    };

    bool is_up(const slot_state& it, instant now) const;
    bool is_usable(const slot_state& it, const service_id& service, instant now) const;
    slot_state* find_state(const executor_id& name);
    void assign_owners();

    settings with_;
    data_centre_id own_;
    bool in_service_ = true;
    node_id self_;
    std::vector<node_id> entries_;
    std::map<executor_id, slot_state> slots_;
    /// The owned ones of `slots_`, so that a decision does not look at all.
    std::vector<slot_state*> owned_;
    duration usual_;
};

} // namespace figwinch
