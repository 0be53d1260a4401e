/// @file
/// The leader's record of which capacity is taken: every run, reservation and unknown task is added and
/// removed here. docs/design.md, section "Load".
#pragma once

#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// The only place that changes which runs, reservations and unknown tasks there are. Each function changes
/// together all that has to agree:
///  - the job's runs or reservations, and the machine's lists of them,
///  - what gangs take of the machine, and whether its free resources have to be counted again,
///  - what the job's team uses of its limit (`ControllerContext::quota`).
/// `audit` recounts all of it. Jobs and machines themselves belong to the ledgers of the context.
class Placements {
 public:
  /// `context` must outlive the placements.
  explicit Placements(ControllerContext& context) : context_(context) {}

  /// Forgets everything; the caller clears the ledgers and the quota accounts of the context as well.
  void clear();

  /// Puts a task of the job on the machine. The task must be unplaced; `run.machine` names the machine.
  void add_run(bookkeeping::Job& job, std::uint32_t index, bookkeeping::TaskRun run,
               bookkeeping::Machine& machine);
  /// Removes the task's run and frees its capacity; does nothing if the task has no run. The task is not
  /// placed again before `requeue_task`.
  void remove_run(bookkeeping::Job& job, std::uint32_t index);
  /// Makes a task of an array available for placement once more.
  void requeue_task(bookkeeping::Job& job, std::uint32_t index);

  /// Reserves capacity for one task of the gang until a heartbeat of the machine confirms that it is free, at
  /// most for `kReservationHeartbeats` heartbeat intervals.
  void add_reservation(bookkeeping::Job& job, bookkeeping::Machine& machine);
  /// Releases all reservations of the gang.
  void release_reservations(bookkeeping::Job& job);

  /// Replaces the tasks that the machine shows and that belong to no run. They use capacity and count against
  /// their team's limit until a heartbeat shows that they ended.
  void set_unknown_tasks(bookkeeping::Machine& machine, std::vector<protocol::TaskStatus> unknown_tasks);
  /// Names of the machines that show unknown tasks.
  const std::set<std::string>& unknown_task_machines() const { return unknown_task_machines_; }
  /// Whether some machine shows an unknown task of the job.
  bool has_unknown_tasks_of(protocol::JobId id) const;

  /// Whether capacity came free since the last `clear_capacity_freed`, so that waiting gangs may fit now.
  bool capacity_freed() const { return capacity_freed_; }
  void clear_capacity_freed() { capacity_freed_ = false; }
  /// Whether an array that is in no queue has a task to place since the last `clear_unqueued_array_task`.
  bool has_unqueued_array_task() const { return unqueued_array_task_; }
  void clear_unqueued_array_task() { unqueued_array_task_ = false; }

  /// Compares the running sums with a count of everything. Returns a description of the first difference,
  /// empty if there is none. For tests.
  std::string audit();

 private:
  void record_grant_wait(bookkeeping::Job& job);
  std::string audit_teams();
  std::string audit_machine(const bookkeeping::Machine& machine);
  std::string audit_runs();

  ControllerContext& context_;
  std::set<std::string> unknown_task_machines_;
  bool capacity_freed_ = false;
  bool unqueued_array_task_ = false;
};

}  // namespace robinford::coordination
