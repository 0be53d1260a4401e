#include "bookkeeping/writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace n = names;
namespace json = boost::json;

namespace {
constexpr char kMark[] = "w";
}  // namespace

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
  // What a former leader still had to write is not its to write any more.
  std::deque<UnitPtr> kept;
  std::vector<UnitPtr> dropped;
  for (auto& unit : queue_) (unit->guarded ? dropped.push_back(unit) : kept.push_back(unit));
  queue_ = std::move(kept);
  for (auto& unit : dropped) unit->written(WriteOutcome::kLost, 0);
}

void TxnWriter::submit(std::vector<WriteOp> ops, Written written, WriteClass urgency) {
  if (queue_.size() >=
          (urgency == WriteClass::kTidy ? constants::kWriteUnitsMax / 4 : constants::kWriteUnitsMax) ||
      ops.size() > static_cast<std::size_t>(settings_.txn_ops)) {
    written(WriteOutcome::kRefused, 0);
    return;
  }
  auto unit = std::make_shared<Unit>();
  unit->mark = std::to_string(random_());
  unit->guarded = !guard_key_.empty();
  unit->written = std::move(written);
  unit->urgency = urgency;
  for (auto& op : ops) {
    if (op.value) (*op.value)[kMark] = unit->mark;
    unit->bytes += 160 + op.key.size() * 2 + (op.value ? json::serialize(*op.value).size() : 0);
  }
  unit->ops = std::move(ops);
  const auto place = std::find_if(queue_.begin(), queue_.end(),
                                  [&](const UnitPtr& other) { return other->urgency > urgency; });
  queue_.insert(place, std::move(unit));
}

void TxnWriter::pump(double now) {
  now_ = now;
  while (!paused_ && now >= not_before_ && in_flight_ < constants::kTxnsInFlight && !queue_.empty()) {
    std::vector<UnitPtr> batch;
    std::size_t ops = 0, bytes = 0;
    std::set<std::string> blocked;  // keys of units passed over, so that later writes to them wait their turn
    const bool guarded = queue_.front()->guarded;
    for (auto it = queue_.begin(); it != queue_.end();) {
      auto& unit = *it;
      const bool free_keys = std::none_of(unit->ops.begin(), unit->ops.end(), [&](const WriteOp& op) {
        return busy_keys_.contains(op.key) || blocked.contains(op.key);
      });
      if (!free_keys || unit->guarded != guarded ||
          (!batch.empty() && (unit->alone || batch.front()->alone || ops + unit->ops.size() > ops_most())) ||
          (!batch.empty() && bytes + unit->bytes > constants::kTxnBytesMax)) {
        for (const auto& op : unit->ops) blocked.insert(op.key);
        ++it;
        continue;
      }
      // Within one batch a key may stand only once.
      for (const auto& op : unit->ops) blocked.insert(op.key);
      ops += unit->ops.size();
      bytes += unit->bytes;
      batch.push_back(unit);
      it = queue_.erase(it);
    }
    if (batch.empty()) return;
    if (!state_.writes_ready(static_cast<int>(ops))) {
      queue_.insert(queue_.begin(), batch.begin(), batch.end());
      return;
    }
    send(std::move(batch));
  }
}

void TxnWriter::send(std::vector<UnitPtr> batch) {
  json::array conditions, changes;
  const auto condition = [&](const std::string& key, std::uint64_t mod_revision) {
    json::object entry;
    entry[n::kKey] = key;
    entry[n::kModRevision] = mod_revision;
    conditions.emplace_back(std::move(entry));
  };
  if (!batch.empty() && batch.front()->guarded) condition(guard_key_, guard_mod_revision_);
  for (const auto& unit : batch) {
    for (const auto& op : unit->ops) {
      condition(op.key, op.expect);
      busy_keys_.insert(op.key);
      if (op.compare_only) continue;
      json::object entry;
      if (op.value) {
        entry[n::kPut] = op.key;
        entry[n::kValue] = *op.value;
      } else {
        entry[n::kDelete] = op.key;
      }
      changes.emplace_back(std::move(entry));
    }
  }
  const int writes = static_cast<int>(changes.size());
  json::object body;
  body[n::kConditions] = std::move(conditions);
  body[n::kOperations] = std::move(changes);
  ++in_flight_;
  state_.call(StateClient::Urgency::kNormal, "POST", n::kPathTxn, json::serialize(body), writes,
              constants::kStateTimeoutS,
              [this, batch = std::move(batch), generation = generation_](const protocol::CallResult& result) {
                on_answer(batch, generation, result);
              });
}

void TxnWriter::requeue(const std::vector<UnitPtr>& units) {
  queue_.insert(queue_.begin(), units.begin(), units.end());
}

void TxnWriter::on_answer(const std::vector<UnitPtr>& batch, std::uint64_t generation,
                          const protocol::CallResult& result) {
  --in_flight_;
  for (const auto& unit : batch)
    for (const auto& op : unit->ops) busy_keys_.erase(op.key);
  const auto value = protocol::parse_json(result.body);
  const auto* object = value && value->is_object() ? &value->get_object() : nullptr;
  const bool ours = !batch.front()->guarded || generation == generation_;
  if (result.status == 200 && object != nullptr) {
    std::uint64_t revision = 0;
    if (const auto* found = object->if_contains(n::kRevision)) {
      json::error_code error;
      revision = found->to_number<std::uint64_t>(error);
    }
    for (const auto& unit : batch) unit->written(WriteOutcome::kDone, revision);
    return;
  }
  if (!ours) {
    // Leadership changed meanwhile; the next leader reads what became of this.
    for (const auto& unit : batch) unit->written(WriteOutcome::kLost, 0);
    return;
  }
  if (result.status == 409 && object != nullptr) {
    std::set<std::string> failed;
    if (const auto* keys = object->if_contains(n::kFailedKeys); keys != nullptr && keys->is_array())
      for (const auto& key : keys->get_array())
        if (key.is_string()) failed.emplace(key.get_string());
    if (batch.front()->guarded && failed.contains(guard_key_)) {
      const auto lost = guard_lost_;
      for (const auto& unit : batch) unit->written(WriteOutcome::kLost, 0);
      if (lost) lost();
      return;
    }
    std::vector<UnitPtr> again;
    for (const auto& unit : batch) {
      const bool hit = std::any_of(unit->ops.begin(), unit->ops.end(),
                                   [&](const WriteOp& op) { return failed.contains(op.key); });
      if (!hit && !failed.empty())
        again.push_back(unit);
      else if (hit && unit->uncertain)
        settle_by_reading(unit);
      else
        unit->written(WriteOutcome::kConflict, 0);
    }
    requeue(again);
    return;
  }
  if (result.status == 400) return on_malformed(batch);
  // 429 and 503 were not executed; anything else is open, and the conditions make a repeat harmless.
  if (result.status != 429 && result.status != 503)
    for (const auto& unit : batch) unit->uncertain = true;
  not_before_ = now_ + constants::kWriteRetryS;
  requeue(batch);
}

// A limit is lower than the settings say. Larger transactions are not tried again, and each unit of this one
// is tried by itself: one that is refused even so was never going to be taken.
void TxnWriter::on_malformed(const std::vector<UnitPtr>& batch) {
  if (batch.size() == 1) {
    spdlog::error("the state service refuses a change of {}", batch.front()->ops.front().key);
    return batch.front()->written(WriteOutcome::kRefused, 0);
  }
  std::size_t ops = 0;
  for (const auto& unit : batch) {
    unit->alone = true;
    ops += unit->ops.size();
  }
  ops_learned_ = std::clamp(ops / 2, constants::kTxnOpsLeast, std::max(constants::kTxnOpsLeast, ops_most()));
  spdlog::warn("the state service refuses a transaction of {} changes: {} at most from now on", ops,
               ops_most());
  requeue(batch);
}

// The conditions of an unanswered transaction fail at its repeat: either it was carried out after all, or
// somebody else wrote. The mark in the value (or the absence of a deleted key) tells which.
void TxnWriter::settle_by_reading(const UnitPtr& unit) {
  const WriteOp* probe = nullptr;
  for (const auto& op : unit->ops)
    if (!op.compare_only && (probe == nullptr || op.value)) probe = &op;
  if (probe == nullptr) {
    unit->written(WriteOutcome::kConflict, 0);
    return;
  }
  const std::uint64_t generation = generation_;
  state_.read(probe->key, [this, unit, generation, deleting = !probe->value](const StateRead& read) {
    if (unit->guarded && generation != generation_) {
      unit->written(WriteOutcome::kLost, 0);
      return;
    }
    if (read.found == StateRead::Found::kUnknown) {
      not_before_ = now_ + constants::kWriteRetryS;
      requeue({unit});  // still open: its repeat fails again and leads back here
      return;
    }
    bool carried_out = deleting && read.found == StateRead::Found::kNo;
    if (!deleting && read.found == StateRead::Found::kYes && read.value.is_object()) {
      const auto* mark = read.value.get_object().if_contains(kMark);
      carried_out = mark != nullptr && mark->is_string() && mark->get_string() == unit->mark;
    }
    unit->written(carried_out ? WriteOutcome::kDone : WriteOutcome::kConflict, read.mod_revision);
  });
}

}  // namespace robinford::bookkeeping
