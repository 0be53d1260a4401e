/// @file
/// Budget, queues and pace of calls to the state service.
#include "bookkeeping/state_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace n = names;
using protocol::CallResult;

namespace {

constexpr int kMsPerSecond = 1000;

// Requests that the budget must cover before a queued call of kNormal is sent: the call itself, and one in
// reserve for a write, since users wait for their submissions.
constexpr double kRequestsForQueued = 2;

std::string lease_path(std::uint64_t lease) {
  return std::string(n::kPathLeases) + "/" + std::to_string(lease);
}

}  // namespace

StateClient::StateClient(const protocol::Settings& settings, CallTable& calls)
    : settings_(settings), calls_(calls), requests_(1, 1), writes_(1, 1) {
  set_leading(false);
}

void StateClient::set_leading(bool leading) {
  leading_ = leading;
  set_rates();
}

void StateClient::set_rates() {
  const double share = pace_ * (leading_ ? constants::kLeaderBudgetShare
                                         : constants::kMemberBudgetShare / std::max(1, settings_.count - 1));
  const auto scaled = [&](double limit) { return std::max(1.0, limit * share); };
  requests_.set_rate(scaled(settings_.state_rps), scaled(settings_.state_rps));
  writes_.set_rate(scaled(settings_.state_write_rps), scaled(settings_.state_write_rps));
}

// The service's limits may be lower than the settings say, so a 429 reduces the pace of all further calls, at
// most once per constants::kPaceReductionIntervalS.
void StateClient::record_status(int status) {
  if (status == state_status::kMalformed) ++rejected_;
  if (status != state_status::kThrottled) return;
  ++throttled_;
  if (now_ - pace_changed_at_ < constants::kPaceReductionIntervalS) return;
  pace_changed_at_ = now_;
  const double slower = std::max(constants::kPaceMin, pace_ * constants::kPaceReductionFactor);
  if (slower == std::exchange(pace_, slower)) return;
  spdlog::warn("the state service answers 429: calls continue at {:.0f}% of the usual rate", pace_ * 100);
  set_rates();
}

void StateClient::recover_pace() {
  if (pace_ >= 1 || now_ - pace_changed_at_ < constants::kPaceRecoveryIntervalS) return;
  pace_changed_at_ = now_;
  pace_ = std::min(1.0, pace_ + constants::kPaceRecoveryStep);
  set_rates();
}

bool StateClient::reachable(double now) const { return now - last_answer_ < constants::kStateReachableS; }

void StateClient::tick(double now) {
  now_ = now;
  requests_.refill(now);
  writes_.refill(now);
  recover_pace();
  const auto refused = std::exchange(refused_, {});
  for (const auto& answered : refused) answered({state_status::kThrottled, ""});
  while (!urgent_queue_.empty() && requests_.covers(1) && writes_.covers(urgent_queue_.front().writes))
    send_front(urgent_queue_);
  send_queued();
}

void StateClient::send_front(std::deque<Queued>& queue) {
  Queued next = std::move(queue.front());
  queue.pop_front();
  send(std::move(next.call), next.writes, std::move(next.answered));
}

void StateClient::send_queued() {
  while (!normal_queue_.empty()) {
    // The caller of a call that has waited this long has probably given up. Without this check, a flood of
    // polls would spend the budget on unused answers.
    if (now_ - normal_queue_.front().since > constants::kStateCallTimeoutS) {
      const auto answered = std::move(normal_queue_.front().answered);
      normal_queue_.pop_front();
      answered({state_status::kThrottled, ""});
      continue;
    }
    if (!urgent_queue_.empty() || !requests_.covers(kRequestsForQueued) ||
        !writes_.covers(normal_queue_.front().writes))
      return;
    send_front(normal_queue_);
  }
}

void StateClient::send(protocol::Call call, int writes, ResultCallback answered) {
  requests_.take(1);
  writes_.take(writes);
  calls_.send(std::move(call), [this, answered = std::move(answered)](const CallResult& result) {
    if (result.status != state_status::kNoAnswer && result.status != state_status::kUnavailable)
      last_answer_ = now_;
    record_status(result.status);
    answered(result);
  });
}

void StateClient::call(Urgency urgency, const std::string& method, const std::string& target,
                       std::string body, int writes, double timeout_s, ResultCallback answered) {
  protocol::Call call{0, protocol::Service::kState, "", method, target, std::move(body), timeout_s, false};
  const bool free = normal_queue_.empty() || urgency == Urgency::kFirst || writes > 0;
  if (urgency == Urgency::kLease ||
      (free && urgent_queue_.empty() && requests_.covers(1) && writes_.covers(writes))) {
    send(std::move(call), writes, std::move(answered));
    return;
  }
  auto& queue = urgency == Urgency::kFirst ? urgent_queue_ : normal_queue_;
  if (queue.size() >= constants::kStateQueueMax) {
    // This controller is over its own budget, which is reported like a 429 of the service. The callback is
    // not called here, since a caller that retries in it would loop forever.
    refused_.push_back(std::move(answered));
    return;
  }
  queue.push_back({std::move(call), writes, std::move(answered), now_});
}

void StateClient::send_lease_call(const std::string& method, const std::string& path, std::string body,
                                  bool idempotent, ResultCallback answered) {
  send({0, protocol::Service::kState, "", method, path, std::move(body), constants::kLeaderLeaseCallTimeoutS,
        false, idempotent},
       0, std::move(answered));
}

void StateClient::grant_lease(int ttl_ms, ResultCallback answered) {
  boost::json::object body;
  body[n::kTtlMs] = ttl_ms;
  send_lease_call("POST", n::kPathLeases, boost::json::serialize(body), false, std::move(answered));
}

void StateClient::renew_lease(std::uint64_t lease, ResultCallback answered) {
  send_lease_call("POST", lease_path(lease) + n::kPathRenew, "", true, std::move(answered));
}

void StateClient::revoke_lease(std::uint64_t lease) {
  send_lease_call("DELETE", lease_path(lease), "", true, [](const CallResult&) {});
}

void StateClient::read(const std::string& key, std::function<void(const StateRead&)> done, Urgency urgency) {
  call(urgency, "GET", std::string(n::kPathStore) + "/" + key, "", 0, constants::kStateCallTimeoutS,
       [done = std::move(done)](const CallResult& result) { done(parse_read(result)); });
}

void StateClient::list(const std::string& prefix, const std::string& after,
                       std::function<void(const std::optional<StatePage>&)> done) {
  std::string target = std::string(n::kPathStore) + "?" + n::kQueryPrefix + "=" + prefix;
  if (!after.empty()) target += std::string("&") + n::kQueryAfter + "=" + after;
  target += std::string("&") + n::kQueryLimit + "=" + std::to_string(constants::kStatePageItems);
  call(Urgency::kFirst, "GET", target, "", 0, constants::kStatePageTimeoutS,
       [done = std::move(done)](const CallResult& result) { done(parse_page(result)); });
}

void StateClient::watch(const std::string& prefix, std::uint64_t after,
                        std::function<void(const WatchResult&)> done) {
  const int wait_ms = static_cast<int>(constants::kWatchWaitS * kMsPerSecond);
  protocol::Call call;
  call.service = protocol::Service::kState;
  call.method = "GET";
  call.target = std::string(n::kPathWatch) + "?" + n::kQueryPrefix + "=" + prefix + "&" + n::kQueryAfter +
                "=" + std::to_string(after) + "&" + n::kQueryWaitMs + "=" + std::to_string(wait_ms);
  call.timeout_s = constants::kWatchWaitS + constants::kWatchSlackS;
  call.watch = true;
  requests_.take(1);
  calls_.send(std::move(call),
              [done = std::move(done)](const CallResult& result) { done(parse_watch(result)); });
}

}  // namespace robinford::bookkeeping
