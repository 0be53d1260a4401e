#include "quota/claims.hpp"

#include <tuple>

#include "constants.hpp"

namespace robinford::quota {

void Claims::record_claim(const std::string& team, protocol::JobId job, const Amount& need, bool gang,
                          double now) {
  const auto [entry, added] = teams_[team].try_emplace(job);
  auto& claim = entry->second;
  if (added) claim.first_refused = now;
  claim.last_refused = now;
  claim.need = need;
  claim.gang = gang;
}

void Claims::drop_claim(const std::string& team, protocol::JobId job) {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return;
  found->second.erase(job);
  if (found->second.empty()) teams_.erase(found);
}

void Claims::drop_stale(double now) {
  for (auto& [team, claims] : teams_)
    std::erase_if(claims, [now](const auto& entry) {
      return now - entry.second.last_refused > constants::kClaimStaleS;
    });
  std::erase_if(teams_, [](const auto& entry) { return entry.second.empty(); });
}

Amount Claims::reserved_before(const std::string& team, protocol::JobId job) const {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return {};
  const Claim* oldest = nullptr;
  protocol::JobId oldest_job = 0;
  for (const auto& [id, claim] : found->second) {
    if (!claim.gang) continue;
    if (oldest != nullptr &&
        std::tuple(oldest->first_refused, oldest_job) < std::tuple(claim.first_refused, id))
      continue;
    oldest = &claim;
    oldest_job = id;
  }
  return oldest == nullptr || oldest_job == job ? Amount{} : oldest->need;
}

Amount Claims::total(const std::string& team) const {
  Amount sum;
  if (const auto found = teams_.find(team); found != teams_.end())
    for (const auto& [id, claim] : found->second) sum += claim.need;
  return sum;
}

}  // namespace robinford::quota
