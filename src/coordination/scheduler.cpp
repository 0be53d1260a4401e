#include "coordination/scheduler.hpp"

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
    case LeaderPhase::kGathering:
      return "gathering";
    case LeaderPhase::kServing:
      return "serving";
  }
  return "?";
}

// By heartbeats a gang waits for two of them, one that confirms its holds and one whose answer launches. That
// is worth a connection for each launch where it takes a good part of the shortest start that users expect.
bool launches_directly(const protocol::Settings& settings) {
  double shortest = c::kDirectDefaultWaitS;
  for (const auto& objective : settings.objectives)
    if (objective.kind == "wait" || objective.kind == "guarantee")
      shortest = std::min(shortest, objective.within_s);
  return 2 * settings.heartbeat_interval_s * c::kHeartbeatJitter > shortest * c::kDirectWaitShare;
}

Scheduler::Scheduler(Core& core, Election& election, const PeerVersions& versions, Actions actions)
    : core_(core),
      election_(election),
      versions_(versions),
      actions_(std::move(actions)),
      change_log_(core, election,
                  {[this](protocol::JobId id) { on_cancelled_elsewhere(id); },
                   [this](protocol::JobId id) { read_job(id); }, [this] { election_.guard_lost(); }}),
      lookup_(core, [this](protocol::JobId id) { on_cancelled_elsewhere(id); }),
      dependencies_(
          core, lookup_,
          {[this](Job& job) { dependencies_done(job); }, [this](Job& job) { dependency_cancelled(job); },
           [this](protocol::JobId id) { read_job(id); }}),
      directly_(launches_directly(core.settings)),
      ask_budget_(
          std::max(c::kDirectLeast, core.settings.cpu_share * c::kDirectPerCore) * core.settings.count,
          std::max(c::kDirectLeast, core.settings.cpu_share * c::kDirectPerCore)) {}

void Scheduler::set_phase(LeaderPhase phase) {
  if (phase_ == phase) return;
  spdlog::info("leader phase: {} -> {} ({:.2f} s into term {})", to_text(phase_), to_text(phase),
               core_.now.steady - began_, election_.term());
  phase_ = phase;
  if (phase == LeaderPhase::kServing) serving_since_ = core_.now.steady;
}

// ---------------------------------------------------------------- running books

// How long the job waited until capacity of its team's limit was its own; not where another controller
// granted it before.
void Scheduler::note_grant(Job& job) {
  if (std::exchange(job.was_placed, true) || job.before || core_.quota.granted(job.spec.id)) return;
  core_.metrics.record(Metrics::Spread::kGrantWait, core_.now.steady - job.known_at);
}

void Scheduler::place_run(Job& job, std::uint32_t index, TaskRun run, Machine& machine) {
  job.take_task(index);
  job.runs.emplace(index, std::move(run));
  machine.tasks.insert({job.spec.id, index});
  machine.room_known = false;
  if (job.spec.gang) {
    ++machine.gang_tasks;
    machine.gang_cpus += job.spec.cpus;
  }
  note_grant(job);
  core_.quota.charge(job.spec, 1);
}

void Scheduler::drop_run(Job& job, std::uint32_t index) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (Machine* machine = core_.machines.find(found->second.machine)) {
    machine->tasks.erase({job.spec.id, index});
    machine->room_known = machine->offered = false;
    if (job.spec.gang) {
      --machine->gang_tasks;
      machine->gang_cpus -= job.spec.cpus;
    }
  }
  core_.quota.refund(job.spec, 1);
  job.runs.erase(found);
  dirty_ = true;
}

void Scheduler::give_back(Job& job, std::uint32_t index) {
  job.give_back(index);
  if (!job.queued) queues_dirty_ = true;
}

void Scheduler::add_hold(Job& job, Machine& machine) {
  const double now = core_.now.steady;
  job.holds.push_back(
      {machine.name, now, now + c::kReservationHeartbeats * core_.settings.heartbeat_interval_s, false});
  machine.holds.insert(job.spec.id);
  machine.room_known = false;
  machine.gang_cpus += job.spec.cpus;
  machine.idle_since = now;
  note_grant(job);
  core_.quota.charge(job.spec, 1);
}

void Scheduler::release_holds(Job& job) {
  for (const auto& hold : job.holds)
    if (Machine* machine = core_.machines.find(hold.machine)) {
      machine->holds.erase(job.spec.id);
      machine->room_known = machine->offered = false;
      machine->gang_cpus -= job.spec.cpus;
    }
  core_.quota.refund(job.spec, static_cast<std::uint32_t>(job.holds.size()));
  job.holds.clear();
  dirty_ = true;
}

void Scheduler::set_strays(Machine& machine, std::vector<TaskStatus> strays) {
  if (strays.empty() && machine.strays.empty()) return;
  core_.quota.refund_strays(machine);
  machine.strays = std::move(strays);
  machine.room_known = false;
  core_.quota.charge_strays(machine, core_.jobs);
  if (machine.strays.empty())
    stray_machines_.erase(machine.name);
  else
    stray_machines_.insert(machine.name);
}

// The machine has proved what is on it, or that nothing of an earlier leader can be.
void Scheduler::clear_unseen(Machine& machine) {
  if (!machine.unseen) return;
  machine.unseen = false;
  const auto found = unseen_.find(Kind{machine.type, machine.zone, machine.spot});
  if (found != unseen_.end() && --found->second <= 0) unseen_.erase(found);
  --unseen_total_;
  unseen_dirty_ = dirty_ = queues_dirty_ = true;
}

// Machines that have proved nothing yet may hold any unplaced task of the jobs that an earlier leader knew.
// Between two counts the sum can only be too high: tasks are adopted and machines seen, and no new task gets
// there.
void Scheduler::count_unseen() {
  unseen_dirty_ = false;
  std::map<std::string, bookkeeping::Usage> usage;
  if (unseen_total_ > 0) {
    for (const auto& [id, job] : core_.jobs.all()) {
      if (!job->before) continue;
      double cpus = 0, gpus = 0;
      for (const auto& [kind, count] : unseen_) {
        if (!kind_allowed(job->spec, std::get<0>(kind), std::get<1>(kind), std::get<2>(kind))) continue;
        const auto type = core_.types.find(std::get<0>(kind));
        cpus += type == core_.types.end() ? c::kAmountMax : type->second.cpus * count;
        gpus += type == core_.types.end() ? c::kAmountMax : type->second.gpus * count;
      }
      auto& used = usage[job->spec.team];
      used.cpus += std::min(cpus, job->unplaced() * job->spec.cpus);
      used.gpus += std::min(gpus, job->unplaced() * job->spec.gpus);
    }
  }
  core_.quota.set_unseen(std::move(usage));
}

std::string Scheduler::audit() {
  if (phase_ == LeaderPhase::kNone || phase_ == LeaderPhase::kLoading)
    return {};  // the books begin when the ledger is read
  const auto right = core_.quota.recount(core_.jobs, core_.machines);
  const auto& books = core_.quota.running();
  for (const auto& team : core_.settings.teams) {
    const auto a = right.find(team.name), b = books.find(team.name);
    const double want = a == right.end() ? 0 : a->second.cpus, have = b == books.end() ? 0 : b->second.cpus;
    if (std::abs(want - have) > 1e-4)
      return "team " + team.name + " uses " + std::to_string(want) + " cpus, the books say " +
             std::to_string(have);
  }
  std::size_t unseen = 0;
  for (auto& [name, machine] : core_.machines.all()) {
    unseen += machine.unseen ? 1 : 0;
    const Room counted = count_room(core_, machine);
    if (machine.room_known && machine.strays.empty() && std::abs(counted.cpus - machine.room.cpus) > 1e-4)
      return "machine " + name + " has " + std::to_string(counted.cpus) + " cpus free, the books say " +
             std::to_string(machine.room.cpus);
    double gangs = 0;
    for (const auto& task : machine.tasks)
      if (const Job* job = core_.jobs.find(task.job); job != nullptr && job->spec.gang)
        gangs += job->spec.cpus;
    for (const auto id : machine.holds)
      for (const auto& hold : core_.jobs.find(id)->holds)
        if (hold.machine == name) gangs += core_.jobs.find(id)->spec.cpus;
    if (std::abs(gangs - machine.gang_cpus) > 1e-4)
      return "machine " + name + ": gangs take " + std::to_string(gangs);
  }
  if (unseen != unseen_total_)
    return std::to_string(unseen) + " machines are unseen, the books say " + std::to_string(unseen_total_);
  for (const auto& [id, job] : core_.jobs.all())
    for (const auto& [index, run] : job->runs) {
      const Machine* machine = core_.machines.find(run.machine);
      if (machine == nullptr || !machine->tasks.contains({id, index}))
        return "a run of " + name_of(*job) + " is on no machine's list";
    }
  return {};
}

// ---------------------------------------------------------------- time

// One line whenever the reason changes for which a job with nothing placed waits.
void Scheduler::log_wait_reasons() {
  if (!spdlog::should_log(spdlog::level::debug) || core_.now.steady < next_tell_) return;
  next_tell_ = core_.now.steady + c::kLogWaitsEveryS;
  for (auto& [id, job] : core_.jobs.all()) {
    if (job->state != JobState::kActive || !job->runs.empty() || !job->holds.empty()) continue;
    const char* why = why_waiting(*job);
    if (job->logged_wait_reason == why) continue;
    job->logged_wait_reason = why;
    spdlog::debug("job {} waits: {}", name_of(*job), why);
  }
}
void Scheduler::tick() {
  const double now = core_.now.steady;
  if (phase_ == LeaderPhase::kNone) return;
  core_.writer.set_paused(!election_.valid());
  if (phase_ == LeaderPhase::kLoading) {
    if (!loading_dependencies_) return;
    dependencies_.tick();
    if (!dependencies_.release_decided()) return;
    loaded();
  }
  ask_budget_.refill(now);
  if (phase_ == LeaderPhase::kGathering && election_.valid() && gathered()) {
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
  ask_unseen();
  write_groups();
  if (now >= next_sweep_) {
    next_sweep_ = now + c::kSweepEveryS;
    if (unseen_dirty_) count_unseen();
    sweep_jobs();
    change_log_.delete_uncollected();
  }
  if (phase_ == LeaderPhase::kServing) {
    // Holds lapse and waits end by time alone, so a quiet moment needs rounds too.
    if (now - last_round_ > std::min(1.0, core_.settings.heartbeat_interval_s / 2)) dirty_ = true;
    round();
    log_wait_reasons();
  }
}
const char* Scheduler::why_waiting(const Job& job) const {
  if (core_.now.steady < job.backoff_until) return "backs off after failures";
  if (blocked(job)) return "a silent machine may still hold its tasks";
  if (!core_.quota.allows(job.spec, job.spec.gang ? job.spec.tasks : 1)) return "its team's limit is reached";
  if (job.tier > 0) return "steps back: it would be late anyway";
  return "no room";
}

}  // namespace robinford::coordination
