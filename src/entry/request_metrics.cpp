#include "entry/request_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace figwinch {
namespace {

const std::vector<double> latency_bounds = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                            0.2,   0.5,   1.0,  2.0,  5.0,  10.0};

std::size_t index_of(work_class request_class) {
    switch (request_class) {
    case work_class::urgent:
        return 0;
    case work_class::bulk:
        return 2;
    default:
        return 1;
    }
}

} // namespace

request_metrics::request_metrics(metrics& into)
    : into_(into),
      dispatches_(&into.counter("figwinch_dispatches_total", "Requests sent to own executors")),
      forwards_(&into.counter("figwinch_forwards_total", "Requests passed to another entry")),
      retries_(&into.counter("figwinch_retries_total", "Second and later dispatches")),
      claims_granted_(&into.counter("figwinch_claims_total", "Claims of non-idempotent requests",
                                    {{"result", "granted"}})),
      claims_refused_(&into.counter("figwinch_claims_total", "Claims of non-idempotent requests",
                                    {{"result", "refused"}})),
      crossed_(&into.counter("figwinch_crossed_answers_total",
                             "Answers that named another request or customer")),
      waiting_(&into.gauge("figwinch_waiting_requests", "Requests that wait for a slot")) {
    for (const work_class one : {work_class::urgent, work_class::normal, work_class::bulk})
        latency_[index_of(one)] =
            &into.histogram("figwinch_request_seconds", "From arrival to the final answer",
                            latency_bounds, {{"class", std::string(to_string(one))}});
}

void request_metrics::note_answer(result_code code, work_class request_class, duration latency) {
    into_
        .counter("figwinch_answers_total", "Final answers by result",
                 {{"result", std::string(info(code).name)}})
        .Increment();
    latency_[index_of(request_class)]->Observe(std::chrono::duration<double>(latency).count());
}

void request_metrics::note_dispatch(bool forwarded, bool again) {
    (forwarded ? forwards_ : dispatches_)->Increment();
    if (again)
        retries_->Increment();
}

void request_metrics::note_claim(bool granted) {
    (granted ? claims_granted_ : claims_refused_)->Increment();
}

void request_metrics::set_waiting(std::size_t waiting) {
    waiting_->Set(static_cast<double>(waiting));
}

void request_metrics::note_crossed() {
    crossed_->Increment();
}

} // namespace figwinch
