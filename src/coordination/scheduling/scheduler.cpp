/// @file
/// Scheduler: construction, phases, the tick, and why jobs wait.
#include "coordination/scheduling/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/array_tiers.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;

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

Scheduler::Scheduler(ControllerContext& context, Election& election, const PeerVersions& versions,
                     Actions actions)
    : context_(context),
      election_(election),
      actions_(std::move(actions)),
      change_log_(context, election,
                  {[this](protocol::JobId id) { on_cancelled_elsewhere(id); },
                   [this](protocol::JobId id) { read_job(id); }, [this] { election_.guard_lost(); }}),
      lookup_(context, [this](protocol::JobId id) { on_cancelled_elsewhere(id); }),
      dependencies_(
          context, lookup_,
          {[this](Job& job) { release_waiting_job(job); }, [this](Job& job) { cancel_waiting_job(job); },
           [this](protocol::JobId id) { read_job(id); }}),
      arrivals_(context, run_times_),
      queue_order_(context, run_times_),
      survey_(context, arrivals_),
      placements_(context),
      unreconciled_(context),
      direct_(context, election, actions_.direct),
      machine_records_(context, election, versions),
      cancelled_work_(context) {}

void Scheduler::set_phase(LeaderPhase phase) {
  if (phase_ == phase) return;
  spdlog::info("leader phase: {} -> {} ({:.2f} s into term {})", to_text(phase_), to_text(phase),
               context_.now.steady - began_, election_.term());
  phase_ = phase;
  if (phase == LeaderPhase::kServing) serving_since_ = context_.now.steady;
}

std::string Scheduler::audit() {
  if (phase_ == LeaderPhase::kNone || phase_ == LeaderPhase::kLoading)
    return {};  // the sums begin when the ledger is read
  if (auto difference = placements_.audit(); !difference.empty()) return difference;
  const auto& machines = context_.machines.all();
  const auto unreconciled = std::count_if(machines.begin(), machines.end(),
                                          [](const auto& entry) { return entry.second.unreconciled; });
  if (static_cast<std::size_t>(unreconciled) == unreconciled_.count()) return {};
  return std::to_string(unreconciled) + " machines are unreconciled, the accounts say " +
         std::to_string(unreconciled_.count());
}

// The machine has proved what is on it, or that nothing of an earlier leader can be.
void Scheduler::mark_reconciled(Machine& machine) {
  if (unreconciled_.mark_reconciled(machine)) {
    round_wanted_ = true;
    queue_order_.mark_changed();
  }
}

void Scheduler::sort_queues() {
  queue_order_.sort();
  placements_.clear_array_unqueued();
}

void Scheduler::update_tiers() {
  if (context_.now.steady < next_tiers_) return;
  next_tiers_ = context_.now.steady + c::kTiersEveryS;
  dependencies_.inherit_priorities([this](const Job& job) { return queue_order_.expected_duration(job); });
  assign_array_tiers(context_, run_times_, queue_order_, survey_.supply_cpus());
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
    if (!dependencies_.release_states_known()) return;
    finish_loading();
  }
  direct_.refill_budget();
  if (phase_ == LeaderPhase::kReconciling && election_.valid() && reconciled()) {
    set_phase(LeaderPhase::kServing);
    round_wanted_ = true;
  }
  if (now >= next_watch_) {
    next_watch_ = now + c::kWatchEveryS;
    watch_machines();
  }
  send_stops();
  if (!election_.valid()) return;
  change_log_.tick();
  dependencies_.tick();
  direct_.send_planned_probes();
  machine_records_.write_due();
  if (now >= next_sweep_) {
    next_sweep_ = now + c::kSweepEveryS;
    unreconciled_.charge_quota_if_changed();
    sweep_jobs();
    change_log_.retry_deletions();
  }
  if (phase_ == LeaderPhase::kServing) {
    // Reservations expire and waits end by time alone, so a quiet moment needs rounds too.
    if (now - last_round_ > std::min(1.0, context_.settings.heartbeat_interval_s / 2)) round_wanted_ = true;
    round();
    log_wait_reasons();
  }
}
const char* Scheduler::why_waiting(const Job& job) const {
  if (context_.now.steady < job.backoff_until) return "backs off after failures";
  if (unreconciled_.may_hold_tasks_of(job)) return "an unresponsive machine may still run its tasks";
  if (!context_.quota.allows(job.spec, job.spec.gang ? job.spec.tasks : 1))
    return "its team's limit is reached";
  if (job.tier > 0) return "steps back: it would be late anyway";
  return "no capacity";
}

}  // namespace robinford::coordination
