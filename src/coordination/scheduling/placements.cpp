/// @file
/// Implements Placements.
#include "coordination/scheduling/placements.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/placement.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::TaskRun;
using protocol::TaskStatus;

namespace {

// Largest difference in cpus that is attributed to rounding: totals depend on the order of their summands.
constexpr double kAuditTolerance = 1e-4;

bool differ(double counted, double running) { return std::abs(counted - running) > kAuditTolerance; }

}  // namespace

void Placements::clear() {
  unknown_task_machines_.clear();
  capacity_freed_ = false;
  unqueued_array_task_ = false;
}

// Records how long the job waited for its first capacity. Jobs of earlier leaders and jobs with capacity
// granted from a quota lease are left out: the earlier leader or the granting controller has recorded their
// wait.
void Placements::record_grant_wait(Job& job) {
  if (std::exchange(job.was_placed, true) || job.before || context_.quota.granted(job.spec.id)) return;
  context_.metrics.record(Metrics::Distribution::kGrantWait, context_.now.steady - job.known_at);
}

void Placements::add_run(Job& job, std::uint32_t index, TaskRun run, Machine& machine) {
  job.mark_placed(index);
  job.runs.emplace(index, std::move(run));
  machine.tasks.insert({job.spec.id, index});
  machine.free_resources_known = false;
  if (job.spec.gang) {
    ++machine.gang_tasks;
    machine.gang_cpus += job.spec.cpus;
  }
  record_grant_wait(job);
  context_.quota.charge(job.spec, 1);
}

void Placements::remove_run(Job& job, std::uint32_t index) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (Machine* machine = context_.machines.find(found->second.machine)) {
    machine->tasks.erase({job.spec.id, index});
    machine->free_resources_known = false;
    machine->offered = false;
    if (job.spec.gang) {
      --machine->gang_tasks;
      machine->gang_cpus -= job.spec.cpus;
    }
  }
  context_.quota.refund(job.spec, 1);
  job.runs.erase(found);
  capacity_freed_ = true;
}

void Placements::requeue_task(Job& job, std::uint32_t index) {
  const double next_launch_at = job.launches.next_launch_at(index);
  if (next_launch_at > context_.now.steady) return job.requeue_task_at(index, next_launch_at);
  job.requeue_task(index);
  if (!job.queued) unqueued_array_task_ = true;
}

void Placements::requeue_delayed_tasks(Job& job) {
  std::vector<std::uint32_t> due;
  for (const auto& [index, at] : job.delayed)
    if (context_.now.steady >= at) due.push_back(index);
  for (const auto index : due) requeue_task(job, index);
}

void Placements::add_reservation(Job& job, Machine& machine) {
  const double now = context_.now.steady;
  const double expires_at = now + c::kReservationHeartbeats * context_.settings.heartbeat_interval_s;
  job.reservations.push_back({machine.name, now, expires_at, false});
  machine.reservations.insert(job.spec.id);
  machine.free_resources_known = false;
  machine.gang_cpus += job.spec.cpus;
  machine.idle_since = now;
  record_grant_wait(job);
  context_.quota.charge(job.spec, 1);
}

void Placements::release_reservations(Job& job) {
  for (const auto& reservation : job.reservations) {
    Machine* machine = context_.machines.find(reservation.machine);
    if (machine == nullptr) continue;
    machine->reservations.erase(job.spec.id);
    machine->free_resources_known = false;
    machine->offered = false;
    machine->gang_cpus -= job.spec.cpus;
  }
  context_.quota.refund(job.spec, static_cast<std::uint32_t>(job.reservations.size()));
  job.reservations.clear();
  capacity_freed_ = true;
}

void Placements::set_unknown_tasks(Machine& machine, std::vector<TaskStatus> unknown_tasks) {
  if (unknown_tasks.empty() && machine.unknown_tasks.empty()) return;
  context_.quota.refund_unknown_tasks(machine);
  machine.unknown_tasks = std::move(unknown_tasks);
  machine.free_resources_known = false;
  context_.quota.charge_unknown_tasks(machine, context_.jobs);
  if (machine.unknown_tasks.empty())
    unknown_task_machines_.erase(machine.name);
  else
    unknown_task_machines_.insert(machine.name);
}

bool Placements::has_unknown_tasks_of(protocol::JobId id) const {
  return std::any_of(
      unknown_task_machines_.begin(), unknown_task_machines_.end(), [&](const std::string& name) {
        const Machine* machine = context_.machines.find(name);
        return machine != nullptr &&
               std::any_of(machine->unknown_tasks.begin(), machine->unknown_tasks.end(),
                           [&](const TaskStatus& unknown_task) { return unknown_task.task.job == id; });
      });
}

std::string Placements::audit() {
  if (auto difference = audit_teams(); !difference.empty()) return difference;
  for (const auto& [name, machine] : context_.machines.all())
    if (auto difference = audit_machine(machine); !difference.empty()) return difference;
  return audit_runs();
}

std::string Placements::audit_teams() {
  const auto counted = context_.quota.recount(context_.jobs, context_.machines);
  const auto& running = context_.quota.running();
  const auto cpus_of = [](const auto& usage, const std::string& team) {
    const auto found = usage.find(team);
    return found == usage.end() ? 0.0 : found->second.cpus;
  };
  for (const auto& team : context_.settings.teams) {
    const double counted_cpus = cpus_of(counted, team.name);
    const double running_cpus = cpus_of(running, team.name);
    if (differ(counted_cpus, running_cpus))
      return "team " + team.name + " uses " + std::to_string(counted_cpus) +
             " cpus, but its quota account has " + std::to_string(running_cpus);
  }
  return {};
}

std::string Placements::audit_machine(const Machine& machine) {
  const Resources free = compute_available_resources(context_, machine);
  if (machine.free_resources_known && machine.unknown_tasks.empty() &&
      differ(free.cpus, machine.free_resources.cpus))
    return "machine " + machine.name + " has " + std::to_string(free.cpus) +
           " cpus free, but its cached value is " + std::to_string(machine.free_resources.cpus);
  double gang_cpus = 0;
  for (const auto& task : machine.tasks)
    if (const Job* job = context_.jobs.find(task.job); job != nullptr && job->spec.gang)
      gang_cpus += job->spec.cpus;
  for (const auto id : machine.reservations) {
    const Job* job = context_.jobs.find(id);
    for (const auto& reservation : job->reservations)
      if (reservation.machine == machine.name) gang_cpus += job->spec.cpus;
  }
  if (differ(gang_cpus, machine.gang_cpus))
    return "machine " + machine.name + ": its total of gang cpus is not the recounted " +
           std::to_string(gang_cpus);
  return {};
}

std::string Placements::audit_runs() {
  for (const auto& [id, job] : context_.jobs.all())
    for (const auto& [index, run] : job->runs) {
      const Machine* machine = context_.machines.find(run.machine);
      if (machine == nullptr || !machine->tasks.contains({id, index}))
        return "a run of " + protocol::job_id_text(job->spec.id) +
               " is missing from its machine's list of tasks";
    }
  return {};
}

}  // namespace robinford::coordination
