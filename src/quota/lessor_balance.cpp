// Rebalancing of leased capacity: revocation of idle grants, recall of idle capacity, growth of parts.
#include <algorithm>
#include <utility>

#include "quota/allotter.hpp"
#include "quota/lessor.hpp"

namespace robinford::quota {

// Revokes the tasks of a grant that are not placed, if any job of the team waits for leased capacity and the
// number of the granted job's placed tasks has not changed for `grant_idle_s`. Otherwise a granted job that
// fits on no machine would keep the waiting jobs from starting.
void Lessor::revoke_idle_grants(double now) {
  std::vector<std::pair<protocol::JobId, std::uint32_t>> idle;
  for (const auto& [job, grant] : ledger_.grants())
    if (grant.placed < grant.tasks && !claims_.empty(grant.team) &&
        now - grant.changed_at > options_.grant_idle_s)
      idle.emplace_back(job, grant.tasks - grant.placed);
  for (const auto& [job, tasks] : idle) {
    counters_.revoked_tasks += tasks;
    members_to_notify_.insert(ledger_.find_grant(job)->member);
    ledger_.refund(job, tasks);
  }
}

// Recalls capacity for jobs that wait for it, and for teams whose limit was lowered below what is leased; the
// latter also when no job waits.
void Lessor::recall() {
  for (const auto& team : std::exchange(recalled_teams_, {})) cancel_recalls(team);
  for (const auto& [team, claims] : claims_.teams()) {
    const Amount deficit = claims_.total(team) - available(team);
    if (deficit.cpus > 0 || deficit.gpus > 0) recall_from_team(team, deficit);
  }
  for (auto team = teams_over_limit_.begin(); team != teams_over_limit_.end();) {
    const Amount excess = ledger_.leased(*team) - limit_of(*team).limit;
    if (excess.cpus <= 0 && excess.gpus <= 0) {
      team = teams_over_limit_.erase(team);
      continue;
    }
    recall_from_team(*team, excess);
    ++team;
  }
}

void Lessor::cancel_recalls(const std::string& team) {
  for (auto& [member, lease] : ledger_.leases())
    if (const auto part = lease.parts.find(team); part != lease.parts.end())
      part->second.keep = part->second.size;
}

// Asks lessees to return idle capacity, starting with the part whose last growth is the oldest.
void Lessor::recall_from_team(const std::string& team, Amount deficit) {
  recalled_teams_.insert(team);
  std::vector<std::pair<double, std::string>> by_age;
  for (const auto& [member, lease] : ledger_.leases())
    if (const auto part = lease.parts.find(team); part != lease.parts.end())
      by_age.emplace_back(part->second.grown_at, member);
  std::sort(by_age.begin(), by_age.end());
  for (const auto& [age, member] : by_age) {
    auto& part = ledger_.find(member)->parts.at(team);
    const Amount back = smaller(positive(deficit), positive(part.idle()));
    if (back.is_zero()) continue;
    part.keep = part.size - back;
    deficit -= back;
    ++counters_.recalls;
    members_to_notify_.insert(member);
  }
}

void Lessor::grow(double now) {
  std::map<std::string, std::set<std::string>> growth_candidates;  // members to consider, by team
  for (auto& [member, lease] : ledger_.leases()) {
    if (!lease.synchronized || now < lease.next_growth) continue;
    lease.next_growth = now + options_.rebalance_s;
    for (const auto& [team, part] : lease.parts)
      if (!part.demand.is_zero() && (part.durable || part.revision == 0))
        growth_candidates[team].insert(member);
  }
  for (const auto& [team, members] : growth_candidates) grow_team(team, members, now);
}

void Lessor::grow_team(const std::string& team, const std::set<std::string>& members, double now) {
  const auto limit = limit_of(team);
  // No part of the team grows while one of its jobs waits for leased capacity, or while a malformed record
  // may stand for a lease.
  if (limit.unlimited || !claims_.empty(team) || now < unreadable_until_) return;
  TeamBudget budget;
  budget.guarantee = limit.guarantee;
  budget.limit = limit.limit;
  budget.available = available(team);
  budget.leased = ledger_.leased(team);
  budget.share = options_.leased_share;
  std::map<std::string, MemberDemand> demands;
  for (const auto& member : members) {
    const auto& part = ledger_.find(member)->parts.at(team);
    demands[member] = {part.size, part.promised, part.demand};
  }
  for (const auto& [member, by] : allot(budget, demands)) grow_part(member, team, by, now);
}

void Lessor::grow_part(const std::string& member, const std::string& team, const Amount& by, double now) {
  auto& lease = *ledger_.find(member);
  auto& part = lease.parts.at(team);
  ledger_.set_part(member, team, next_epoch(), part.size + by);
  part.durable = false;
  part.grown_at = now;
  ++counters_.growths;
  write_record(member, part.slice, now);
}

}  // namespace robinford::quota
