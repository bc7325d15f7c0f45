#include "libpolicy/request_table.h"

#include <algorithm>

namespace mulberry {

Request& RequestTable::Open(const RequestInfo& info, ClassState& class_state) {
  Request& request = *request_pool_.Acquire();
  request.id = info.id;
  request.class_state = &class_state;
  request.arrived = info.arrived;
  request.deadline = info.deadline;
  request.due = info.arrived + class_state.target.latency_target;
  request.no_retry = info.no_retry;
  request.idempotent = info.idempotent && class_state.target.idempotent;
  request.state = Request::State::kQueued;
  request.attempts = 0;
  request.may_have_run = false;
  request.hedge_at = TimePoint::max();
  request.running.clear();
  request.tried.clear();
  requests_[info.id.value()] = &request;
  ++class_state.open_requests;
  classes_->Enqueue(request);
  expiry_.Add(request.deadline, request.id.value(), &request);
  return request;
}

Request* RequestTable::Find(RequestId id) const {
  const auto it = requests_.find(id.value());
  return it == requests_.end() ? nullptr : it->second;
}

void RequestTable::Close(Request& request) {
  RemoveFromQueue(request);
  DisarmHedge(request);
  for (Attempt* attempt : request.running) attempt->request = nullptr;
  --request.class_state->open_requests;
  requests_.erase(request.id.value());
  request_pool_.Release(&request);
}

void RequestTable::QueueRetry(Request& request) {
  request.state = Request::State::kRetryQueued;
  retries_.Add(request.due, request.id.value(), &request);
  expiry_.Add(request.deadline, request.id.value(), &request);
}

Attempt& RequestTable::StartAttempt(Request& request, BackendServer& server, TimePoint now) {
  RemoveFromQueue(request);
  request.state = Request::State::kRunning;
  ++request.attempts;
  Attempt& attempt = *attempt_pool_.Acquire();
  attempt.id = DispatchId(++last_dispatch_);
  attempt.request = &request;
  attempt.class_state = request.class_state;
  attempt.server = &server;
  attempt.started = now;
  attempt.epoch = server.epoch();
  request.running.push_back(&attempt);
  request.tried.push_back(&server);
  attempts_[attempt.id.value()] = &attempt;
  return attempt;
}

Attempt* RequestTable::FindAttempt(DispatchId id) const {
  const auto it = attempts_.find(id.value());
  return it == attempts_.end() ? nullptr : it->second;
}

void RequestTable::EndAttempt(Attempt& attempt) {
  if (attempt.request != nullptr) std::erase(attempt.request->running, &attempt);
  attempts_.erase(attempt.id.value());
  attempt_pool_.Release(&attempt);
}

void RequestTable::ArmHedge(Request& request, TimePoint at) {
  request.hedge_at = at;
  hedges_.Add(at, request.id.value(), &request);
}

void RequestTable::DisarmHedge(Request& request) {
  if (request.hedge_at == TimePoint::max()) return;
  hedges_.Remove(request.hedge_at, request.id.value());
  request.hedge_at = TimePoint::max();
}

void RequestTable::RemoveFromQueue(Request& request) {
  if (request.state == Request::State::kRunning) return;
  if (request.state == Request::State::kQueued) classes_->Dequeue(request);
  if (request.state == Request::State::kRetryQueued) {
    retries_.Remove(request.due, request.id.value());
  }
  expiry_.Remove(request.deadline, request.id.value());
}

}  // namespace mulberry
