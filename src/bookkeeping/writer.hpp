/// @file
/// Durable writes: units of conditional changes, several units to a transaction. Section "Standing still,
/// repeats" of docs/design.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/state_client.hpp"

namespace robinford::bookkeeping {

/// A change of one key on condition of its mod revision, or the condition alone.
struct WriteOp {
  std::string key;
  std::uint64_t expect = 0;  ///< mod revision that the key must have; 0: the key must not exist
  std::optional<boost::json::object> value;  ///< nothing: delete the key
  bool compare_only = false;                 ///< a condition, no change
};

/// What became of a unit.
enum class WriteOutcome {
  kDone,      ///< carried out, at the given revision
  kConflict,  ///< a condition did not hold and nothing was changed by this unit
  kLost,  ///< the guard (leadership) is gone: whether it was carried out is open, a new leader will read it
  kRefused,  ///< never sent, since the queue is full or it has too many changes; or the service refuses it
};

/// In order of urgency: users wait for their submissions, a launch may wait for its machine's record.
enum class WritePriority : std::uint8_t { kUser, kFleet, kBackground };

using WriteCallback = std::function<void(WriteOutcome, std::uint64_t revision)>;

/// Carries out units of changes, each wholly or not at all, and reports one outcome for each.
///
/// The states of a unit, and what leads from one to the next:
///
///     queued    --sent in a transaction-->                  sent
///     sent      --200-->                                    kDone
///     sent      --409, the guard failed-->                  kLost, and the guard's callback
///     sent      --409, another unit's key failed-->         queued
///     sent      --409, a key of it failed-->                kConflict; settling, if an earlier try is open
///     sent      --409, no key named-->                      kConflict
///     sent      --400, with others-->                       queued, to be sent alone
///     sent      --400, alone-->                             kRefused
///     sent      --429, 503: not carried out-->              queued, after a pause
///     sent      --lost or late: may be carried out-->       queued with an open try, after a pause
///     settling  --read: its mark, or its key is deleted-->  kDone
///     settling  --read: anything else-->                    kConflict
///     settling  --no answer-->                              queued, after a pause
///     sent      --not 200, after the guard changed-->       kLost (units with a guard)
///     settling  --any answer, after the guard changed-->    kLost (units with a guard)
///     queued    --the guard is cleared-->                   kLost (units with a guard)
///
/// A repeat does no harm, since the conditions of a unit that was carried out fail at the repeat; the
/// settling read then tells whose change the key shows, by a random mark that each value carries. No two
/// transactions on their way name the same key but the guard's, and units that share one are sent in their
/// order of arrival within a class. Times are steady, in s.
class TxnWriter {
 public:
  TxnWriter(const protocol::Settings& settings, StateClient& state, std::mt19937_64& random);

  /// From now on each unit submitted also demands that `key` still has this mod revision; it is the key of
  /// the leader, so that a former leader changes nothing. `lost` is called when that condition fails.
  void set_guard(std::string key, std::uint64_t mod_revision, std::function<void()> lost);
  /// Ends the guard. Units that wait under it are lost.
  void clear_guard();

  /// Takes a unit. `written` is called once: before this returns if the unit is refused here, otherwise
  /// later.
  void submit(std::vector<WriteOp> ops, WriteCallback written, WritePriority urgency = WritePriority::kUser);
  /// Sends what budget and limits allow.
  void pump(double now);
  /// Units that wait, and transactions on their way.
  std::size_t waiting() const { return queue_.size() + in_flight_; }
  /// A degraded leader writes nothing: units stay queued meanwhile.
  void set_paused(bool paused) { paused_ = paused; }

 private:
  struct Unit {
    std::vector<WriteOp> ops;
    WriteCallback written;
    std::string mark;                 // stands in each value put, so that a read tells whose write it is
    bool unresolved_attempt = false;  // an earlier try was not answered, and may have been carried out
    bool guarded = false;
    bool alone = false;  // was part of a transaction that was refused as malformed
    WritePriority urgency = WritePriority::kUser;
    std::size_t bytes = 0;
  };
  using UnitPtr = std::shared_ptr<Unit>;
  // Units of one transaction.
  struct Batch {
    std::vector<UnitPtr> units;
    std::size_t ops = 0;
    std::size_t bytes = 0;
  };
  // What the answer to a transaction says of it.
  enum class TxnAnswer { kCarriedOut, kConditionFailed, kMalformed, kNotCarriedOut, kUnresolved };

  static TxnAnswer classify(int status, const boost::json::object* body);
  static void finish(const std::vector<UnitPtr>& units, WriteOutcome outcome, std::uint64_t revision);
  std::size_t queue_limit(WritePriority urgency) const;
  bool fits(const Batch& batch, const Unit& unit) const;
  Batch take_batch();
  void send(std::vector<UnitPtr> units);
  boost::json::object transaction(const std::vector<UnitPtr>& units) const;
  void on_answer(const std::vector<UnitPtr>& units, std::uint64_t generation,
                 const protocol::CallResult& result);
  void on_condition_failed(const std::vector<UnitPtr>& units, const boost::json::object& body);
  void on_malformed(const std::vector<UnitPtr>& units);
  void settle_by_reading(const UnitPtr& unit);
  void on_settling_read(const UnitPtr& unit, bool deleting, const StateRead& read);
  void requeue(const std::vector<UnitPtr>& units);
  void requeue_after_pause(const std::vector<UnitPtr>& units);
  // Changes in a transaction.
  std::size_t ops_limit() const;

  const protocol::Settings& settings_;
  StateClient& state_;
  std::mt19937_64& random_;
  std::deque<UnitPtr> queue_;        // by class, then by arrival; what is repeated goes first
  std::set<std::string> busy_keys_;  // of transactions on their way
  std::size_t in_flight_ = 0;        // transactions
  double now_ = 0;
  double not_before_ = 0;
  bool paused_ = false;
  std::size_t observed_ops_limit_ = std::numeric_limits<std::size_t>::max();  // by what was refused
  std::string guard_key_;                                                     // empty: no guard
  std::uint64_t guard_mod_revision_ = 0;
  std::uint64_t generation_ = 0;  // of the guard
  std::function<void()> guard_lost_;
};

}  // namespace robinford::bookkeeping
