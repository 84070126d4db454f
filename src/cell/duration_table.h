#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/step_spec.h"

#include <map>
#include <string>
#include <string_view>

namespace figwinch {

/// Learns how long tasks of one queue and image run, and how far their submitters' guesses are off.
/// What is expected of the next task lies between its guess, corrected, and the usual time, nearer
/// to the one that was off less. Times are kept as logarithms. Owned by the coordinator, which
/// records the table for its successors.
class duration_table {
public:
    /// A task that ended well took `whole` at full speed.
    void learn(const queue_name& queue, const step_spec& step, duration whole);
    duration expected(const queue_name& queue, const step_spec& step) const;

    /// The table as a record, and back. What can't be read leaves the table as it is.
    std::string encode() const;
    void restore(std::string_view record);

private:
    /// Mean and mean square, the newest tasks counting most.
    struct moments {
        double mean = 0;
        double square = 0;
        void add(double value, double gain);
        double variance() const;
    };
    struct row {
        std::uint32_t tasks = 0;
        /// log(time / guess) and log(time, us).
        moments off;
        moments usual;
    };

    static std::string key_of(const queue_name& queue, const step_spec& step);

    std::map<std::string, row> rows_;
};

} // namespace figwinch
