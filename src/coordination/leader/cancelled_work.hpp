/// @file
/// Tasks of cancelled jobs that may still be on machines. docs/design.md, section "Cancellations".
#pragma once

#include <set>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Keeps a deadline for each cancelled job on each machine that may hold tasks of it (`Machine::overdue`).
/// The machine is returned if no heartbeat shows by then that the tasks are gone. Otherwise a hung machine
/// could keep cancelled work for longer than `cancel_s` allows.
class CancelledWork {
 public:
  /// `context` must outlive the object.
  explicit CancelledWork(ControllerContext& context) : context_(context) {}

  void clear() { machines_.clear(); }
  /// Sets the deadline for tasks of the cancelled job on the machine, unless there is one already.
  /// `leader_since`: steady time at which this term began.
  void track(bookkeeping::Machine& machine, const bookkeeping::Job& job, double leader_since);
  /// Drops, after a heartbeat, the deadlines of jobs that have no task left on the machine.
  void update(bookkeeping::Machine& machine);
  /// Drops the deadlines of a machine that is gone.
  void forget(bookkeeping::Machine& machine);

  /// Whether a deadline of the machine has passed.
  bool deadline_passed(const bookkeeping::Machine& machine) const;
  /// Whether some machine may still hold tasks of the cancelled job.
  bool may_remain(protocol::JobId id) const;

 private:
  ControllerContext& context_;
  std::set<std::string> machines_;  // names of those with a deadline
};

}  // namespace robinford::coordination
