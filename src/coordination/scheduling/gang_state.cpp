/// @file
/// Scheduler: the states of a gang from queued to running, and how gangs and runs are stopped.
/// docs/design.md, section "What was kept".
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::Machine;
using bookkeeping::RunState;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

void Scheduler::advance_gang(Job& job) {
  const double now = context_.now.steady;
  const bool complete_set = job.runs.size() == job.spec.tasks;
  switch (job.gang) {
    case GangState::kQueued:
      if (job.runs.empty()) return;
      // An earlier leader launched the gang. It goes on if all its tasks are known. Otherwise, once no
      // unreconciled machine may have the others, all are stopped and the gang is queued again.
      if (complete_set)
        JobLedger::set_gang_state(job, GangState::kRunning, now);
      else if (!unreconciled_.may_hold_tasks_of(job))
        stop_gang(job, StopMode::kImmediate, "a new leader found only some of its tasks");
      return;
    case GangState::kReserving: {
      const auto confirmed = std::count_if(job.reservations.begin(), job.reservations.end(),
                                           [](const auto& reservation) { return reservation.confirmed; });
      if (static_cast<std::uint32_t>(confirmed) >= job.spec.tasks) return launch_gang(job);
      const bool expired = std::any_of(
          job.reservations.begin(), job.reservations.end(),
          [&](const auto& reservation) { return !reservation.confirmed && now > reservation.expires_at; });
      if (!expired) return;
      spdlog::info("gang {}: reservations expired before enough were confirmed; queued again", name_of(job));
      context_.metrics.count("reservations_expired");
      placements_.release_reservations(job);
      JobLedger::set_gang_state(job, GangState::kQueued, now);
      return;
    }
    case GangState::kLaunching: {
      const bool all_seen =
          complete_set && std::all_of(job.runs.begin(), job.runs.end(), [](const auto& entry) {
            return entry.second.state == RunState::kPresent;
          });
      if (all_seen) return JobLedger::set_gang_state(job, GangState::kRunning, now);
      if (now - job.gang_since >
          c::kReservationHeartbeats * context_.settings.heartbeat_interval_s + context_.settings.gang_wait_s)
        stop_gang(job, StopMode::kImmediate, "not all its tasks started in time");
      return;
    }
    case GangState::kRunning:
      return;
    case GangState::kStopping:
      if (job.runs.empty() && !unreconciled_.may_hold_tasks_of(job)) {
        context_.metrics.count("gangs_requeued");
        job.attempt = 0;
        job.backoff_until = std::max(job.backoff_until, job.launches.next_launch_at(0));
        JobLedger::set_gang_state(job, GangState::kQueued, now);
      }
      return;
  }
}

void Scheduler::launch_gang(Job& job) {
  std::vector<std::string> machine_names;
  for (const auto& reservation : job.reservations)
    if (reservation.confirmed && machine_names.size() < job.spec.tasks)
      machine_names.push_back(reservation.machine);
  placements_.release_reservations(job);
  job.attempt = next_attempt();
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    plan_run(job, i, *context_.machines.find(machine_names[i]), job.attempt);
  JobLedger::set_gang_state(job, GangState::kLaunching, context_.now.steady);
  if (!direct_commands_.launches_directly()) return;
  for (const auto& name : std::set<std::string>(machine_names.begin(), machine_names.end()))
    if (direct_commands_.can_send()) launch_directly(*context_.machines.find(name));
}

void Scheduler::stop_run(Job& job, std::uint32_t index, double grace_s) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (found->second.state == RunState::kPlanned) {
    placements_.remove_run(job, index);  // the launch was never sent
    return;
  }
  found->second.stop_grace = grace_s;
  JobLedger::set_run_state(job, found->second, RunState::kStopping);
  machines_with_pending_stops_.insert(found->second.machine);
  round_requested_ = true;
}

void Scheduler::stop_gang(Job& job, StopMode mode, const char* why) {
  spdlog::info("gang {}: stopping all its tasks: {}", name_of(job), why);
  placements_.release_reservations(job);
  JobLedger::set_gang_state(job, GangState::kStopping, context_.now.steady);
  const double grace_s = mode == StopMode::kGraceful && job.spec.checkpoint_s > 0
                             ? job.spec.save_s + context_.settings.gang_peer_s
                             : 0;
  std::vector<std::uint32_t> indices;
  for (const auto& [index, run] : job.runs) indices.push_back(index);
  for (const auto index : indices) stop_run(job, index, grace_s);
  send_stops();
}

void Scheduler::stop_machine_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr) continue;
    if (job->spec.gang) {
      if (job->gang != GangState::kStopping) stop_gang(*job, StopMode::kGraceful, why);
    } else {
      stop_run(*job, id.index,
               job->spec.checkpoint_s > 0 ? job->spec.save_s + context_.settings.gang_peer_s : 0);
      placements_.requeue_task(*job, id.index);
    }
  }
  send_stops();
}

}  // namespace robinford::coordination
