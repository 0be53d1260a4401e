#include "store.hpp"

#include <algorithm>

namespace standin {
namespace json = boost::json;

namespace {
constexpr std::size_t kChangesKept = 10000, kItemsMost = 1000, kPageBytes = 512 * 1024, kTxnBytes = 64 * 1024;

std::string epoch_body(std::uint64_t epoch) { return "{\"epoch\":" + std::to_string(epoch) + "}"; }
}  // namespace

std::string query(const std::string& target, const std::string& key) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto begin = at + 1;
    const auto end = target.find('&', begin);
    const auto part = target.substr(begin, end == std::string::npos ? end : end - begin);
    if (part.starts_with(key + "=")) return part.substr(key.size() + 1);
    at = end;
  }
  return {};
}

std::string Store::value(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::string() : json::serialize(found->second.value);
}

bool Store::admit(double now) {
  requests_ = std::min(limits_.rps, requests_ + (now - requests_at_) * limits_.rps);
  requests_at_ = now;
  if (requests_ < 1) return false;
  requests_ -= 1;
  return true;
}

void Store::note(const std::string& key, std::optional<json::value> value) {
  changes_.push_back({epoch_, key, std::move(value)});
  if (changes_.size() > kChangesKept) changes_.pop_front();
}

void Store::expire(double now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.ends) {
      ++lease;
      continue;
    }
    const auto id = lease->first;
    lease = leases_.erase(lease);
    bool any = false;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      if (entry->second.tenure != id) {
        ++entry;
        continue;
      }
      if (!any) ++epoch_;
      any = true;
      note(entry->first, std::nullopt);
      entry = entries_.erase(entry);
    }
  }
}

void Store::restart_leases(double now) {
  for (auto& [id, lease] : leases_) lease.ends = now + lease.ttl;
}

std::pair<int, std::string> Store::list(const std::string& target) const {
  const auto starts = query(target, "starts"), after = query(target, "after"), most = query(target, "most");
  const std::size_t limit = most.empty() ? kItemsMost : std::min(kItemsMost, std::stoul(most));
  json::array items;
  std::size_t bytes = 0;
  bool more = false;
  for (auto at = entries_.lower_bound(starts); at != entries_.end() && at->first.starts_with(starts); ++at) {
    if (!after.empty() && at->first <= after) continue;
    json::object item{{"k", at->first}, {"data", at->second.value}, {"stamp", at->second.stamp}};
    bytes += json::serialize(item).size() + 1;
    if (items.size() >= limit || bytes > kPageBytes) {
      more = true;
      break;
    }
    items.emplace_back(std::move(item));
  }
  return {200, json::serialize(json::object{{"items", items}, {"truncated", more}, {"epoch", epoch_}})};
}

std::optional<std::pair<int, std::string>> Store::follow(const std::string& target, bool time_is_over) const {
  const auto starts = query(target, "starts");
  const auto after = std::stoull(query(target, "after"));
  if (changes_.size() >= kChangesKept && after + 1 < changes_.front().epoch)
    return std::pair(410, epoch_body(epoch_));
  json::array events;
  for (const auto& change : changes_) {
    if (change.epoch <= after || !change.key.starts_with(starts)) continue;
    json::object event;
    event[change.value ? "put" : "drop"] = change.key;
    if (change.value) event["data"] = *change.value;
    event["stamp"] = change.epoch;
    events.emplace_back(std::move(event));
  }
  if (events.empty() && !time_is_over) return std::nullopt;
  return std::pair(200, json::serialize(json::object{{"epoch", epoch_}, {"events", events}}));
}

std::pair<int, std::string> Store::transaction(double now, const std::string& body) {
  json::error_code error;
  const auto parsed = json::parse(body, error);
  if (error || !parsed.is_object() || body.size() > kTxnBytes) return {400, "{\"error\":\"malformed\"}"};
  static const json::array none;
  const auto list_of = [&](const char* name) -> const json::array& {
    const auto* found = parsed.get_object().if_contains(name);
    return found != nullptr && found->is_array() ? found->get_array() : none;
  };
  const auto& when = list_of("when");
  const auto& apply = list_of("apply");
  if (apply.size() > limits_.txn_ops || when.size() > 4 * limits_.txn_ops)
    return {400, "{\"error\":\"too many operations\"}"};
  for (const auto& change : apply) {
    const auto* value = change.get_object().if_contains("data");
    if (value != nullptr && json::serialize(*value).size() > limits_.value_kb * 1024)
      return {400, "{\"error\":\"value too large\"}"};
  }
  writes_ = std::min(limits_.write_rps, writes_ + (now - writes_at_) * limits_.write_rps);
  writes_at_ = now;
  if (writes_ < static_cast<double>(apply.size())) return {429, "{}"};
  writes_ -= static_cast<double>(apply.size());
  for (const auto& change : apply)
    if (const auto* tenure = change.get_object().if_contains("tenure");
        tenure != nullptr && !leases_.contains(tenure->to_number<std::uint64_t>()))
      return {400, "{\"error\":\"no such lease\"}"};
  json::array failed;
  for (const auto& condition : when) {
    const std::string key(condition.at("k").as_string());
    const auto found = entries_.find(key);
    const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
    if (stamp != condition.at("stamp").to_number<std::uint64_t>()) failed.emplace_back(key);
  }
  if (!failed.empty()) return {409, json::serialize(json::object{{"failed", failed}, {"epoch", epoch_}})};
  if (apply.empty()) return {200, epoch_body(epoch_)};
  ++epoch_;
  for (const auto& change : apply) {
    const auto& object = change.get_object();
    if (const auto* put = object.if_contains("put")) {
      const std::string key(put->as_string());
      const auto* tenure = object.if_contains("tenure");
      entries_[key] = {object.at("data"), epoch_, tenure != nullptr ? tenure->to_number<std::uint64_t>() : 0};
      note(key, object.at("data"));
    } else {
      const std::string key(object.at("drop").as_string());
      if (entries_.erase(key) > 0) note(key, std::nullopt);
    }
  }
  return {200, epoch_body(epoch_)};
}

std::pair<int, std::string> Store::call(double now, const std::string& method, const std::string& target,
                                        const std::string& body) {
  expire(now);
  if (target == "/multi") return transaction(now, body);
  if (target == "/grants") {
    json::error_code error;
    const auto parsed = json::parse(body, error);
    if (error) return {400, "{}"};
    const double ttl = parsed.at("ttlMs").to_number<double>() / 1000;
    leases_[next_lease_] = {ttl, now + ttl};
    return {200, "{\"tenure\":" + std::to_string(next_lease_++) + "}"};
  }
  if (target.starts_with("/grants/")) {
    const auto id = std::stoull(target.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return {404, "{}"};
    found->second.ends = method == "DELETE" ? now : now + found->second.ttl;
    if (method == "DELETE") expire(now);
    return {200, "{}"};
  }
  if (target.starts_with("/store?")) return list(target);
  if (target.starts_with("/store/")) {
    const auto found = entries_.find(target.substr(7));
    if (found == entries_.end()) return {404, epoch_body(epoch_)};
    json::object answer{{"k", found->first}, {"data", found->second.value}, {"stamp", found->second.stamp}};
    if (found->second.tenure != 0) answer["tenure"] = found->second.tenure;
    return {200, json::serialize(answer)};
  }
  return {400, "{}"};
}

}  // namespace standin
