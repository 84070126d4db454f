#pragma once

#include "figwinch/base.h"

#include <optional>
#include <string>

namespace figwinch {

/// What a caller, or the entry that forwarded for it, is told in the end.
struct final_answer {
    result_code code = result_code::ok;
    std::string reason;
    /// The executor's body when `ok`.
    std::string body;
    std::string content_type;
    /// Set where the code's own value is not what is known of this request.
    std::optional<ran_state> ran;
    std::optional<duration> retry_after;

    static final_answer refusal(result_code code, std::string reason) {
        final_answer answer;
        answer.code = code;
        answer.reason = std::move(reason);
        return answer;
    }
    ran_state ran_or_default() const { return ran.value_or(info(code).ran); }
};

} // namespace figwinch
