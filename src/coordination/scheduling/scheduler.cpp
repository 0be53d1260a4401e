/// @file
/// Scheduler: construction, leader phases, periodic work, and the reasons for which jobs wait.
#include "coordination/scheduling/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/array_tiers.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::CapacityOutlook;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::WaitReason;

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
                   [this](protocol::JobId id) { read_job(id); }, [this] { election_.on_state_diverged(); }}),
      lookup_(context, {[this](protocol::JobId id) { on_cancelled_elsewhere(id); },
                        [this](protocol::JobId id) { on_accepted_job_found(id); }}),
      dependencies_(
          context, lookup_,
          {[this](Job& job) { release_waiting_job(job); }, [this](Job& job) { cancel_waiting_job(job); },
           [this](protocol::JobId id) { read_job(id); }}),
      arrivals_(context, run_times_),
      queue_order_(context, run_times_),
      capacity_survey_(context, arrivals_),
      placements_(context),
      unreconciled_(context),
      direct_commands_(context, election, actions_.direct),
      machine_records_(context, election, versions),
      cancelled_work_(context) {}

void Scheduler::set_phase(LeaderPhase phase) {
  if (phase_ == phase) return;
  spdlog::info("leader phase: {} -> {} ({:.2f} s into term {})", to_text(phase_), to_text(phase),
               context_.now.steady - term_began_at_, election_.term());
  phase_ = phase;
  if (phase == LeaderPhase::kServing) serving_since_ = context_.now.steady;
}

std::string Scheduler::audit() {
  if (phase_ == LeaderPhase::kNone || phase_ == LeaderPhase::kLoading)
    return {};  // the totals are kept from the end of loading on
  if (auto difference = placements_.audit(); !difference.empty()) return difference;
  const auto& machines = context_.machines.all();
  const auto unreconciled = std::count_if(machines.begin(), machines.end(),
                                          [](const auto& entry) { return entry.second.unreconciled; });
  if (static_cast<std::size_t>(unreconciled) == unreconciled_.count()) return {};
  return std::to_string(unreconciled) + " machines are unreconciled, but their counter says " +
         std::to_string(unreconciled_.count());
}

// Called when the machine's tasks are known: its heartbeat listed them, its lease has expired, or the machine
// is gone.
void Scheduler::mark_reconciled(Machine& machine) {
  if (unreconciled_.mark_reconciled(machine)) {
    round_requested_ = true;
    queue_order_.mark_changed();
  }
}

void Scheduler::sort_queues() {
  queue_order_.sort();
  placements_.clear_unqueued_array_task();
}

void Scheduler::update_tiers() {
  if (context_.now.steady < next_tier_update_) return;
  next_tier_update_ = context_.now.steady + c::kArrayTierIntervalS;
  dependencies_.inherit_priorities([this](const Job& job) { return queue_order_.min_duration_s(job); });
  assign_array_tiers(context_, run_times_, queue_order_, capacity_survey_.supply_cpus());
}

// ---------------------------------------------------------------- periodic work

// Determines why each active job with no run and no reservation waits, for the metrics, for answers to users
// and for the log, where a reason appears once for each change. A wait that no machine can end is logged at a
// higher level.
void Scheduler::update_wait_reasons() {
  if (context_.now.steady < next_wait_update_) return;
  next_wait_update_ = context_.now.steady + c::kWaitReasonLogIntervalS;
  std::map<WaitReason, int> jobs_by_reason;
  for (auto& [id, job] : context_.jobs.all()) {
    if (job->state != JobState::kActive || !job->runs.empty() || !job->reservations.empty()) {
      job->wait_reason.reset();
      continue;
    }
    const WaitReason reason = wait_reason(*job);
    ++jobs_by_reason[reason];
    if (std::exchange(job->wait_reason, reason) == reason) continue;
    spdlog::log(bookkeeping::needs_operator(reason) ? spdlog::level::info : spdlog::level::debug,
                "job {} waits: {}", name_of(*job), bookkeeping::to_text(reason));
  }
  for (const WaitReason reason : bookkeeping::kWaitReasons)
    context_.metrics.gauge_labelled("jobs_waiting", "reason", bookkeeping::label_of(reason),
                                    jobs_by_reason[reason]);
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
  direct_commands_.refill_budget();
  if (phase_ == LeaderPhase::kReconciling && election_.valid() && reconciling_is_over()) {
    set_phase(LeaderPhase::kServing);
    round_requested_ = true;
  }
  if (now >= next_liveness_check_) {
    next_liveness_check_ = now + c::kLivenessCheckIntervalS;
    check_machine_liveness();
  }
  send_stops();
  if (!election_.valid()) return;
  change_log_.tick();
  dependencies_.tick();
  direct_commands_.send_planned_probes();
  machine_records_.write_due();
  if (now >= next_job_sweep_) {
    next_job_sweep_ = now + c::kJobSweepIntervalS;
    unreconciled_.charge_quota_if_changed();
    sweep_jobs();
    change_log_.retry_deletions();
  }
  if (phase_ == LeaderPhase::kServing) {
    // Reservations and backoffs expire without any event, so rounds are also needed while nothing happens.
    if (now - last_round_ > std::min(1.0, context_.settings.heartbeat_interval_s / 2))
      round_requested_ = true;
    run_placement_round();
    update_wait_reasons();
  }
}

WaitReason Scheduler::wait_reason(const Job& job) const {
  const std::uint32_t tasks = job.spec.gang ? job.spec.tasks : 1;
  if (context_.now.steady < job.backoff_until || job.all_unplaced_delayed()) return WaitReason::kBackoff;
  if (unreconciled_.may_hold_tasks_of(job)) return WaitReason::kUnreconciled;
  if (!context_.quota.within_limit(job.spec, tasks)) return WaitReason::kOverLimit;
  if (!context_.quota.allows(job.spec, tasks)) return WaitReason::kQuota;
  if (job.outlook == CapacityOutlook::kImpossible) return WaitReason::kImpossible;
  if (job.outlook == CapacityOutlook::kRefused) return WaitReason::kCapacityRefused;
  return job.tier > 0 ? WaitReason::kTier : WaitReason::kNoCapacity;
}

}  // namespace robinford::coordination
