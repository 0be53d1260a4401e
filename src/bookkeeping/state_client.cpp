#include "bookkeeping/state_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace n = names;
namespace json = boost::json;
using protocol::CallResult;

namespace {

std::uint64_t number(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr) return 0;
  if (value->is_uint64()) return value->get_uint64();
  if (value->is_int64() && value->get_int64() > 0) return static_cast<std::uint64_t>(value->get_int64());
  return 0;
}

std::string text(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
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

// The limits may be lower than the settings say. A refused call is not simply repeated at the same pace.
void StateClient::learn_from(int status) {
  if (status == 400) ++rejected_;
  if (status != 429) return;
  ++throttled_;
  if (now_ - pace_changed_at_ < constants::kPaceEveryS) return;
  pace_changed_at_ = now_;
  const double slower = std::max(constants::kPaceLeast, pace_ * constants::kPaceDrop);
  if (slower == std::exchange(pace_, slower)) return;
  spdlog::warn("the state service answers 429: going on at {:.0f}% of the usual pace", pace_ * 100);
  set_rates();
}

void StateClient::recover_pace() {
  if (pace_ >= 1 || now_ - pace_changed_at_ < constants::kPaceRecoverS) return;
  pace_changed_at_ = now_;
  pace_ = std::min(1.0, pace_ + constants::kPaceStep);
  set_rates();
}

bool StateClient::reachable(double now) const { return now - last_answer_ < constants::kStateFreshS; }

void StateClient::tick(double now) {
  now_ = now;
  requests_.refill(now);
  writes_.refill(now);
  recover_pace();
  const auto refused = std::exchange(refused_, {});
  for (const auto& answered : refused) answered({429, ""});
  const auto next = [this](std::deque<Queued>& queue) {
    Queued call = std::move(queue.front());
    queue.pop_front();
    send(std::move(call.call), call.writes, std::move(call.answered));
  };
  while (!first_.empty() && requests_.covers(1) && writes_.covers(first_.front().writes)) next(first_);
  while (!queue_.empty()) {
    // Whoever asked has given up by now: a flood of polls must not spend the budget on answers for nobody.
    if (now - queue_.front().since > constants::kStateTimeoutS) {
      const auto answered = std::move(queue_.front().answered);
      queue_.pop_front();
      answered({429, ""});
      continue;
    }
    // One request is left for what is to be written: users wait for their submissions.
    if (!first_.empty() || !requests_.covers(2) || !writes_.covers(queue_.front().writes)) break;
    next(queue_);
  }
}

void StateClient::send(protocol::Call call, int writes, Answered answered) {
  requests_.take(1);
  writes_.take(writes);
  calls_.send(std::move(call), [this, answered = std::move(answered)](const CallResult& result) {
    if (result.status != 0 && result.status != 503) last_answer_ = now_;
    learn_from(result.status);
    answered(result);
  });
}

void StateClient::call(Urgency urgency, const std::string& method, const std::string& target,
                       std::string body, int writes, double timeout_s, Answered answered) {
  protocol::Call call{0, protocol::Service::kState, "", method, target, std::move(body), timeout_s, false};
  const bool free = queue_.empty() || urgency == Urgency::kFirst || writes > 0;
  if (urgency == Urgency::kLease ||
      (free && first_.empty() && requests_.covers(1) && writes_.covers(writes))) {
    send(std::move(call), writes, std::move(answered));
    return;
  }
  auto& queue = urgency == Urgency::kFirst ? first_ : queue_;
  if (queue.size() >= constants::kStateQueueMax) {
    // Over our own budget: the same as if the service had said so. Not at once, or a caller that asks again
    // would do so for ever.
    refused_.push_back(std::move(answered));
    return;
  }
  queue.push_back({std::move(call), writes, std::move(answered), now_});
}

void StateClient::read(const std::string& key, std::function<void(const StateRead&)> done, Urgency urgency) {
  call(urgency, "GET", std::string(n::kPathStore) + "/" + key, "", 0, constants::kStateTimeoutS,
       [done = std::move(done)](const CallResult& result) {
         StateRead read;
         const auto value = protocol::parse_json(result.body);
         if (result.status == 200 && value && value->is_object()) {
           const auto& object = value->get_object();
           read.found = StateRead::Found::kYes;
           read.mod_revision = number(object, n::kModRevision);
           if (const auto* data = object.if_contains(n::kValue)) read.value = *data;
         } else if (result.status == 404) {
           read.found = StateRead::Found::kNo;
           if (value && value->is_object()) read.revision = number(value->get_object(), n::kRevision);
         }
         done(read);
       });
}

void StateClient::list(const std::string& prefix, const std::string& after,
                       std::function<void(const std::optional<StatePage>&)> done) {
  std::string target = std::string(n::kPathStore) + "?" + n::kQueryPrefix + "=" + prefix;
  if (!after.empty()) target += std::string("&") + n::kQueryAfter + "=" + after;
  target += std::string("&") + n::kQueryLimit + "=" + std::to_string(constants::kStatePageItems);
  call(Urgency::kFirst, "GET", target, "", 0, constants::kLoadTimeoutS,
       [done = std::move(done)](const CallResult& result) {
         const auto value = protocol::parse_json(result.body);
         if (result.status != 200 || !value || !value->is_object()) return done(std::nullopt);
         const auto& object = value->get_object();
         StatePage page;
         page.revision = number(object, n::kRevision);
         const auto* more = object.if_contains(n::kMore);
         page.more = more != nullptr && more->is_bool() && more->get_bool();
         if (const auto* items = object.if_contains(n::kItems); items != nullptr && items->is_array()) {
           for (const auto& item : items->get_array()) {
             if (!item.is_object()) continue;
             const auto& entry = item.get_object();
             const auto* data = entry.if_contains(n::kValue);
             page.items.push_back({text(entry, n::kKey), number(entry, n::kModRevision),
                                   data != nullptr ? *data : json::value()});
           }
         }
         done(page);
       });
}

void StateClient::watch(const std::string& prefix, std::uint64_t after,
                        std::function<void(const WatchResult&)> done) {
  const std::string target = std::string(n::kPathWatch) + "?" + n::kQueryPrefix + "=" + prefix + "&" +
                             n::kQueryAfter + "=" + std::to_string(after) + "&" + n::kQueryWaitMs + "=" +
                             std::to_string(static_cast<int>(constants::kWatchWaitS * 1000));
  requests_.take(1);
  protocol::Call call{
      0,   protocol::Service::kState, "", "GET", target, "", constants::kWatchWaitS + constants::kWatchSlackS,
      true};
  calls_.send(std::move(call), [done = std::move(done)](const CallResult& result) {
    WatchResult watch;
    watch.too_old = result.status == 410;
    const auto value = protocol::parse_json(result.body);
    if (result.status == 200 && value && value->is_object()) {
      const auto& object = value->get_object();
      watch.good = true;
      watch.revision = number(object, n::kRevision);
      if (const auto* events = object.if_contains(n::kEvents); events != nullptr && events->is_array()) {
        for (const auto& item : events->get_array()) {
          if (!item.is_object()) continue;
          const auto& entry = item.get_object();
          StateEvent event;
          event.deleted = entry.contains(n::kDelete);
          event.key = text(entry, event.deleted ? n::kDelete : n::kPut);
          event.mod_revision = number(entry, n::kModRevision);
          if (const auto* data = entry.if_contains(n::kValue)) event.value = *data;
          watch.events.push_back(std::move(event));
        }
      }
    }
    done(watch);
  });
}

}  // namespace robinford::bookkeeping
