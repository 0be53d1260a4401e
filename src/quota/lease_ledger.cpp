#include "quota/lease_ledger.hpp"

#include <algorithm>

namespace robinford::quota {

namespace {
std::string wrong_sum(const char* what, const std::string& member, const std::string& team) {
  std::string text(what);
  return text.append(": mismatch in the part of ").append(member).append(", team ").append(team);
}
}  // namespace

void LeaseLedger::clear() {
  leases_.clear();
  grants_.clear();
  exposure_.clear();
}

LeaseEntry* LeaseLedger::find(const std::string& member) {
  const auto found = leases_.find(member);
  return found == leases_.end() ? nullptr : &found->second;
}

const GrantEntry* LeaseLedger::find_grant(protocol::JobId job) const {
  const auto found = grants_.find(job);
  return found == grants_.end() ? nullptr : &found->second;
}

LeaseEntry& LeaseLedger::open(const std::string& member, std::uint64_t epoch, std::uint64_t incarnation,
                              double ends_at) {
  close(member);
  auto& lease = leases_[member];
  lease.epoch = epoch;
  lease.incarnation = incarnation;
  lease.ends_at = ends_at;
  return lease;
}

void LeaseLedger::close(const std::string& member) {
  const auto found = leases_.find(member);
  if (found == leases_.end()) return;
  for (const auto& [team, part] : found->second.parts) change_exposure(team, part.covered - part.size);
  std::erase_if(grants_, [&](const auto& entry) { return entry.second.member == member; });
  leases_.erase(found);
}

void LeaseLedger::set_part(const std::string& member, const std::string& team, std::uint64_t revision,
                           const Amount& size) {
  auto& part = leases_.at(member).parts[team];
  change_exposure(team, size - part.size);
  part.size = part.keep = size;
  part.revision = revision;
}

void LeaseLedger::shrink_part(const std::string& member, const std::string& team, const Amount& size) {
  auto& part = leases_.at(member).parts.at(team);
  // The part never shrinks below the grants registered from it, whatever size the lessee reports: those
  // grants may have arrived before the report.
  const Amount lower = larger(part.promised, smaller(part.size, size));
  change_exposure(team, lower - part.size);
  part.size = lower;
  part.keep = smaller(part.keep, lower);
}

bool LeaseLedger::add_grant(const std::string& member, const NewGrant& new_grant, std::uint32_t placed,
                            double now) {
  if (grants_.contains(new_grant.job) || new_grant.tasks == 0 || new_grant.each.is_zero()) return false;
  auto* lease = find(member);
  if (lease == nullptr) return false;
  const auto found = lease->parts.find(new_grant.team);
  if (found == lease->parts.end()) return false;
  auto& part = found->second;
  const Amount need = new_grant.each * new_grant.tasks;
  if (!covers(part.size, part.promised + need)) return false;
  part.promised += need;
  auto& grant = grants_[new_grant.job];
  grant = {member, new_grant.team, new_grant.tasks, new_grant.each, placed, now, false};
  set_covered(grant, 0);
  return true;
}

void LeaseLedger::refund(protocol::JobId job, std::uint32_t tasks) {
  const auto found = grants_.find(job);
  if (found == grants_.end() || tasks == 0) return;
  auto& grant = found->second;
  auto& lease = leases_.at(grant.member);
  auto* part = part_of(grant);
  const auto before = grant.covered();
  const auto fewer = std::min(tasks, grant.tasks);
  grant.tasks -= fewer;
  set_covered(grant, before);
  part->promised -= grant.each * fewer;
  lease.refunds.push_back({++lease.refunds_made, job, fewer});
  if (grant.tasks == 0) grants_.erase(found);
}

void LeaseLedger::queue_refusal(const std::string& member, const NewGrant& new_grant) {
  auto& lease = leases_.at(member);
  lease.refunds.push_back({++lease.refunds_made, new_grant.job, new_grant.tasks});
}

void LeaseLedger::drop_acknowledged_refunds(LeaseEntry& lease, std::uint64_t refunds_taken) {
  while (!lease.refunds.empty() && lease.refunds.front().number <= refunds_taken) lease.refunds.pop_front();
}

void LeaseLedger::change_placed_tasks(protocol::JobId job, std::int64_t by, double now) {
  const auto found = grants_.find(job);
  if (found == grants_.end()) return;
  auto& grant = found->second;
  const auto before = grant.covered();
  grant.placed = static_cast<std::uint32_t>(std::max<std::int64_t>(0, grant.placed + by));
  grant.changed_at = now;
  set_covered(grant, before);
}

void LeaseLedger::mark_job_live(protocol::JobId job) {
  const auto found = grants_.find(job);
  if (found != grants_.end()) found->second.job_was_live = true;
}

Amount LeaseLedger::exposure(const std::string& team) const {
  const auto found = exposure_.find(team);
  return found == exposure_.end() ? Amount{} : found->second;
}

Amount LeaseLedger::leased(const std::string& team) const {
  Amount sum;
  for (const auto& [member, lease] : leases_)
    if (const auto part = lease.parts.find(team); part != lease.parts.end()) sum += part->second.size;
  return sum;
}

void LeaseLedger::change_exposure(const std::string& team, const Amount& by) { exposure_[team] += by; }

void LeaseLedger::set_covered(GrantEntry& grant, std::uint32_t before) {
  const Amount by =
      grant.each * (static_cast<std::int64_t>(grant.covered()) - static_cast<std::int64_t>(before));
  part_of(grant)->covered += by;
  change_exposure(grant.team, Amount{} - by);
}

PartEntry* LeaseLedger::part_of(const GrantEntry& grant) {
  return &leases_.at(grant.member).parts.at(grant.team);
}

std::string LeaseLedger::audit() const {
  std::map<std::string, Amount> exposure;
  std::map<std::pair<std::string, std::string>, std::pair<Amount, Amount>> sums;  // promised, covered
  for (const auto& [job, grant] : grants_) {
    auto& [promised, covered] = sums[{grant.member, grant.team}];
    promised += grant.each * grant.tasks;
    covered += grant.each * grant.covered();
  }
  for (const auto& [member, lease] : leases_)
    for (const auto& [team, part] : lease.parts) {
      const auto& [promised, covered] = sums[{member, team}];
      if (!(promised == part.promised) || !(covered == part.covered))
        return wrong_sum("grants", member, team);
      if (!covers(part.size, part.promised))
        return wrong_sum("promised capacity exceeds the size", member, team);
      exposure[team] += part.size - part.covered;
    }
  for (const auto& [team, amount] : exposure_)
    if (!(exposure[team] == amount))
      return "team " + team + ": exposure does not match the sum of its leases";
  return {};
}

}  // namespace robinford::quota
