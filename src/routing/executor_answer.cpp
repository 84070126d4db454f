#include "figwinch/routing/executor_answer.h"

namespace figwinch {
namespace {

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

} // namespace

dispatch_end judge(const executor_answer& answer, const request_id& request,
                   const customer_id& customer) {
    const bool names_other_request = !answer.request.empty() && answer.request != request;
    const bool names_other_customer = !answer.customer.empty() && answer.customer != customer;
    if (names_other_request || names_other_customer)
        return dispatch_end::crossed;
    if (answer.status == http_unavailable && answer.not_run)
        return dispatch_end::refused;
    if (answer.status != http_ok)
        return dispatch_end::failed;
    const bool repeats_both = !answer.request.empty() && !answer.customer.empty();
    return repeats_both ? dispatch_end::answered : dispatch_end::crossed;
}

} // namespace figwinch
