/// @file
/// Implements UnreconciledMachines.
#include "coordination/scheduling/unreconciled_machines.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/placement.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Usage;

void UnreconciledMachines::clear() {
  by_kind_.clear();
  count_ = 0;
  changed_ = false;
}

void UnreconciledMachines::add(const Machine& machine) {
  ++by_kind_[kind_of(machine)];
  ++count_;
}

bool UnreconciledMachines::mark_reconciled(Machine& machine) {
  if (!machine.unreconciled) return false;
  machine.unreconciled = false;
  const auto found = by_kind_.find(kind_of(machine));
  if (found != by_kind_.end() && --found->second <= 0) by_kind_.erase(found);
  --count_;
  changed_ = true;
  return true;
}

bool UnreconciledMachines::may_hold_tasks_of(const Job& job) const {
  if (!job.before) return false;
  return std::any_of(by_kind_.begin(), by_kind_.end(), [&](const auto& entry) {
    const MachineKind& kind = entry.first;
    return kind_allowed(job.spec, kind.type, kind.zone, kind.spot);
  });
}

void UnreconciledMachines::charge_quota() {
  changed_ = false;
  std::map<std::string, Usage> usage_by_team;
  if (count_ > 0) {
    for (const auto& [id, job] : context_.jobs.all()) {
      if (!job->before) continue;
      Usage capacity;  // of the unreconciled machines that the job may use
      for (const auto& [kind, machines] : by_kind_) {
        if (!kind_allowed(job->spec, kind.type, kind.zone, kind.spot)) continue;
        const auto type = context_.types.find(kind.type);
        // The capacity of a machine type that the catalog does not list is unknown, so it counts as
        // unlimited.
        const bool known = type != context_.types.end();
        capacity.cpus += known ? type->second.cpus * machines : c::kAmountMax;
        capacity.gpus += known ? type->second.gpus * machines : c::kAmountMax;
      }
      auto& usage = usage_by_team[job->spec.team];
      usage.cpus += std::min(capacity.cpus, job->unplaced() * job->spec.cpus);
      usage.gpus += std::min(capacity.gpus, job->unplaced() * job->spec.gpus);
    }
  }
  context_.quota.set_unreconciled(std::move(usage_by_team));
}

void UnreconciledMachines::charge_quota_if_changed() {
  if (changed_) charge_quota();
}

}  // namespace robinford::coordination
