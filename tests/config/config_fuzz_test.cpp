#include "log/log_page_codec.h"
#include "tests/config/config_records.h"
#include "tests/config/mutation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

namespace figwinch {
namespace {

constexpr unsigned seed = 20'261;
constexpr int inputs = 20'000;

/// Broken input from the pipeline, the log and the network: it must be refused or be valid, and
/// never crash (run with FIGWINCH_SANITIZE for the rest).
class config_fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_fuzz_test);
    CPPUNIT_TEST(a_manifest_is_valid_or_has_faults);
    CPPUNIT_TEST(two_folds_agree_on_any_record);
    CPPUNIT_TEST(a_page_is_in_order_or_refused);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937 random_{seed};

    void a_manifest_is_valid_or_has_faults() {
        const std::string json = to_json(sample_manifest());
        int valid = 0;
        for (int i = 0; i < inputs; ++i) {
            const checked_manifest result = parse_manifest(mutate(json, random_));
            CPPUNIT_ASSERT(result.value.has_value() == result.faults.empty());
            if (!result.value.has_value())
                continue;
            ++valid;
            const checked_manifest again = parse_manifest(to_json(*result.value));
            CPPUNIT_ASSERT(again.value == result.value);
        }
        CPPUNIT_ASSERT(valid > 0 && valid < inputs);
    }

    void two_folds_agree_on_any_record() {
        config_fold one;
        config_fold two;
        one.fold(log_offset(1), replace_record("first", 0, sample_manifest()));
        two.take_over(one.snapshot());
        std::uint64_t offset = 1;
        for (int i = 0; i < inputs; ++i) {
            const std::uint64_t base = one.version().value();
            const std::string id = "r" + std::to_string(i);
            const std::vector<std::string> records = {
                replace_record(id, base, sample_manifest()), one.snapshot_record({}),
                state_record(id, base, "a", i % 2 == 0 ? "out" : "in")};
            const std::string record =
                mutate(records[static_cast<std::size_t>(i) % records.size()], random_);
            ++offset;
            const fold_outcome here = one.fold(log_offset(offset), record);
            const fold_outcome there = two.fold(log_offset(offset), record);
            CPPUNIT_ASSERT(here.result == there.result && here.code == there.code);
            config_fold newcomer;
            if (newcomer.take_over_record(record))
                CPPUNIT_ASSERT(newcomer.current() != nullptr);
        }
        CPPUNIT_ASSERT(one.snapshot() == two.snapshot());
        CPPUNIT_ASSERT(one.version() > config_version(1));
    }

    void a_page_is_in_order_or_refused() {
        log_page page{log_offset(3), log_offset(9), {}};
        for (std::uint64_t offset = 4; offset < 9; ++offset)
            page.records.push_back({log_offset(offset), "payload"});
        const std::string body = encode_log_page(page);
        int good = 0;
        for (int i = 0; i < inputs; ++i) {
            const absl::StatusOr<log_page> result = decode_log_page(mutate(body, random_));
            if (!result.ok())
                continue;
            ++good;
            log_offset last = result->first_kept;
            for (const log_record& record : result->records) {
                CPPUNIT_ASSERT(record.offset >= last && record.offset < result->next);
                last = record.offset;
            }
        }
        CPPUNIT_ASSERT(good > 0 && good < inputs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_fuzz_test);

} // namespace
} // namespace figwinch
