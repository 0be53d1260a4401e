/// @file
/// Durable writes: units of conditional changes, batched into transactions. Section "Standing still,
/// repeats" of docs/design.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/state_client.hpp"
#include "bookkeeping/write_queue.hpp"
#include "bookkeeping/write_unit.hpp"

namespace robinford::bookkeeping {

/// What a writer has done since its process began.
struct WriterCounters {
  std::uint64_t committed = 0;          ///< transactions answered 200
  std::uint64_t condition_failed = 0;   ///< transactions answered 409
  std::uint64_t not_carried_out = 0;    ///< transactions answered 429 or 503
  std::uint64_t unresolved = 0;         ///< transactions without a clear answer
  std::uint64_t malformed = 0;          ///< transactions answered 400
  std::uint64_t changes_committed = 0;  ///< changes in committed transactions
  std::uint64_t units_expired = 0;      ///< units that ended as kExpired
  /// Units whose conditions failed, by priority.
  std::array<std::uint64_t, kWritePriorities> units_conflicted{};
};

/// Commits units of changes, each atomically, and reports one outcome for each.
///
/// States and transitions of a unit:
///
///     queued    --sent in a transaction-->                  sent
///     queued    --its deadline has passed, no attempt is unresolved-->  kExpired
///     queued    --withdrawn-->                              dropped without a report
///     sent      --200-->                                    kDone
///     sent      --409, the guard failed-->                  kLost, and the guard's callback is called
///     sent      --409, another unit's key failed-->         queued
///     sent      --409, a key of it failed-->                kConflict; settling, if an earlier attempt is
///                                                           unresolved
///     sent      --409, no key named-->                      kConflict
///     sent      --400, with others-->                       queued, to be sent alone
///     sent      --400, alone-->                             kRefused
///     sent      --429, 503: not committed-->                queued, after a delay
///     sent      --lost, late or other: may be committed-->  queued with an unresolved attempt, after a delay
///     settling  --read: its mark, or its key is deleted-->  kDone
///     settling  --read: anything else-->                    kConflict
///     settling  --no valid answer-->                        queued, after a delay
///     sent      --not 200, after the guard changed-->       kLost (units with a guard)
///     settling  --any answer, after the guard changed-->    kLost (units with a guard)
///     queued    --the guard is cleared-->                   kLost (units with a guard)
///
/// A retry is safe: if the unit was already committed, its conditions fail at the retry. The settling read
/// then shows whose change the key holds, by a random mark that each written value carries. Apart from the
/// guard's key, no two transactions in flight name the same key. Units that share a key are sent in the order
/// of arrival within a priority, except that a settling unit does not hold back later ones. A transaction
/// takes no more changes than this controller may write in a second, unless its only unit does. Times are
/// those of the steady clock, in s.
class TxnWriter {
 public:
  TxnWriter(const protocol::Settings& settings, StateClient& state, std::mt19937_64& random);

  /// Adds a condition to each unit submitted from now on: `key`, the leader key, still has this mod revision.
  /// It keeps a former leader from changing anything. `lost` is called when the condition fails.
  void set_guard(std::string key, std::uint64_t mod_revision, std::function<void()> lost);
  /// Removes the guard. Queued units that were submitted under it end as kLost. Also resumes sending if it
  /// was paused.
  void clear_guard();

  /// Queues a unit. `written` is called exactly once, unless the unit is withdrawn: before this returns if
  /// the unit is refused here, otherwise later. The first attempt is not sent after `deadline`, in steady s.
  WriteId submit(std::vector<WriteOp> ops, WriteCallback written,
                 WritePriority urgency = WritePriority::kUser, double deadline = kNoDeadline);
  /// Moves the deadline of a queued unit back to `deadline` if it is earlier; no effect on other units.
  void extend(WriteId id, double deadline);
  /// Drops the unit, without a call of `written`, if it is queued. Returns whether it was. An earlier
  /// unanswered attempt of it may have been committed or may still be.
  bool withdraw(WriteId id);
  /// Sends queued units as far as the budget and the limits allow.
  void pump(double now);
  /// Number of queued units and transactions in flight.
  std::size_t waiting() const { return queue_.size() + in_flight_; }
  const WriterCounters& counters() const { return counters_; }
  std::array<WriteQueueStatus, kWritePriorities> queue_status() const { return queue_.status(now_); }
  /// Pauses or resumes sending. A degraded leader writes nothing; its units stay queued.
  void set_paused(bool paused) { paused_ = paused; }

 private:
  // Units of one transaction.
  struct Batch {
    std::vector<WriteUnitPtr> units;
    std::size_t ops = 0;
    std::size_t bytes = 0;
  };
  // What the answer to a transaction says about its outcome.
  enum class TxnAnswer { kCarriedOut, kConditionFailed, kMalformed, kNotCarriedOut, kUnresolved };

  static TxnAnswer classify_answer(int status, const boost::json::object* body);
  static void finish(const std::vector<WriteUnitPtr>& units, WriteOutcome outcome, std::uint64_t revision);
  void count_answer(const std::vector<WriteUnitPtr>& units, TxnAnswer answer);
  void drop_expired();
  std::size_t queue_limit(WritePriority urgency) const;
  bool fits(const Batch& batch, const WriteUnit& unit) const;
  bool is_full(const Batch& batch) const { return batch.ops >= ops_limit(); }
  Batch take_batch();
  void send(std::vector<WriteUnitPtr> units);
  boost::json::object transaction(const std::vector<WriteUnitPtr>& units) const;
  void on_answer(const std::vector<WriteUnitPtr>& units, std::uint64_t generation,
                 const protocol::CallResult& result);
  void on_condition_failed(const std::vector<WriteUnitPtr>& units, const boost::json::object& body);
  void on_malformed(const std::vector<WriteUnitPtr>& units);
  void settle_by_reading(const WriteUnitPtr& unit);
  void on_settling_read(const WriteUnitPtr& unit, bool deleting, const StateRead& read);
  void requeue_after_pause(const std::vector<WriteUnitPtr>& units);
  // Maximum number of changes in a transaction that the service accepts.
  std::size_t accepted_ops_limit() const;
  // Maximum number of changes in a transaction at the present rate of writes.
  std::size_t ops_limit() const;

  const protocol::Settings& settings_;
  StateClient& state_;
  std::mt19937_64& random_;
  WriteQueue queue_;
  std::set<std::string> busy_keys_;  // keys of the transactions in flight
  std::size_t in_flight_ = 0;        // transactions
  double now_ = 0;
  double not_before_ = 0;
  double next_expiry_check_ = 0;
  WriteId last_id_ = 0;
  WriterCounters counters_;
  bool paused_ = false;
  std::size_t observed_ops_limit_ =
      std::numeric_limits<std::size_t>::max();  // lowered when a transaction is rejected
  std::string guard_key_;                       // empty: no guard is set
  std::uint64_t guard_mod_revision_ = 0;
  std::uint64_t generation_ = 0;  // incremented when the guard changes
  std::function<void()> guard_lost_;
};

}  // namespace robinford::bookkeeping
