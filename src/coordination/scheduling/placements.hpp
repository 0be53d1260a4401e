/// @file
/// The leader's accounting of capacity in use: all runs, reservations and unknown tasks are added and removed
/// here. docs/design.md, section "Load".
#pragma once

#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Adds and removes runs, reservations and unknown tasks; no other code does. Each function updates together
/// what has to stay consistent:
///  - the runs or reservations of the job, and the lists of them in the machine,
///  - the gang totals of the machine, and the validity of its cached free resources,
///  - the quota usage of the job's team (`ControllerContext::quota`).
/// `audit` recounts the totals of cpus and checks that each run is listed in its machine. Jobs and machines
/// are owned by the ledgers of the context.
class Placements {
 public:
  /// `context` must outlive the object.
  explicit Placements(ControllerContext& context) : context_(context) {}

  /// Clears the state of this object; the caller also clears the ledgers and the quota accounts of the
  /// context.
  void clear();

  /// Adds a run of a task of the job on the machine. The task must be unplaced, and `run.machine` must name
  /// the machine.
  void add_run(bookkeeping::Job& job, std::uint32_t index, bookkeeping::TaskRun run,
               bookkeeping::Machine& machine);
  /// Removes the run of the task and frees its capacity; does nothing if the task has no run. An array
  /// task is not placed again until `requeue_task` is called.
  void remove_run(bookkeeping::Job& job, std::uint32_t index);
  /// Makes a task of an array eligible for placement again, unless it is done or still has a run. A task that
  /// was launched again and again without progress waits for the end of its backoff first.
  void requeue_task(bookkeeping::Job& job, std::uint32_t index);
  /// Makes the tasks eligible whose backoff is over.
  void requeue_delayed_tasks(bookkeeping::Job& job);

  /// Reserves capacity on the machine for one task of the gang. A later heartbeat of the machine confirms
  /// that the capacity is free; unconfirmed, the reservation expires after `kReservationHeartbeats` heartbeat
  /// intervals.
  void add_reservation(bookkeeping::Job& job, bookkeeping::Machine& machine);
  /// Releases all reservations of the gang.
  void release_reservations(bookkeeping::Job& job);

  /// Replaces the list of tasks that the machine's heartbeat reports and that belong to no run. While listed,
  /// they use capacity and are charged to their team's quota. A task whose job is not in the ledger uses the
  /// whole machine, which is charged to every team.
  void set_unknown_tasks(bookkeeping::Machine& machine, std::vector<protocol::TaskStatus> unknown_tasks);
  /// Names of the machines with unknown tasks.
  const std::set<std::string>& unknown_task_machines() const { return unknown_task_machines_; }
  /// Whether some machine has an unknown task of the job.
  bool has_unknown_tasks_of(protocol::JobId id) const;

  /// Whether a run was removed or `release_reservations` was called since the last `clear_capacity_freed`, so
  /// that waiting gangs may fit now.
  bool capacity_freed() const { return capacity_freed_; }
  void clear_capacity_freed() { capacity_freed_ = false; }
  /// Whether, since the last `clear_unqueued_array_task`, `requeue_task` was called for an array that is in
  /// no queue, so that the queues may lack a task to place.
  bool has_unqueued_array_task() const { return unqueued_array_task_; }
  void clear_unqueued_array_task() { unqueued_array_task_ = false; }

  /// Compares the incrementally updated totals of cpus with a full recount, and checks that each run is
  /// listed in its machine, for tests. Returns a description of the first difference, or an empty string.
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
