/// @file
/// The state service's client: keeps all controllers together below the service's limits, renewals first.
/// Section "Limits of the state service" of docs/design.md.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "bookkeeping/calls.hpp"
#include "bookkeeping/state_replies.hpp"
#include "bookkeeping/token_bucket.hpp"
#include "protocol/settings.hpp"

namespace robinford::bookkeeping {

/// Sends calls to the state service, each as soon as the own share of its budget covers it.
///
/// What it guarantees about an answer:
///  - Each callback is called once, and never before the call that takes it has returned. Nothing is repeated
///    by this class.
///  - Lost or late: status 0 after the call's timeout. A call that changes something may have been, or may
///  yet
///    be, carried out; TxnWriter settles that. An answer after the timeout is dropped.
///  - Refused by the service (429, 503): not carried out. A 429 also lowers the own pace for a time.
///  - Refused here, since the queue is full or the call waited for longer than its caller does: status 429
///    without ever being sent, at a later tick().
/// Times are steady, in s.
class StateClient {
 public:
  StateClient(const protocol::Settings& settings, CallTable& calls);

  /// A leader has the larger share of the budget; the other controllers divide the rest among them.
  void set_leading(bool leading);
  /// Sends what has become affordable, and answers what is refused here.
  void tick(double now);

  enum class Urgency {
    kLease,   ///< never waits, and may overdraw the budget: leadership depends on it
    kFirst,   ///< before all others but kLease, since the service of jobs stands still meanwhile (a new
              ///< leader)
    kNormal,  ///< in the order of arrival; changes pass reads that wait
  };
  /// `writes`: keys that the call changes, which count against the budget of writes; `timeout_s` from when it
  /// is sent.
  void call(Urgency urgency, const std::string& method, const std::string& target, std::string body,
            int writes, double timeout_s, ResultCallback answered);
  void read(const std::string& key, std::function<void(const StateRead&)> done,
            Urgency urgency = Urgency::kNormal);
  /// A page of the keys with the prefix that come after `after` (empty: from the first). Lists are what a new
  /// leader reads, and have urgency kFirst. Nothing: no whole answer came, and the page may be asked for
  /// again.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(const std::optional<StatePage>&)> done);
  /// Changes of keys with the prefix after the revision `after`, as soon as there are any, or none after
  /// constants::kWatchWaitS. It never waits for budget.
  void watch(const std::string& prefix, std::uint64_t after, std::function<void(const WatchResult&)> done);

  /// Answers 400 and 429 of the service so far: neither is expected, as long as the settings tell its limits.
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t throttled() const { return throttled_; }
  /// Share of the own budget that is used since the service answered 429, up to 1.
  double pace() const { return pace_; }

  /// An answer other than 503 came within constants::kStateReachableS.
  bool reachable(double now) const;
  /// Whether a call with so many writes would be sent at once.
  bool writes_ready(int writes) const {
    return writes_.covers(writes) && requests_.covers(1) && urgent_queue_.empty();
  }

 private:
  struct Queued {
    protocol::Call call;
    int writes;
    ResultCallback answered;
    double since = 0;
  };
  void send(protocol::Call call, int writes, ResultCallback answered);
  void send_front(std::deque<Queued>& queue);
  void send_queued();
  void set_rates();
  void record_status(int status);
  void recover_pace();

  const protocol::Settings& settings_;
  CallTable& calls_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::deque<Queued> urgent_queue_;     // kFirst
  std::deque<Queued> normal_queue_;     // kNormal
  std::deque<ResultCallback> refused_;  // answered at the next tick: never while the caller is still calling
  double now_ = 0;
  double last_answer_ = -1e9;
  bool leading_ = false;
  std::uint64_t rejected_ = 0;
  std::uint64_t throttled_ = 0;
  double pace_ = 1;
  double pace_changed_at_ = -1e9;
};

}  // namespace robinford::bookkeeping
