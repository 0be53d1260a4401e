/// @file
/// Implements CancelledWork.
#include "coordination/leader/cancelled_work.hpp"

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;

void CancelledWork::track(Machine& machine, const Job& job, double leader_since) {
  const double now = context_.now.steady;
  const double cancel_s = context_.settings.cancel_s;
  const double lease_s = context_.settings.lease_s * (1 + 2 * c::kClockDrift) + c::kLeaseMarginS;
  const double patience = std::max(
      c::kCancelPatienceShare / 2 * cancel_s,
      std::min(std::max(c::kCancelPatienceShare * cancel_s, lease_s), cancel_s - c::kCancelReturnLeadS));
  const double age_s =
      job.cancelled_ms > 0 ? std::max(0.0, (context_.now.wall_ms - job.cancelled_ms) / 1000.0) : 0.0;
  const double cancelled_at = now - age_s;
  double deadline = cancelled_at + patience;
  // A new leader finds old cancellations in the ledger. It gives each machine time for two heartbeats,
  // limited to what is left of the time that the cancellation allows, if any is left. Without this, all of
  // these machines were once returned at the moment when the ledger was read.
  if (machine.unreconciled || machine.unanswered_since_ms) {
    const double round_end =
        leader_since +
        2 * (context_.settings.heartbeat_interval_s * c::kHeartbeatJitterFactor + c::kHeartbeatRoundSlackS);
    const double last = cancelled_at + cancel_s - c::kNewLeaderCancelReturnLeadS;
    deadline = std::max(deadline, last > now ? std::min(round_end, last) : round_end);
  }
  machine.overdue.emplace(job.spec.id, deadline);
  machines_.insert(machine.name);
}

void CancelledWork::update(Machine& machine) {
  if (machine.overdue.empty()) return;
  std::erase_if(machine.overdue, [&](const auto& entry) {
    const auto of_job = [&](const protocol::TaskId& task) { return task.job == entry.first; };
    return std::none_of(machine.tasks.begin(), machine.tasks.end(), of_job) &&
           std::none_of(machine.unknown_tasks.begin(), machine.unknown_tasks.end(),
                        [&](const auto& unknown_task) { return of_job(unknown_task.task); });
  });
  if (machine.overdue.empty()) machines_.erase(machine.name);
}

void CancelledWork::forget(Machine& machine) {
  machine.overdue.clear();
  machines_.erase(machine.name);
}

bool CancelledWork::deadline_passed(const Machine& machine) const {
  return std::any_of(machine.overdue.begin(), machine.overdue.end(),
                     [&](const auto& entry) { return context_.now.steady >= entry.second; });
}

bool CancelledWork::may_remain(protocol::JobId id) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const std::string& name) {
    const Machine* machine = context_.machines.find(name);
    return machine != nullptr && machine->overdue.contains(id);
  });
}

}  // namespace robinford::coordination
