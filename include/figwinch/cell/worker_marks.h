#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Workers to which a job's tasks may have been ordered, small enough to be written with each round
/// of starts: 2 bytes a worker. Holds a 16-bit mark of each id, so that it may name a worker that
/// was never added, and always names those that were.
class worker_marks {
public:
    void add(const worker_id& worker);
    bool may_have(const worker_id& worker) const;
    /// Whether a worker may be in both.
    bool meets(const worker_marks& other) const;
    bool empty() const { return marks_.empty(); }

    std::string encode() const;
    static worker_marks decode(std::string_view bytes);

    bool operator==(const worker_marks&) const = default;

private:
    /// In ascending order.
    std::vector<std::uint16_t> marks_;
};

} // namespace figwinch
