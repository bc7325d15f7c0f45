#include "libpolicy/request_table.h"

#include <algorithm>

namespace mulberry {

Request& RequestTable::Open(const RequestInfo& item, ClassState& owner_class) {
  Request& request = *request_pool_.Take();
  request.id = item.id;
  request.owner_class = &owner_class;
  request.arrived = item.arrived;
  request.deadline = item.deadline;
  request.due = item.arrived + owner_class.target.latency_target;
  request.no_retry = item.no_retry;
  request.state = Request::State::kQueued;
  request.attempts = 0;
  request.may_have_run = false;
  request.hedge_at = TimePoint::max();
  request.running.clear();
  request.tried.clear();
  requests_[item.id.value()] = &request;
  ++owner_class.open;
  classes_->Enqueue(request);
  expiry_.Add(request.deadline, request.id.value(), &request);
  return request;
}

Request* RequestTable::Find(RequestId id) const {
  const auto it = requests_.find(id.value());
  return it == requests_.end() ? nullptr : it->second;
}

void RequestTable::Close(Request& request) {
  StopWaiting(request);
  DisarmHedge(request);
  for (Attempt* attempt : request.running) attempt->request = nullptr;
  --request.owner_class->open;
  requests_.erase(request.id.value());
  request_pool_.Release(&request);
}

void RequestTable::WaitForRetry(Request& request) {
  request.state = Request::State::kRetryQueued;
  retries_.Add(request.due, request.id.value(), &request);
  expiry_.Add(request.deadline, request.id.value(), &request);
}

Attempt& RequestTable::Start(Request& request, BackendServer& server, TimePoint now) {
  StopWaiting(request);
  request.state = Request::State::kRunning;
  ++request.attempts;
  Attempt& attempt = *attempt_pool_.Take();
  attempt.id = DispatchId(++last_dispatch_);
  attempt.request = &request;
  attempt.owner_class = request.owner_class;
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

void RequestTable::End(Attempt& attempt) {
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

void RequestTable::StopWaiting(Request& request) {
  if (request.state == Request::State::kRunning) return;
  if (request.state == Request::State::kQueued) classes_->Dequeue(request);
  if (request.state == Request::State::kRetryQueued) {
    retries_.Remove(request.due, request.id.value());
  }
  expiry_.Remove(request.deadline, request.id.value());
}

}  // namespace mulberry
