/// @file
/// Client of the state service. It keeps all controllers together below the service's rate limits and gives
/// lease renewals the highest priority. Section "Limits of the state service" of docs/design.md.
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

/// Sends calls to the state service, each as soon as this controller's share of the budget covers it. Lease
/// calls and watches are sent at once.
///
/// Guarantees:
///  - Each callback is called exactly once, and not before the function that received it has returned. This
///    class retries nothing.
///  - An answer that is lost or late gives status 0 after the timeout of the call. A write may have been
///    committed or may still be; TxnWriter resolves that. An answer after the timeout is dropped.
///  - A call that the service refuses (429, 503) was not carried out. A 429 also reduces the pace of this
///    controller for a time.
///  - A call that is refused here, because its queue is full or a kNormal call has waited in it for longer
///    than constants::kStateCallTimeoutS, is never sent and gets status 429 at a later tick().
/// Times are those of the steady clock, in s.
class StateClient {
 public:
  StateClient(const protocol::Settings& settings, CallTable& calls);

  /// Sets this controller's share of the service's rate limits: constants::kLeaderBudgetShare as the leader,
  /// otherwise an equal part of constants::kMemberBudgetShare.
  void set_leading(bool leading);
  /// Sends queued calls that the budget now covers, and answers the calls that were refused here.
  void tick(double now);

  enum class Urgency {
    /// Never queued; may overdraw the budget, because leadership depends on it.
    kLease,
    /// Sent before queued calls of kNormal. Used by candidates and new leaders, since no jobs are served
    /// until a leader is ready, by the leader's watch of the change log, and by list().
    kFirst,
    /// Sent in order of arrival, except that writes that the budget covers may overtake queued calls.
    kNormal,
  };
  /// Makes a call. `writes` is the number of keys that it changes, which counts against the write budget;
  /// `timeout_s` starts when the call is sent.
  void call(Urgency urgency, const std::string& method, const std::string& target, std::string body,
            int writes, double timeout_s, ResultCallback answered);
  /// Grants a lease for this time, in ms. An unanswered call may leave a lease that nobody renews.
  void grant_lease(int ttl_ms, ResultCallback answered);
  void renew_lease(std::uint64_t lease, ResultCallback answered);
  /// Ends the lease, which also deletes the keys that are bound to it.
  void revoke_lease(std::uint64_t lease);
  void read(const std::string& key, std::function<void(const StateRead&)> done,
            Urgency urgency = Urgency::kNormal);
  /// Reads a page of the keys with the prefix that follow `after` (empty: from the first). Its urgency is
  /// kFirst, since a new leader reads its ledger this way. `done` gets an empty optional if no complete
  /// answer came; the call may then be repeated.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(const std::optional<StatePage>&)> done);
  /// Waits for changes of keys with the prefix after the revision `after`. `done` gets them as soon as there
  /// are any, or none after constants::kWatchWaitS. A watch never waits for budget.
  void watch(const std::string& prefix, std::uint64_t after, std::function<void(const WatchResult&)> done);

  /// Number of calls that the service answered with 400. None are expected as long as the settings match its
  /// limits.
  std::uint64_t rejected() const { return rejected_; }
  /// Number of calls that the service answered with 429.
  std::uint64_t throttled() const { return throttled_; }
  /// Factor on the rates of this controller's budget, at most 1. A 429 of the service reduces it for a time.
  double pace() const { return pace_; }

  /// Whether a call other than a watch was answered with a status other than 503 within the last
  /// constants::kStateReachableS.
  bool reachable(double now) const;
  /// Number of changes that this controller may write in a second, at least one.
  std::size_t writes_per_second() const { return static_cast<std::size_t>(writes_.burst()); }
  /// Whether a call with this many writes, at least one, would be sent at once.
  bool can_send_writes_now(int writes) const {
    return writes_.covers(writes) && requests_.covers(1) && urgent_queue_.empty();
  }

 private:
  struct Queued {
    protocol::Call call;
    int writes;
    ResultCallback answered;
    double since = 0;
  };
  void send_lease_call(const std::string& method, const std::string& path, std::string body, bool idempotent,
                       ResultCallback answered);
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
  std::deque<Queued> urgent_queue_;     // queued calls of urgency kFirst
  std::deque<Queued> normal_queue_;     // queued calls of urgency kNormal
  std::deque<ResultCallback> refused_;  // answered at the next tick, never within the call itself
  double now_ = 0;
  double last_answer_ = -1e9;
  bool leading_ = false;
  std::uint64_t rejected_ = 0;
  std::uint64_t throttled_ = 0;
  double pace_ = 1;
  double pace_changed_at_ = -1e9;
};

}  // namespace robinford::bookkeeping
