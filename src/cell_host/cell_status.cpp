#include "cell_host/cell_status.h"

#include "cell.pb.h"

#include <google/protobuf/util/json_util.h>

#include <chrono>

namespace figwinch {
namespace {

void add_worker(const worker_view& from, pb::CellView& shown) {
    pb::CellWorkerView& row = *shown.add_workers();
    row.set_id(from.id.str());
    row.set_data_centre(from.data_centre.str());
    row.set_standing(std::string(to_string(from.status)));
    row.set_tasks(from.tasks);
    row.set_free_cpu_millis(from.free.cpu_millis);
    row.set_free_memory_mib(from.free.memory_mib);
}

void add_job(const job_view& from, pb::CellView& shown) {
    pb::CellJobView& row = *shown.add_jobs();
    row.set_id(from.id.str());
    row.set_queue(from.queue.str());
    row.set_priority(from.priority);
    row.set_running(from.running);
    row.set_waiting(from.waiting);
    row.set_waits_for(std::string(to_string(from.waits_for)));
    row.set_known_for_s(std::chrono::duration<double>(from.age).count());
}

} // namespace

std::string encode_status(const std::string& node, const cell_member& member) {
    pb::CellView shown;
    shown.set_node(node);
    shown.set_leads(member.election().is_leader());
    shown.set_log_answers(member.log_answers());
    shown.set_jobs_known(member.state().jobs().size());
    if (member.config())
        shown.set_config_version(member.config()->version.value());
    if (const std::optional<leader_info>& current = member.election().current_leader()) {
        shown.set_coordinator(current->holder.str());
        shown.set_epoch(current->epoch.value());
    }
    if (const coordinator* const coordinating = member.coordinating()) {
        const coordinator_view view = coordinating->view();
        for (const worker_view& worker : view.workers)
            add_worker(worker, shown);
        for (const job_view& job : view.jobs)
            add_job(job, shown);
        shown.set_jobs_left_out(view.jobs_left_out);
    }
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    // Fails only if a name isn't valid UTF-8; the status is empty then.
    if (!google::protobuf::util::MessageToJsonString(shown, &text, options).ok())
        return "{}";
    return text;
}

} // namespace figwinch
