#include "coordination/scheduling/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::TaskRun;
using protocol::TaskStatus;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

const char* to_text(LeaderPhase phase) {
  switch (phase) {
    case LeaderPhase::kNone:
      return "none";
    case LeaderPhase::kLoading:
      return "loading";
    case LeaderPhase::kReconciling:
      return "reconciling";
    case LeaderPhase::kServing:
      return "serving";
  }
  return "?";
}

// By heartbeats a gang waits for two of them, one that confirms its reservations and one whose answer
// launches. That is worth a connection for each launch where it takes a good part of the shortest start that
// users expect.
bool launches_directly(const protocol::Settings& settings) {
  double shortest = c::kDirectDefaultWaitS;
  for (const auto& objective : settings.objectives)
    if (objective.kind == "wait" || objective.kind == "guarantee")
      shortest = std::min(shortest, objective.within_s);
  return 2 * settings.heartbeat_interval_s * c::kHeartbeatJitter > shortest * c::kDirectWaitShare;
}

Scheduler::Scheduler(ControllerContext& context, Election& election, const PeerVersions& versions,
                     Actions actions)
    : context_(context),
      election_(election),
      versions_(versions),
      actions_(std::move(actions)),
      change_log_(context, election,
                  {[this](protocol::JobId id) { on_cancelled_elsewhere(id); },
                   [this](protocol::JobId id) { read_job(id); }, [this] { election_.guard_lost(); }}),
      lookup_(context, [this](protocol::JobId id) { on_cancelled_elsewhere(id); }),
      dependencies_(
          context, lookup_,
          {[this](Job& job) { dependencies_done(job); }, [this](Job& job) { dependency_cancelled(job); },
           [this](protocol::JobId id) { read_job(id); }}),
      directly_(launches_directly(context.settings)),
      arrivals_(context, run_times_),
      probe_budget_(
          std::max(c::kDirectLeast, context.settings.cpu_share * c::kDirectPerCore) * context.settings.count,
          std::max(c::kDirectLeast, context.settings.cpu_share * c::kDirectPerCore)) {}

void Scheduler::set_phase(LeaderPhase phase) {
  if (phase_ == phase) return;
  spdlog::info("leader phase: {} -> {} ({:.2f} s into term {})", to_text(phase_), to_text(phase),
               context_.now.steady - began_, election_.term());
  phase_ = phase;
  if (phase == LeaderPhase::kServing) serving_since_ = context_.now.steady;
}

// ---------------------------------------------------------------- running accounts

// How long the job waited until capacity of its team's limit was its own; not where another controller
// granted it before.
void Scheduler::note_grant(Job& job) {
  if (std::exchange(job.was_placed, true) || job.before || context_.quota.granted(job.spec.id)) return;
  context_.metrics.record(Metrics::Spread::kGrantWait, context_.now.steady - job.known_at);
}

void Scheduler::place_run(Job& job, std::uint32_t index, TaskRun run, Machine& machine) {
  job.take_task(index);
  job.runs.emplace(index, std::move(run));
  machine.tasks.insert({job.spec.id, index});
  machine.free_resources_known = false;
  if (job.spec.gang) {
    ++machine.gang_tasks;
    machine.gang_cpus += job.spec.cpus;
  }
  note_grant(job);
  context_.quota.charge(job.spec, 1);
}

void Scheduler::drop_run(Job& job, std::uint32_t index) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (Machine* machine = context_.machines.find(found->second.machine)) {
    machine->tasks.erase({job.spec.id, index});
    machine->free_resources_known = machine->offered = false;
    if (job.spec.gang) {
      --machine->gang_tasks;
      machine->gang_cpus -= job.spec.cpus;
    }
  }
  context_.quota.refund(job.spec, 1);
  job.runs.erase(found);
  dirty_ = true;
}

void Scheduler::give_back(Job& job, std::uint32_t index) {
  job.give_back(index);
  if (!job.queued) queues_dirty_ = true;
}

void Scheduler::add_reservation(Job& job, Machine& machine) {
  const double now = context_.now.steady;
  job.reservations.push_back(
      {machine.name, now, now + c::kReservationHeartbeats * context_.settings.heartbeat_interval_s, false});
  machine.reservations.insert(job.spec.id);
  machine.free_resources_known = false;
  machine.gang_cpus += job.spec.cpus;
  machine.idle_since = now;
  note_grant(job);
  context_.quota.charge(job.spec, 1);
}

void Scheduler::release_reservations(Job& job) {
  for (const auto& reservation : job.reservations)
    if (Machine* machine = context_.machines.find(reservation.machine)) {
      machine->reservations.erase(job.spec.id);
      machine->free_resources_known = machine->offered = false;
      machine->gang_cpus -= job.spec.cpus;
    }
  context_.quota.refund(job.spec, static_cast<std::uint32_t>(job.reservations.size()));
  job.reservations.clear();
  dirty_ = true;
}

void Scheduler::set_unknown_tasks(Machine& machine, std::vector<TaskStatus> unknown_tasks) {
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

// The machine has proved what is on it, or that nothing of an earlier leader can be.
void Scheduler::mark_reconciled(Machine& machine) {
  if (!machine.unreconciled) return;
  machine.unreconciled = false;
  const auto found = unreconciled_.find(kind_of(machine));
  if (found != unreconciled_.end() && --found->second <= 0) unreconciled_.erase(found);
  --unreconciled_total_;
  unreconciled_dirty_ = dirty_ = queues_dirty_ = true;
}

// Machines that have proved nothing yet may hold any unplaced task of the jobs that an earlier leader knew.
// Between two counts the sum can only be too high: tasks are adopted and machines seen, and no new task gets
// there.
void Scheduler::count_unreconciled() {
  unreconciled_dirty_ = false;
  std::map<std::string, bookkeeping::Usage> usage;
  if (unreconciled_total_ > 0) {
    for (const auto& [id, job] : context_.jobs.all()) {
      if (!job->before) continue;
      double cpus = 0, gpus = 0;
      for (const auto& [kind, count] : unreconciled_) {
        if (!kind_allowed(job->spec, kind.type, kind.zone, kind.spot)) continue;
        const auto type = context_.types.find(kind.type);
        cpus += type == context_.types.end() ? c::kAmountMax : type->second.cpus * count;
        gpus += type == context_.types.end() ? c::kAmountMax : type->second.gpus * count;
      }
      auto& used = usage[job->spec.team];
      used.cpus += std::min(cpus, job->unplaced() * job->spec.cpus);
      used.gpus += std::min(gpus, job->unplaced() * job->spec.gpus);
    }
  }
  context_.quota.set_unreconciled(std::move(usage));
}

std::string Scheduler::audit() {
  if (phase_ == LeaderPhase::kNone || phase_ == LeaderPhase::kLoading)
    return {};  // the accounts begin when the ledger is read
  const auto right = context_.quota.recount(context_.jobs, context_.machines);
  const auto& accounts = context_.quota.running();
  for (const auto& team : context_.settings.teams) {
    const auto a = right.find(team.name), b = accounts.find(team.name);
    const double want = a == right.end() ? 0 : a->second.cpus,
                 have = b == accounts.end() ? 0 : b->second.cpus;
    if (std::abs(want - have) > 1e-4)
      return "team " + team.name + " uses " + std::to_string(want) + " cpus, the accounts say " +
             std::to_string(have);
  }
  std::size_t unreconciled = 0;
  for (auto& [name, machine] : context_.machines.all()) {
    unreconciled += machine.unreconciled ? 1 : 0;
    const Resources counted = count_free_resources(context_, machine);
    if (machine.free_resources_known && machine.unknown_tasks.empty() &&
        std::abs(counted.cpus - machine.free_resources.cpus) > 1e-4)
      return "machine " + name + " has " + std::to_string(counted.cpus) + " cpus free, the accounts say " +
             std::to_string(machine.free_resources.cpus);
    double gangs = 0;
    for (const auto& task : machine.tasks)
      if (const Job* job = context_.jobs.find(task.job); job != nullptr && job->spec.gang)
        gangs += job->spec.cpus;
    for (const auto id : machine.reservations)
      for (const auto& reservation : context_.jobs.find(id)->reservations)
        if (reservation.machine == name) gangs += context_.jobs.find(id)->spec.cpus;
    if (std::abs(gangs - machine.gang_cpus) > 1e-4)
      return "machine " + name + ": gangs take " + std::to_string(gangs);
  }
  if (unreconciled != unreconciled_total_)
    return std::to_string(unreconciled) + " machines are unreconciled, the accounts say " +
           std::to_string(unreconciled_total_);
  for (const auto& [id, job] : context_.jobs.all())
    for (const auto& [index, run] : job->runs) {
      const Machine* machine = context_.machines.find(run.machine);
      if (machine == nullptr || !machine->tasks.contains({id, index}))
        return "a run of " + name_of(*job) + " is on no machine's list";
    }
  return {};
}

// ---------------------------------------------------------------- time

// One line whenever the reason changes for which a job with nothing placed waits.
void Scheduler::log_wait_reasons() {
  if (!spdlog::should_log(spdlog::level::debug) || context_.now.steady < next_log_) return;
  next_log_ = context_.now.steady + c::kLogWaitsEveryS;
  for (auto& [id, job] : context_.jobs.all()) {
    if (job->state != JobState::kActive || !job->runs.empty() || !job->reservations.empty()) continue;
    const char* why = why_waiting(*job);
    if (job->logged_wait_reason == why) continue;
    job->logged_wait_reason = why;
    spdlog::debug("job {} waits: {}", name_of(*job), why);
  }
}
void Scheduler::tick() {
  const double now = context_.now.steady;
  if (phase_ == LeaderPhase::kNone) return;
  context_.writer.set_paused(!election_.valid());
  if (phase_ == LeaderPhase::kLoading) {
    if (!loading_dependencies_) return;
    dependencies_.tick();
    if (!dependencies_.release_decided()) return;
    loaded();
  }
  probe_budget_.refill(now);
  if (phase_ == LeaderPhase::kReconciling && election_.valid() && reconciled()) {
    set_phase(LeaderPhase::kServing);
    dirty_ = true;
  }
  if (now >= next_watch_) {
    next_watch_ = now + c::kWatchEveryS;
    watch_machines();
  }
  send_stops();
  if (!election_.valid()) return;
  change_log_.tick();
  dependencies_.tick();
  probe_unreconciled();
  write_groups();
  if (now >= next_sweep_) {
    next_sweep_ = now + c::kSweepEveryS;
    if (unreconciled_dirty_) count_unreconciled();
    sweep_jobs();
    change_log_.delete_uncollected();
  }
  if (phase_ == LeaderPhase::kServing) {
    // Reservations expire and waits end by time alone, so a quiet moment needs rounds too.
    if (now - last_round_ > std::min(1.0, context_.settings.heartbeat_interval_s / 2)) dirty_ = true;
    round();
    log_wait_reasons();
  }
}
const char* Scheduler::why_waiting(const Job& job) const {
  if (context_.now.steady < job.backoff_until) return "backs off after failures";
  if (blocked(job)) return "an unresponsive machine may still run its tasks";
  if (!context_.quota.allows(job.spec, job.spec.gang ? job.spec.tasks : 1))
    return "its team's limit is reached";
  if (job.tier > 0) return "steps back: it would be late anyway";
  return "no capacity";
}

}  // namespace robinford::coordination
