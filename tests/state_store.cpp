// The stand-in of the state service: keys, leases, transactions and changes, by its published protocol.
#include "state_store.hpp"

#include <algorithm>

#include "protocol/names.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
namespace json = boost::json;

void StateStore::extend_leases(double until) {
  for (auto& [id, lease] : leases_) lease.ends = std::max(lease.ends, until + lease.ttl);
}

void StateStore::expire_leases(double now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.ends) {
      ++it;
      continue;
    }
    ++epoch_;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      if (entry->second.lease != it->first) {
        ++entry;
        continue;
      }
      changes_.push_back({epoch_, entry->first, true, nullptr});
      entry = entries_.erase(entry);
    }
    it = leases_.erase(it);
  }
}

bool StateStore::watch_answer(const std::string& target, bool final, std::string& body) const {
  const std::string prefix = query(target, n::kQueryPrefix);
  const std::uint64_t from = std::stoull(query(target, n::kQueryAfter));
  json::array events;
  // The changes stand in the order of their revisions.
  auto next =
      std::upper_bound(changes_.begin(), changes_.end(), from,
                       [](std::uint64_t epoch, const Change& change) { return epoch < change.epoch; });
  for (; next != changes_.end(); ++next) {
    const auto& change = *next;
    if (!change.key.starts_with(prefix)) continue;
    json::object entry;
    entry[change.deleted ? n::kDelete : n::kPut] = change.key;
    if (!change.deleted) entry[n::kValue] = change.value;
    entry[n::kModRevision] = change.epoch;
    events.emplace_back(entry);
  }
  if (events.empty() && !final) return false;
  json::object result;
  result[n::kRevision] = epoch_;
  result[n::kEvents] = events;
  body = json::serialize(result);
  return true;
}

std::pair<int, std::string> StateStore::call(double now, const std::string& method, const std::string& target,
                                             const std::string& body) {
  const std::string leases = n::kPathLeases, store = n::kPathStore;
  if (target == leases) {
    const double ttl = json::parse(body).at(n::kTtlMs).to_number<double>() / 1000;
    leases_[next_lease_] = {ttl, now + ttl};
    touched_lease_ends_ = now + ttl;
    json::object answer;
    answer[n::kLease] = next_lease_++;
    return {200, json::serialize(answer)};
  }
  if (target.starts_with(leases + "/")) {
    const auto id = std::stoull(target.substr(leases.size() + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return {404, "{}"};
    found->second.ends = method == "DELETE" ? now - 1 : now + found->second.ttl;
    touched_lease_ends_ = found->second.ends;
    return {200, "{}"};
  }
  if (target.starts_with(store + "/")) {
    const auto found = entries_.find(target.substr(store.size() + 1));
    json::object answer;
    if (found == entries_.end()) {
      answer[n::kRevision] = epoch_;
      return {404, json::serialize(answer)};
    }
    answer[n::kKey] = found->first;
    answer[n::kValue] = found->second.value;
    answer[n::kModRevision] = found->second.mod_revision;
    return {200, json::serialize(answer)};
  }
  if (target.starts_with(store + "?")) {
    const std::string prefix = query(target, n::kQueryPrefix), from = query(target, n::kQueryAfter);
    json::array items;
    const std::string most = query(target, n::kQueryLimit);
    bool more = false;
    for (const auto& [key, entry] : entries_) {
      if (!key.starts_with(prefix) || (!from.empty() && key <= from)) continue;
      if (!most.empty() && items.size() >= std::stoul(most)) {
        more = true;
        break;
      }
      json::object item;
      item[n::kKey] = key;
      item[n::kValue] = entry.value;
      item[n::kModRevision] = entry.mod_revision;
      items.emplace_back(item);
    }
    json::object answer;
    answer[n::kItems] = items;
    answer[n::kMore] = more;
    answer[n::kRevision] = epoch_;
    return {200, json::serialize(answer)};
  }
  // A transaction.
  if (const int refusal = over_limits(now, body); refusal != 0) {
    ++refusals_;
    return {refusal, "{}"};
  }
  const auto request = json::parse(body).as_object();
  json::array failed;
  for (const auto& condition : request.at(n::kConditions).as_array()) {
    const std::string key(condition.at(n::kKey).as_string());
    const auto found = entries_.find(key);
    const std::uint64_t mod_revision = found == entries_.end() ? 0 : found->second.mod_revision;
    if (mod_revision != condition.at(n::kModRevision).to_number<std::uint64_t>()) failed.emplace_back(key);
  }
  json::object answer;
  answer[n::kRevision] = epoch_;
  if (!failed.empty()) {
    answer[n::kFailedKeys] = failed;
    return {409, json::serialize(answer)};
  }
  const auto& then = request.at(n::kOperations).as_array();
  for (const auto& change : then)
    if (const auto* lease = change.as_object().if_contains(n::kLease);
        lease != nullptr && !leases_.contains(lease->to_number<std::uint64_t>()))
      return {400, "{\"error\":\"no such lease\"}"};
  ++epoch_;
  for (const auto& change : then) {
    const auto& object = change.as_object();
    if (const auto* put = object.if_contains(n::kPut)) {
      const std::string key(put->as_string());
      const auto* lease = object.if_contains(n::kLease);
      entries_[key] = {object.at(n::kValue), epoch_,
                       lease != nullptr ? lease->to_number<std::uint64_t>() : 0};
      changes_.push_back({epoch_, key, false, object.at(n::kValue)});
    } else {
      const std::string key(object.at(n::kDelete).as_string());
      entries_.erase(key);
      changes_.push_back({epoch_, key, true, nullptr});
    }
  }
  answer[n::kRevision] = epoch_;
  return {200, json::serialize(answer)};
}

void StateStore::set_limits(double now, double value_kb, int txn_ops, double write_rps) {
  value_most_ = static_cast<std::size_t>(value_kb * 1024);
  ops_most_ = static_cast<std::size_t>(txn_ops);
  writes_a_second_ = writes_level_ = write_rps;
  writes_at_ = now;
}

int StateStore::over_limits(double now, const std::string& body) {
  const auto request = json::parse(body);
  const auto& then = request.at(n::kOperations).as_array();
  if (then.size() > ops_most_ || request.at(n::kConditions).as_array().size() > 4 * ops_most_) return 400;
  for (const auto& change : then)
    if (const auto* value = change.as_object().if_contains(n::kValue);
        value != nullptr && json::serialize(*value).size() > value_most_)
      return 400;
  if (writes_a_second_ <= 0) return 0;
  writes_level_ = std::min(writes_a_second_, writes_level_ + (now - writes_at_) * writes_a_second_);
  writes_at_ = now;
  if (writes_level_ < static_cast<double>(then.size())) return 429;
  writes_level_ -= static_cast<double>(then.size());
  return 0;
}

std::size_t StateStore::count(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [&](const auto& entry) { return entry.first.starts_with(prefix); }));
}

std::size_t StateStore::changes(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(
      changes_.begin(), changes_.end(), [&](const auto& change) { return change.key.starts_with(prefix); }));
}

}  // namespace robinford::simulation
