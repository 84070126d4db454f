#include "tools/error_table/error_table.h"

#include "figwinch/base.h"

#include <array>

namespace figwinch {
namespace {

constexpr const char* introduction =
    R"(# Result codes

Written by `tools/renew_errors_page` from `result_table()` (src/base/result_code.cpp); a test holds
this page to the code. Numbers never change meaning.

Every refusal over HTTP carries the status below and this body:
`{"code": N, "name": "...", "ran": "no"|"yes"|"unknown", "retry_after_ms": N, "reason": "..."}`.
"Ran" says whether the request or task behind the refusal ran: after "no" it may safely be sent
again, after "unknown" only when it is idempotent. "Retry after" is how long to wait before that;
where it is empty, trying the same again can't help.

| code | name | HTTP | ran | retry after | meaning |
| --- | --- | --- | --- | --- | --- |
)";

constexpr std::array ran_names = {"no", "yes", "unknown"};

std::string retry_text(const result_info& row) {
    if (!row.retry_after.has_value())
        return "";
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*row.retry_after);
    return std::to_string(ms.count()) + " ms";
}

std::string row_text(const result_info& row) {
    std::string text = "| " + std::to_string(number(row.code));
    text += " | `" + std::string(row.name) + "`";
    text += " | " + std::to_string(row.http_status);
    text += " | " + std::string(ran_names.at(static_cast<std::size_t>(row.ran)));
    text += " | " + retry_text(row);
    return text + " | " + std::string(row.meaning) + " |\n";
}

} // namespace

std::string render_error_page() {
    std::string page = introduction;
    for (const result_info& row : result_table())
        page += row_text(row);
    return page;
}

} // namespace figwinch
