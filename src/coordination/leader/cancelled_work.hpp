/// @file
/// Work of cancelled jobs that may still be on machines. docs/design.md, section "Cancellations".
#pragma once

#include <set>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Keeps a deadline for each machine that may hold tasks of a cancelled job (`Machine::overdue`): by then a
/// heartbeat has to show that they are gone, or the machine is returned. A machine that hangs would otherwise
/// keep cancelled work for longer than `cancel_s` allows.
class CancelledWork {
 public:
  /// `context` must outlive the object.
  explicit CancelledWork(ControllerContext& context) : context_(context) {}

  void clear() { machines_.clear(); }
  /// Tasks of the cancelled job may be on the machine. `leader_since`: steady time at which this term began.
  void track(bookkeeping::Machine& machine, const bookkeeping::Job& job, double leader_since);
  /// After a heartbeat: drops the deadlines of jobs that have no task on the machine any more.
  void update(bookkeeping::Machine& machine);
  /// The machine itself is gone.
  void forget(bookkeeping::Machine& machine);

  /// Whether a deadline of the machine has passed.
  bool deadline_passed(const bookkeeping::Machine& machine) const;
  /// Whether some machine may still hold tasks of the cancelled job.
  bool may_remain(protocol::JobId id) const;

 private:
  ControllerContext& context_;
  std::set<std::string> machines_;  // those with a deadline
};

}  // namespace robinford::coordination
