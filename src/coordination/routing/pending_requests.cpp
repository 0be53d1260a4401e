/// @file
/// Implementation of PendingRequests.
#include "coordination/routing/pending_requests.hpp"

#include <utility>

namespace robinford::coordination {
using State = PendingRequest::State;

RequestKey PendingRequests::add(PendingRequest request) {
  const RequestKey key = next_++;
  if (!request.is_heartbeat()) ++count_of(request.kind);
  requests_.emplace(key, std::move(request));
  return key;
}

const PendingRequest* PendingRequests::find_forwarded(RequestKey key, const std::string& member) const {
  const auto found = requests_.find(key);
  if (found == requests_.end()) return nullptr;
  const PendingRequest& request = found->second;
  return request.state == State::kForwarded && request.forwarded_to == member ? &request : nullptr;
}

void PendingRequests::change_state(PendingRequest& request, State state) {
  if (request.state == State::kParked) --parked_;
  if (request.state == State::kForwarded) --forwarded_;
  request.state = state;
  if (state == State::kParked) ++parked_;
  if (state == State::kForwarded) ++forwarded_;
}

void PendingRequests::mark_local(RequestKey key) { change_state(requests_.at(key), State::kLocal); }

void PendingRequests::park(RequestKey key) { change_state(requests_.at(key), State::kParked); }

void PendingRequests::forward(RequestKey key, const std::string& member, double forward_deadline) {
  PendingRequest& request = requests_.at(key);
  change_state(request, State::kForwarded);
  request.forwarded_to = member;
  request.forward_deadline = forward_deadline;
}

std::optional<PendingRequest> PendingRequests::remove(RequestKey key) {
  const auto found = requests_.find(key);
  if (found == requests_.end()) return std::nullopt;
  change_state(found->second, State::kLocal);
  PendingRequest request = std::move(found->second);
  requests_.erase(found);
  if (!request.is_heartbeat()) --count_of(request.kind);
  return request;
}

std::vector<RequestKey> PendingRequests::parked_keys() const {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : requests_)
    if (request.state == State::kParked) keys.push_back(key);
  return keys;
}

std::vector<RequestKey> PendingRequests::keys_forwarded_to(const std::string& member) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : requests_)
    if (request.state == State::kForwarded && request.forwarded_to == member) keys.push_back(key);
  return keys;
}

std::vector<RequestKey> PendingRequests::overdue_keys(double now) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : requests_)
    if (overdue_reason(request, now) != OverdueReason::kNo) keys.push_back(key);
  return keys;
}

PendingRequests::OverdueReason PendingRequests::overdue_reason(RequestKey key, double now) const {
  const auto found = requests_.find(key);
  return found == requests_.end() ? OverdueReason::kNo : overdue_reason(found->second, now);
}

PendingRequests::OverdueReason PendingRequests::overdue_reason(const PendingRequest& request, double now) {
  if (now >= request.deadline) return OverdueReason::kAnswer;
  if (request.state == State::kForwarded && now >= request.forward_deadline && !request.is_heartbeat())
    return OverdueReason::kForward;
  return OverdueReason::kNo;
}

}  // namespace robinford::coordination
