#include "tools/experiment/load_file.h"

#include "tools/experiment/setting_tables.h"

#include <absl/strings/str_cat.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <fstream>
#include <sstream>

namespace figwinch::experiment {
namespace {

using json = rapidjson::Value;

constexpr std::array<std::string_view, 4> kind_names = {"batch", "filling", "lasting", "serving"};

absl::Status fault(const std::string& where, const std::string& value,
                   const std::string& expected) {
    return make_error(result_code::invalid_value,
                      absl::StrCat(where, "=", value, ": expected ", expected));
}

std::string text_of(const json& value) {
    if (value.IsObject() || value.IsArray())
        return value.IsObject() ? "{...}" : "[...]";
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

/// Reads the members of an object: numbers by their table, all else by `other`, which tells whether
/// it knows the name.
template <class Owner, class Other>
absl::Status read_object(const json& object, const std::string& where,
                         std::span<const setting_key<Owner>> keys, Owner& into,
                         const Other& other) {
    if (!object.IsObject())
        return fault(where, text_of(object), "an object");
    for (const auto& member : object.GetObject()) {
        const std::string name(member.name.GetString(), member.name.GetStringLength());
        const std::string path = absl::StrCat(where, " ", name);
        const setting_key<Owner>* const key = find_key(keys, name);
        if (key == nullptr) {
            if (absl::Status read = other(name, member.value, path); !read.ok())
                return read;
            continue;
        }
        if (!member.value.IsNumber() || !key->assign(into, member.value.GetDouble()))
            return fault(path, text_of(member.value), key->range());
    }
    return absl::OkStatus();
}

absl::Status refuse(const std::string&, const json& value, const std::string& path) {
    return fault(path, text_of(value), "no such key");
}

template <class Item, class Read>
absl::Status read_list(const json& list, const std::string& path, std::vector<Item>& into,
                       const Read& read) {
    if (!list.IsArray())
        return fault(path, text_of(list), "a list");
    for (const json& item : list.GetArray()) {
        const std::string where = absl::StrCat(path, "[", into.size(), "]");
        if (absl::Status done = read(item, where, into.emplace_back()); !done.ok())
            return done;
    }
    return absl::OkStatus();
}

absl::Status read_text(const json& value, const std::string& path, std::string& into) {
    if (!value.IsString() || value.GetStringLength() == 0)
        return fault(path, text_of(value), "a text that isn't empty");
    into.assign(value.GetString(), value.GetStringLength());
    return absl::OkStatus();
}

absl::Status read_kind(const json& value, const std::string& path, task_kind& into) {
    for (std::size_t kind = 0; kind < kind_names.size(); ++kind)
        if (value.IsString() && value.GetString() == kind_names[kind]) {
            into = static_cast<task_kind>(kind);
            return absl::OkStatus();
        }
    return fault(path, text_of(value), "batch, filling, lasting or serving");
}

absl::Status read_number(const json& value, const std::string& path, std::uint32_t& into) {
    if (!value.IsUint())
        return fault(path, text_of(value), "the number of an earlier step");
    into = value.GetUint();
    return absl::OkStatus();
}

absl::Status read_step(const json& value, const std::string& where, step_load& into) {
    return read_object(value, where, step_keys(), into,
                       [&](const std::string& name, const json& member, const std::string& path) {
                           if (name == "after")
                               return read_list(member, path, into.after, read_number);
                           return refuse(name, member, path);
                       });
}

absl::Status read_class(const json& value, const std::string& where, class_load& into) {
    return read_object(value, where, class_keys(), into,
                       [&](const std::string& name, const json& member, const std::string& path) {
                           if (name == "name")
                               return read_text(member, path, into.name);
                           if (name == "kind")
                               return read_kind(member, path, into.kind);
                           if (name == "steps")
                               return read_list(member, path, into.steps, read_step);
                           return refuse(name, member, path);
                       });
}

absl::Status read_loss(const json& value, const std::string& where, worker_loss& into) {
    return read_object(value, where, loss_keys(), into, refuse);
}

absl::Status read_slow_log(const json& value, const std::string& where, slow_log& into) {
    return read_object(value, where, slow_log_keys(), into, refuse);
}

absl::Status check_steps(const class_load& of, const load_spec& load, const std::string& where) {
    for (std::size_t number = 0; number < of.steps.size(); ++number) {
        const step_load& step = of.steps[number];
        const std::string path = absl::StrCat(where, " steps[", number, "] ");
        if (step.cores > load.cores_per_worker)
            return fault(path + "cores", absl::StrCat(step.cores),
                         absl::StrCat("at most cores_per_worker, ", load.cores_per_worker));
        if (step.memory_mib > load.memory_mib_per_worker)
            return fault(
                path + "memory_mib", absl::StrCat(step.memory_mib),
                absl::StrCat("at most memory_mib_per_worker, ", load.memory_mib_per_worker));
        for (const std::uint32_t earlier : step.after)
            if (earlier >= number)
                return fault(path + "after", absl::StrCat(earlier),
                             "the number of an earlier step");
    }
    return absl::OkStatus();
}

absl::Status check_class(const class_load& of, const load_spec& load, const std::string& where) {
    if (of.name.empty() || of.name == "all")
        return fault(where + " name", of.name, "a text that isn't empty or \"all\"");
    if (of.steps.empty() || of.steps.size() > 100)
        return fault(where + " steps", absl::StrCat(of.steps.size(), " steps"), "1 to 100 steps");
    const bool serves = of.kind == task_kind::serving;
    if (serves != (of.tail_target > duration::zero()))
        return fault(
            where + " tail_target_ms", absl::StrCat(of.tail_target / std::chrono::milliseconds(1)),
            serves ? "1 to 60000 ms, as the class is serving" : "0, as the class isn't serving");
    if (of.burst_jobs > 0 && of.burst_every <= duration::zero())
        return fault(where + " burst_every_s", "0", "above 0 to 86400 s where there are bursts");
    return check_steps(of, load, where);
}

absl::Status check_loss(const worker_loss& loss, const load_spec& load, const std::string& where) {
    const bool of_data_centre = loss.data_centre >= 0;
    if (of_data_centre == (loss.workers > 0))
        return fault(where + " workers", absl::StrCat(loss.workers),
                     "either workers or data_centre");
    if (loss.workers > load.workers)
        return fault(where + " workers", absl::StrCat(loss.workers),
                     absl::StrCat("1 to ", load.workers, " workers"));
    if (loss.data_centre >= load.data_centres)
        return fault(where + " data_centre", absl::StrCat(loss.data_centre),
                     absl::StrCat("0 to ", load.data_centres - 1));
    return absl::OkStatus();
}

} // namespace

absl::Status check_load(const load_spec& load, const std::string& file) {
    if (load.classes.empty())
        return fault(file + ": classes", "[]", "at least one class");
    for (std::size_t index = 0; index < load.classes.size(); ++index)
        if (absl::Status checked = check_class(load.classes[index], load,
                                               absl::StrCat(file, ": classes[", index, "]"));
            !checked.ok())
            return checked;
    for (std::size_t index = 0; index < load.losses.size(); ++index)
        if (absl::Status checked =
                check_loss(load.losses[index], load, absl::StrCat(file, ": losses[", index, "]"));
            !checked.ok())
            return checked;
    return absl::OkStatus();
}

absl::StatusOr<load_spec> read_load(std::string_view text, const std::string& file) {
    rapidjson::Document document;
    // Iterative: a file must not choose the depth of our stack.
    document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
    if (document.HasParseError())
        return make_error(result_code::invalid_value,
                          absl::StrCat(file, ": byte ", document.GetErrorOffset(), ": ",
                                       rapidjson::GetParseError_En(document.GetParseError())));
    load_spec load;
    const absl::Status read =
        read_object(document, file + ":", load_keys(), load,
                    [&](const std::string& name, const json& member, const std::string& path) {
                        if (name == "pattern")
                            return read_text(member, path, load.pattern);
                        if (name == "classes")
                            return read_list(member, path, load.classes, read_class);
                        if (name == "losses")
                            return read_list(member, path, load.losses, read_loss);
                        if (name == "slow_logs")
                            return read_list(member, path, load.slow_logs, read_slow_log);
                        return refuse(name, member, path);
                    });
    if (!read.ok())
        return read;
    if (absl::Status checked = check_load(load, file); !checked.ok())
        return checked;
    return load;
}

absl::StatusOr<load_spec> read_load_file(const std::string& file) {
    std::ifstream in(file);
    if (!in.is_open())
        return make_error(result_code::invalid_value, file + ": not readable");
    std::ostringstream text;
    text << in.rdbuf();
    return read_load(text.str(), file);
}

} // namespace figwinch::experiment
