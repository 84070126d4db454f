#pragma once

#include "figwinch/interference/interference_controller.h"
#include "interference/harm_model.h"
#include "interference/host_control.h"
#include "learning/lru_map.h"

namespace figwinch {

/// Throttles by halves, lifts in equal steps, evicts what is at its floor; one step at a time, each
/// after the effect of the last could be seen. The ways weighed are in docs/design/interference.md.
class stepwise_controller final : public interference_controller {
public:
    explicit stepwise_controller(const settings& with);

    void observe_latency(const std::string& host, const service_id& service, duration p99,
                         duration target, std::int64_t samples, instant now) override;
    std::vector<interference_action> decide(const std::string& host,
                                            const std::vector<batch_neighbour>& tasks,
                                            instant now) override;
    double penalty(const std::string& host, const template_id& copied_from,
                   instant now) const override;

private:
    using actions = std::vector<interference_action>;
    using tasks = std::vector<controlled_task>;

    host_control& host_at(const std::string& name, instant now);
    actions tighten(host_control& host, tasks running, const host_control::worst_service& worst,
                    instant now);
    actions evict_one(host_control& host, const tasks& running, const service_id& service,
                      instant now);
    actions relax(host_control& host, tasks running, const host_control::worst_service& worst,
                  instant now);
    actions relax_in_silence(host_control& host, const tasks& running, instant now);
    interference_action lift_one(host_control& host, const controlled_task& task, instant now);
    /// Learns from each service of the host that was heard of since its last step.
    void learn(const host_control& host, const tasks& running, instant now);
    void begin_step(host_control& host, instant now);
    void note_calm_broken(host_control& host, instant now);
    /// Orders tasks by what they are expected to cost the service, the worst first.
    void sort_by_cost(tasks& running, const service_id& service) const;

    settings settings_;
    lru_map<std::string, host_control> hosts_;
    harm_model harms_;
};

} // namespace figwinch
