/// @file
/// Machines that may still run tasks of earlier leaders that this leader does not know of. docs/design.md,
/// section "What was added", "Records" and "Evidence".
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/machine_kind.hpp"

namespace robinford::coordination {

/// Counts the machines that were recorded under an earlier leader and whose tasks this leader does not know
/// yet (`Machine::unreconciled`). Until a heartbeat or the answer to a direct command lists its tasks, its
/// lease has expired, or the machine is gone, a task that it may hold must not start elsewhere, since the
/// task could then run twice, and the task is charged to the quota of its team.
///
/// Invariant: `count()` is the number of machines in the ledger with `unreconciled` set. Only `add` and
/// `mark_reconciled` keep it equal to these flags.
class UnreconciledMachines {
 public:
  /// `context` must outlive the object.
  explicit UnreconciledMachines(ControllerContext& context) : context_(context) {}

  void clear();
  /// Counts a machine that was loaded with `unreconciled` set.
  void add(const bookkeeping::Machine& machine);
  /// Clears the flag of a machine whose tasks are known now. Returns whether it was set; if so, jobs that had
  /// to wait for the machine may be able to start.
  [[nodiscard]] bool mark_reconciled(bookkeeping::Machine& machine);

  std::size_t count() const { return count_; }
  /// Whether one of these machines may run an unplaced task of the job.
  bool may_hold_tasks_of(const bookkeeping::Job& job) const;
  /// Charges the teams for all tasks that these machines may hold, for each job at most the capacity of the
  /// machines that it allows. Visits all jobs, so it is called only at the end of loading and, through
  /// `charge_quota_if_changed`, periodically.
  void charge_quota();
  /// Calls `charge_quota` if a machine was reconciled since the last charge. In between, the charge can only
  /// be too high: tasks are adopted and machines reconciled, but no machine becomes unreconciled.
  void charge_quota_if_changed();

 private:
  ControllerContext& context_;
  std::map<MachineKind, int> by_kind_;
  std::size_t count_ = 0;
  bool changed_ = false;  // since the last `charge_quota`
};

}  // namespace robinford::coordination
