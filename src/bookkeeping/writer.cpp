/// @file
/// Batching of units into transactions and handling of the answers.
#include "bookkeeping/writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace n = names;
namespace json = boost::json;

namespace {

constexpr char kMarkField[] = "w";
constexpr std::size_t kOpBytes = 160;  // of one change in a transaction, apart from its key and value
constexpr std::size_t kKeysInOp = 2;   // both the condition and the change contain the key
// Background units are refused once the queue has reached its limit divided by this.
constexpr std::size_t kBackgroundQueueDivisor = 4;

std::uint64_t revision_of(const json::object& body) {
  const auto* revision = body.if_contains(n::kRevision);
  json::error_code error;
  return revision != nullptr ? revision->to_number<std::uint64_t>(error) : 0;
}

std::set<std::string> failed_keys(const json::object& body) {
  std::set<std::string> failed;
  const auto* keys = body.if_contains(n::kFailedKeys);
  if (keys == nullptr || !keys->is_array()) return failed;
  for (const auto& key : keys->get_array())
    if (key.is_string()) failed.emplace(key.get_string());
  return failed;
}

json::object condition(const std::string& key, std::uint64_t mod_revision) {
  json::object entry;
  entry[n::kKey] = key;
  entry[n::kModRevision] = mod_revision;
  return entry;
}

json::object change(const WriteOp& op) {
  json::object entry;
  if (op.value) {
    entry[n::kPut] = op.key;
    entry[n::kValue] = *op.value;
  } else {
    entry[n::kDelete] = op.key;
  }
  return entry;
}

bool names_any(const std::vector<WriteOp>& ops, const std::set<std::string>& keys) {
  return std::any_of(ops.begin(), ops.end(), [&](const WriteOp& op) { return keys.contains(op.key); });
}

// Returns the change whose key shows later whether the unit was committed: the first written value, or else
// the first deletion. A unit names its change-log entry last, which the leader deletes as soon as it has seen
// it.
std::vector<WriteOp>::const_iterator settling_op(const std::vector<WriteOp>& ops) {
  const auto written =
      std::find_if(ops.begin(), ops.end(), [](const WriteOp& op) { return op.value.has_value(); });
  if (written != ops.end()) return written;
  return std::find_if(ops.begin(), ops.end(), [](const WriteOp& op) { return !op.compare_only; });
}

}  // namespace

const char* to_text(WriteOutcome outcome) {
  switch (outcome) {
    case WriteOutcome::kDone:
      return "done";
    case WriteOutcome::kConflict:
      return "conflict";
    case WriteOutcome::kLost:
      return "lost";
    case WriteOutcome::kRefused:
      return "refused";
    case WriteOutcome::kExpired:
      return "expired";
  }
  return "unknown";
}

const char* to_text(WritePriority priority) {
  switch (priority) {
    case WritePriority::kFinalState:
      return "final_state";
    case WritePriority::kFleet:
      return "fleet";
    case WritePriority::kUser:
      return "user";
    case WritePriority::kBackground:
      return "background";
  }
  return "unknown";
}

TxnWriter::TxnWriter(const protocol::Settings& settings, StateClient& state, std::mt19937_64& random)
    : settings_(settings), state_(state), random_(random) {}

void TxnWriter::set_guard(std::string key, std::uint64_t mod_revision, std::function<void()> lost) {
  guard_key_ = std::move(key);
  guard_mod_revision_ = mod_revision;
  guard_lost_ = std::move(lost);
  ++generation_;
}

void TxnWriter::clear_guard() {
  guard_key_.clear();
  guard_lost_ = nullptr;
  ++generation_;
  paused_ = false;
  // A former leader must not commit its remaining writes.
  const auto dropped = queue_.take_all([](const WriteUnit& unit) { return unit.guarded; });
  finish(dropped, WriteOutcome::kLost, 0);
}

void TxnWriter::finish(const std::vector<WriteUnitPtr>& units, WriteOutcome outcome, std::uint64_t revision) {
  for (const auto& unit : units) unit->written(outcome, revision);
}

std::size_t TxnWriter::queue_limit(WritePriority urgency) const {
  return urgency == WritePriority::kBackground ? constants::kWriteUnitsMax / kBackgroundQueueDivisor
                                               : constants::kWriteUnitsMax;
}

std::size_t TxnWriter::accepted_ops_limit() const {
  return std::min(static_cast<std::size_t>(settings_.txn_ops), observed_ops_limit_);
}

// A wider transaction would exceed the budget: the service may refuse it at every attempt, and it takes the
// rate away from the other controllers.
std::size_t TxnWriter::ops_limit() const {
  return std::min(accepted_ops_limit(), state_.writes_per_second());
}

WriteId TxnWriter::submit(std::vector<WriteOp> ops, WriteCallback written, WritePriority urgency,
                          double deadline) {
  if (queue_.size() >= queue_limit(urgency) || ops.size() > static_cast<std::size_t>(settings_.txn_ops)) {
    written(WriteOutcome::kRefused, 0);
    return 0;
  }
  auto unit = std::make_shared<WriteUnit>();
  const WriteId id = ++last_id_;
  unit->id = id;
  unit->submitted_at = now_;
  unit->deadline = deadline;
  unit->mark = std::to_string(random_());
  unit->guarded = !guard_key_.empty();
  unit->written = std::move(written);
  unit->urgency = urgency;
  for (auto& op : ops) {
    if (op.value) (*op.value)[kMarkField] = unit->mark;
    unit->bytes += kOpBytes + op.key.size() * kKeysInOp + (op.value ? json::serialize(*op.value).size() : 0);
  }
  unit->ops = std::move(ops);
  queue_.add(std::move(unit));
  return id;
}

void TxnWriter::extend(WriteId id, double deadline) {
  if (WriteUnit* unit = queue_.find(id)) unit->deadline = std::max(unit->deadline, deadline);
}

bool TxnWriter::withdraw(WriteId id) { return queue_.remove(id); }

void TxnWriter::drop_expired() {
  if (now_ < next_expiry_check_) return;
  next_expiry_check_ = now_ + constants::kTickIntervalS;
  const auto expired = queue_.take_all([this](const WriteUnit& unit) { return unit.expired(now_); });
  counters_.units_expired += expired.size();
  finish(expired, WriteOutcome::kExpired, 0);
}

void TxnWriter::pump(double now) {
  now_ = now;
  drop_expired();
  while (!paused_ && now >= not_before_ && in_flight_ < constants::kTxnsInFlightMax && !queue_.empty() &&
         state_.can_send_writes_now(1)) {
    auto batch = take_batch();
    if (batch.units.empty()) return;
    if (!state_.can_send_writes_now(static_cast<int>(batch.ops))) return queue_.put_back(batch.units);
    send(std::move(batch.units));
  }
}

// Whether the unit may join the batch. The first unit always may; if it is too large, the service rejects it.
bool TxnWriter::fits(const Batch& batch, const WriteUnit& unit) const {
  if (batch.units.empty()) return true;
  return !unit.alone && !batch.units.front()->alone && batch.ops + unit.ops.size() <= ops_limit() &&
         batch.bytes + unit.bytes <= constants::kTxnBytesMax;
}

// Removes the units of the next transaction from the queue: either all guarded or all unguarded.
TxnWriter::Batch TxnWriter::take_batch() {
  Batch batch;
  // Keys of the units that were taken, since a transaction may contain a key only once, and of the units that
  // were skipped, so that later writes to the same keys do not overtake them.
  std::set<std::string> blocked;
  const bool guarded = queue_.front().guarded;
  queue_.take([&](const WriteUnitPtr& unit) {
    if (is_full(batch)) return WriteQueue::Choice::kStop;
    const bool joins = !names_any(unit->ops, busy_keys_) && !names_any(unit->ops, blocked) &&
                       unit->guarded == guarded && fits(batch, *unit);
    for (const auto& op : unit->ops) blocked.insert(op.key);
    if (!joins) return WriteQueue::Choice::kSkip;
    batch.ops += unit->ops.size();
    batch.bytes += unit->bytes;
    batch.units.push_back(unit);
    return WriteQueue::Choice::kTake;
  });
  return batch;
}

json::object TxnWriter::transaction(const std::vector<WriteUnitPtr>& units) const {
  json::array conditions;
  json::array changes;
  if (units.front()->guarded) conditions.emplace_back(condition(guard_key_, guard_mod_revision_));
  for (const auto& unit : units) {
    for (const auto& op : unit->ops) {
      conditions.emplace_back(condition(op.key, op.expect));
      if (!op.compare_only) changes.emplace_back(change(op));
    }
  }
  json::object body;
  body[n::kConditions] = std::move(conditions);
  body[n::kOperations] = std::move(changes);
  return body;
}

void TxnWriter::send(std::vector<WriteUnitPtr> units) {
  for (const auto& unit : units)
    for (const auto& op : unit->ops) busy_keys_.insert(op.key);
  const auto body = transaction(units);
  const int writes = static_cast<int>(body.at(n::kOperations).get_array().size());
  ++in_flight_;
  state_.call(StateClient::Urgency::kNormal, "POST", n::kPathTxn, json::serialize(body), writes,
              constants::kStateCallTimeoutS,
              [this, units = std::move(units), generation = generation_](const protocol::CallResult& result) {
                on_answer(units, generation, result);
              });
}

void TxnWriter::requeue_after_pause(const std::vector<WriteUnitPtr>& units) {
  not_before_ = now_ + constants::kWriteRetryS;
  queue_.put_back(units);
}

TxnWriter::TxnAnswer TxnWriter::classify_answer(int status, const json::object* body) {
  if (status == state_status::kOk && body != nullptr) return TxnAnswer::kCarriedOut;
  if (status == state_status::kConditionFailed && body != nullptr) return TxnAnswer::kConditionFailed;
  if (status == state_status::kMalformed) return TxnAnswer::kMalformed;
  if (status == state_status::kThrottled || status == state_status::kUnavailable)
    return TxnAnswer::kNotCarriedOut;
  return TxnAnswer::kUnresolved;
}

void TxnWriter::count_answer(const std::vector<WriteUnitPtr>& units, TxnAnswer answer) {
  switch (answer) {
    case TxnAnswer::kCarriedOut:
      ++counters_.committed;
      for (const auto& unit : units)
        counters_.changes_committed += static_cast<std::uint64_t>(std::count_if(
            unit->ops.begin(), unit->ops.end(), [](const WriteOp& op) { return !op.compare_only; }));
      return;
    case TxnAnswer::kConditionFailed:
      ++counters_.condition_failed;
      return;
    case TxnAnswer::kMalformed:
      ++counters_.malformed;
      return;
    case TxnAnswer::kNotCarriedOut:
      ++counters_.not_carried_out;
      return;
    case TxnAnswer::kUnresolved:
      ++counters_.unresolved;
      return;
  }
}

void TxnWriter::on_answer(const std::vector<WriteUnitPtr>& units, std::uint64_t generation,
                          const protocol::CallResult& result) {
  --in_flight_;
  for (const auto& unit : units)
    for (const auto& op : unit->ops) busy_keys_.erase(op.key);
  const auto value = protocol::parse_json(result.body);
  const auto* body = value ? value->if_object() : nullptr;
  const auto answer = classify_answer(result.status, body);
  count_answer(units, answer);
  if (answer == TxnAnswer::kCarriedOut) return finish(units, WriteOutcome::kDone, revision_of(*body));
  // Leadership has changed since the transaction was sent. The next leader reads its outcome.
  if (units.front()->guarded && generation != generation_) return finish(units, WriteOutcome::kLost, 0);
  switch (answer) {
    case TxnAnswer::kCarriedOut:
      return;
    case TxnAnswer::kConditionFailed:
      return on_condition_failed(units, *body);
    case TxnAnswer::kMalformed:
      return on_malformed(units);
    case TxnAnswer::kNotCarriedOut:
      return requeue_after_pause(units);
    case TxnAnswer::kUnresolved:
      for (const auto& unit : units) unit->unresolved_attempt = true;
      return requeue_after_pause(units);
  }
}

void TxnWriter::on_condition_failed(const std::vector<WriteUnitPtr>& units, const json::object& body) {
  const auto failed = failed_keys(body);
  if (units.front()->guarded && failed.contains(guard_key_)) {
    const auto lost = guard_lost_;
    finish(units, WriteOutcome::kLost, 0);
    if (lost) lost();
    return;
  }
  std::vector<WriteUnitPtr> again;
  std::vector<WriteUnitPtr> unsettled;
  std::vector<WriteUnitPtr> conflicted;
  for (const auto& unit : units) {
    const bool hit = names_any(unit->ops, failed);
    if (hit) ++counters_.units_conflicted.at(static_cast<std::size_t>(unit->urgency));
    if (!hit && !failed.empty())
      again.push_back(unit);
    else if (hit && unit->unresolved_attempt && settling_op(unit->ops) != unit->ops.end())
      unsettled.push_back(unit);
    else
      conflicted.push_back(unit);
  }
  // The conflicts are reported last: one of them may end the term, which must find the other units queued or
  // settling under the guard that they were sent with.
  queue_.put_back(again);
  for (const auto& unit : unsettled) settle_by_reading(unit);
  finish(conflicted, WriteOutcome::kConflict, 0);
}

// Either the service has a lower limit than the settings say, or one unit is at fault. Later transactions are
// therefore smaller, and each unit of the rejected one is sent alone. A unit that is rejected alone can never
// be accepted.
void TxnWriter::on_malformed(const std::vector<WriteUnitPtr>& units) {
  if (units.size() == 1) {
    spdlog::error("the state service refuses a change of {} that was sent alone",
                  units.front()->ops.front().key);
    return finish(units, WriteOutcome::kRefused, 0);
  }
  std::size_t ops = 0;
  for (const auto& unit : units) {
    unit->alone = true;
    ops += unit->ops.size();
  }
  observed_ops_limit_ =
      std::clamp(ops / 2, constants::kTxnOpsMin, std::max(constants::kTxnOpsMin, accepted_ops_limit()));
  spdlog::warn("the state service refuses a transaction of {} changes: later ones have {} at most", ops,
               accepted_ops_limit());
  queue_.put_back(units);
}

// Resolves a unit whose conditions failed at a retry after an unanswered attempt: either an unanswered
// attempt was committed, or another writer changed the key. The mark in the value, or the absence of a
// deleted key, shows which. The unit changes at least one key.
void TxnWriter::settle_by_reading(const WriteUnitPtr& unit) {
  const auto settling = settling_op(unit->ops);
  state_.read(settling->key,
              [this, unit, generation = generation_, deleting = !settling->value](const StateRead& read) {
                if (unit->guarded && generation != generation_)
                  unit->written(WriteOutcome::kLost, 0);
                else
                  on_settling_read(unit, deleting, read);
              });
}

void TxnWriter::on_settling_read(const WriteUnitPtr& unit, bool deleting, const StateRead& read) {
  // Still unresolved: if the conditions of the retry fail again, the unit is settled once more.
  if (read.found == StateRead::Found::kUnknown) return requeue_after_pause({unit});
  bool carried_out = deleting && read.found == StateRead::Found::kNo;
  if (!deleting && read.found == StateRead::Found::kYes && read.value.is_object()) {
    const auto* mark = read.value.get_object().if_contains(kMarkField);
    carried_out = mark != nullptr && mark->is_string() && mark->get_string() == unit->mark;
  }
  unit->written(carried_out ? WriteOutcome::kDone : WriteOutcome::kConflict, read.mod_revision);
}

}  // namespace robinford::bookkeeping
