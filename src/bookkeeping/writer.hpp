// Durable writes: units of conditional changes, several units to a transaction, unresolved ones settled by
// reading.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/state_client.hpp"

namespace robinford::bookkeeping {

struct WriteOp {
  std::string key;
  std::uint64_t expect = 0;                  // mod revision that the key must have; 0: the key must not exist
  std::optional<boost::json::object> value;  // nothing: delete the key
  bool compare_only = false;                 // a condition, no change
};

enum class WriteOutcome {
  kDone,      // carried out, at the given revision
  kConflict,  // a condition did not hold and nothing was changed by this unit
  kLost,      // the guard (leadership) is gone: whether it was carried out is open, a new leader will read it
  kRefused,   // never sent, or the service called it malformed
};

// What must not wait goes first: users wait for their submissions, a launch may wait for its machine's
// record.
enum class WriteClass : std::uint8_t { kUser, kFleet, kTidy };

using Written = std::function<void(WriteOutcome, std::uint64_t revision)>;

class TxnWriter {
 public:
  TxnWriter(const protocol::Settings& settings, StateClient& state, std::mt19937_64& random);

  // While a guard is set, each transaction also demands that the leader key still has this mod revision.
  void set_guard(std::string key, std::uint64_t mod_revision, std::function<void()> lost);
  void clear_guard();

  void submit(std::vector<WriteOp> ops, Written written, WriteClass urgency = WriteClass::kUser);
  // Sends what budget and limits allow.
  void pump(double now);
  std::size_t waiting() const { return queue_.size() + in_flight_; }
  // A degraded leader writes nothing: units stay queued meanwhile.
  void set_paused(bool paused) { paused_ = paused; }

 private:
  struct Unit {
    std::vector<WriteOp> ops;
    Written written;
    std::string mark;        // stands in each value put, so that a read tells whose write it is
    bool uncertain = false;  // an earlier try went unanswered
    bool guarded = false;
    bool alone = false;  // was part of a transaction that was refused as malformed
    WriteClass urgency = WriteClass::kUser;
    std::size_t bytes = 0;
  };
  using UnitPtr = std::shared_ptr<Unit>;
  void send(std::vector<UnitPtr> batch);
  void on_answer(const std::vector<UnitPtr>& batch, std::uint64_t generation,
                 const protocol::CallResult& result);
  void settle_by_reading(const UnitPtr& unit);
  void requeue(const std::vector<UnitPtr>& units);
  // Changes in a transaction.
  std::size_t ops_most() const { return std::min(static_cast<std::size_t>(settings_.txn_ops), ops_learned_); }
  void on_malformed(const std::vector<UnitPtr>& batch);

  const protocol::Settings& settings_;
  StateClient& state_;
  std::mt19937_64& random_;
  std::deque<UnitPtr> queue_;
  std::set<std::string> busy_keys_;
  std::size_t in_flight_ = 0;
  double now_ = 0, not_before_ = 0;
  bool paused_ = false;
  std::size_t ops_learned_ = std::numeric_limits<std::size_t>::max();  // by what was refused
  std::string guard_key_;
  std::uint64_t guard_mod_revision_ = 0;
  std::uint64_t generation_ = 0;
  std::function<void()> guard_lost_;
};

}  // namespace robinford::bookkeeping
