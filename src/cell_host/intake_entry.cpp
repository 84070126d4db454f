#include "cell_host/intake_entry.h"

#include <utility>

namespace figwinch {

void intake_entry::complete(intake_outcome outcome, std::uint64_t offset) {
    if (const auto call = std::exchange(done, nullptr))
        call(outcome, offset);
}

std::size_t intake_entry::bytes() const {
    std::size_t sum = 0;
    for (const stored_record& record : records)
        sum += record.key.size() + (record.value ? record.value->size() : 0);
    return sum;
}

/// Records with the same key are of the same job, whichever host appended them.
bool intake_entry::matches(const stored_record& record) const {
    return records.size() == 1 && records.front().value && record.value &&
           records.front().key == record.key;
}

std::vector<stored_record> records_of(const intake_entries& entries) {
    std::vector<stored_record> records;
    for (const intake_entry& entry : entries)
        records.insert(records.end(), entry.records.begin(), entry.records.end());
    return records;
}

} // namespace figwinch
