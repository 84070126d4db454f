#pragma once

#include "figwinch/cell.h"
#include "link.pb.h"

namespace figwinch {

order_outcome outcome_of(const pb::LinkResult& result);
order_answer answer_of(const pb::LinkResult& result);
worker_report report_of(const pb::LinkReport& message);
void put_outcome(order_outcome outcome, pb::LinkResult& result);
void put_answer(const order_answer& answer, pb::LinkResult& result);
void put_end(const ended_run& row, pb::LinkEnd& message);

} // namespace figwinch
