// The state service's client: keeps all controllers together below its budgets, renewals first.
#pragma once

#include <boost/json.hpp>
#include <deque>
#include <optional>
#include <string>

#include "bookkeeping/calls.hpp"
#include "protocol/settings.hpp"

namespace robinford::bookkeeping {

// Calls a second, with a burst of one second's worth.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    if (level_ > burst) level_ = burst;
  }
  void refill(double now) {
    if (last_ > 0) level_ = std::min(burst_, level_ + (now - last_) * rate_);
    last_ = now;
  }
  bool covers(double amount) const { return level_ >= amount || level_ >= burst_ - 1e-9; }
  void take(double amount) { level_ -= amount; }

 private:
  double rate_, burst_, level_;
  double last_ = 0;
};

struct StateItem {
  std::string key;
  std::uint64_t mod_revision = 0;
  boost::json::value value;
};
struct StatePage {
  std::vector<StateItem> items;
  bool more = false;
  std::uint64_t revision = 0;
};
struct StateRead {
  enum class Found { kYes, kNo, kUnknown } found = Found::kUnknown;
  std::uint64_t mod_revision = 0;  // of the key, when found
  std::uint64_t revision = 0;      // of the service, when not
  boost::json::value value;
};
struct StateEvent {
  std::string key;
  bool deleted = false;
  boost::json::value value;
  std::uint64_t mod_revision = 0;
};
struct WatchResult {
  bool good = false;
  bool too_old = false;
  std::uint64_t revision = 0;
  std::vector<StateEvent> events;
};

class StateClient {
 public:
  StateClient(const protocol::Settings& settings, CallTable& calls);

  void set_leading(bool leading);
  void tick(double now);

  // kLease never waits; kFirst waits before all others, since the service stands still meanwhile (the ledger
  // of a new leader).
  enum class Urgency { kLease, kFirst, kNormal };
  void call(Urgency urgency, const std::string& method, const std::string& target, std::string body,
            int writes, double timeout_s, Answered answered);
  void read(const std::string& key, std::function<void(const StateRead&)> done,
            Urgency urgency = Urgency::kNormal);
  // Lists are what a new leader reads, and go first.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(const std::optional<StatePage>&)> done);
  void watch(const std::string& prefix, std::uint64_t after, std::function<void(const WatchResult&)> done);

  // Answers 400 and 429 of the service so far: neither is expected, as long as the settings tell its limits.
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t throttled() const { return throttled_; }
  // Share of the own budget that is used since the service answered 429.
  double pace() const { return pace_; }

  // An answer other than 503 came within the freshness time.
  bool reachable(double now) const;
  bool writes_ready(int writes) const {
    return writes_.covers(writes) && requests_.covers(1) && first_.empty();
  }

 private:
  struct Queued {
    protocol::Call call;
    int writes;
    Answered answered;
    double since = 0;
  };
  void send(protocol::Call call, int writes, Answered answered);
  void set_rates();
  void learn_from(int status);
  void recover_pace();

  const protocol::Settings& settings_;
  CallTable& calls_;
  TokenBucket requests_, writes_;
  std::deque<Queued> first_, queue_;
  std::deque<Answered> refused_;  // answered at the next tick: never while the caller is still calling
  double now_ = 0;
  double last_answer_ = -1e9;
  bool leading_ = false;
  std::uint64_t rejected_ = 0, throttled_ = 0;
  double pace_ = 1, pace_changed_at_ = -1e9;
};

}  // namespace robinford::bookkeeping
