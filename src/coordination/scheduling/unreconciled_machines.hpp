/// @file
/// Machines on which tasks of earlier leaders may still run unseen. docs/design.md, section "What was added",
/// "Records" and "Evidence".
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/machine_kind.hpp"

namespace robinford::coordination {

/// Counts the machines that are on record from an earlier leader and have not yet proved to this one what
/// runs on them (`Machine::unreconciled`). Until they have, the tasks that they could hold must not start
/// elsewhere, or a task would run twice, and count against their teams' limits.
///
/// Invariant: `count()` is the number of machines in the ledger with `unreconciled` set; only `add` and
/// `mark_reconciled` follow that flag.
class UnreconciledMachines {
 public:
  /// `context` must outlive the object.
  explicit UnreconciledMachines(ControllerContext& context) : context_(context) {}

  void clear();
  /// Counts a machine that was read from the ledger with `unreconciled` set.
  void add(const bookkeeping::Machine& machine);
  /// The machine has proved what is on it, or that nothing of an earlier leader can be. Returns whether it
  /// was unreconciled until now: then blocked jobs may be free to start.
  [[nodiscard]] bool mark_reconciled(bookkeeping::Machine& machine);

  std::size_t count() const { return count_; }
  /// Whether an unplaced task of the job may run on one of these machines.
  bool may_hold_tasks_of(const bookkeeping::Job& job) const;
  /// Charges the teams for all that these machines may hold. Walks all jobs: done when the ledger is read,
  /// and with `charge_quota_if_changed` from time to time.
  void charge_quota();
  /// `charge_quota` if a machine was reconciled since. Between two calls the charge can only be too high:
  /// tasks are adopted, machines reconciled, and no task is added.
  void charge_quota_if_changed();

 private:
  ControllerContext& context_;
  std::map<MachineKind, int> by_kind_;
  std::size_t count_ = 0;
  bool changed_ = false;  // since the last `charge_quota`
};

}  // namespace robinford::coordination
