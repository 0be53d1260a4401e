/// @file
/// Scheduler: before it places any task, a new leader loads the ledger and waits, for a bounded time, until
/// the machines of earlier leaders have reported their tasks or failed to answer a probe.
/// docs/design.md, section "What was added", "Records" and "Questions".
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace json = boost::json;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using protocol::JobId;

void Scheduler::begin() {
  ++generation_;
  machine_records_.reset();
  term_began_at_ = context_.now.steady;
  first_launch_seen_ = false;
  attempt_counter_ = 0;
  context_.jobs.clear();
  context_.machines.clear();
  context_.quota.clear();
  early_heartbeats_.clear();
  waiting_gangs_.clear();
  open_job_reads_.clear();
  jobs_to_reread_.clear();
  cancelled_work_.clear();
  dependencies_.clear();
  loading_dependencies_ = false;
  queue_order_.clear();
  machines_with_pending_stops_.clear();
  placements_.clear();
  unreconciled_.clear();
  direct_commands_.clear();
  withheld_quota_cpus_.clear();
  capacity_survey_.expire();
  round_requested_ = true;
  next_liveness_check_ = 0;
  next_job_sweep_ = 0;
  next_tier_update_ = 0;
  context_.writer.set_guard(bookkeeping::kLeaderKey, election_.mod_revision(),
                            [this] { election_.on_state_diverged(); });
  set_phase(LeaderPhase::kLoading);
  load_change_log();
}

void Scheduler::end() {
  ++generation_;
  machine_records_.reset();
  change_log_.end();
  context_.writer.clear_guard();
  for (const auto& waiting : early_heartbeats_) actions_.answer(waiting.key, 421, {});
  early_heartbeats_.clear();
  waiting_gangs_.clear();
  queue_order_.clear();
  direct_commands_.clear();
  context_.jobs.clear();
  context_.machines.clear();
  context_.quota.clear();
  dependencies_.clear();
  loading_dependencies_ = false;
  set_phase(LeaderPhase::kNone);
}

void Scheduler::retry_load(std::function<void()> again) {
  // Probes the state service with a cheap read, and repeats the failed step once the service is reachable or
  // the read took longer than kLedgerReadRetryS. The leader lease bounds how long the retries continue.
  const double since = context_.now.steady;
  context_.state.read(
      bookkeeping::kTermKey,
      [this, again = std::move(again), since, generation = generation_](const bookkeeping::StateRead&) {
        if (generation != generation_ || phase_ != LeaderPhase::kLoading) return;
        if (context_.now.steady - since > c::kLedgerReadRetryS ||
            context_.state.reachable(context_.now.steady))
          again();
        else
          retry_load(again);
      },
      bookkeeping::StateClient::Urgency::kFirst);
}

void Scheduler::load_change_log() {
  change_log_.begin([this](bool read) {
    if (!read) return retry_load([this] { load_change_log(); });
    load_jobs("");
  });
}

void Scheduler::load_jobs(const std::string& after) {
  context_.state.list(
      bookkeeping::kLiveJobPrefix, after,
      [this, after, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
        if (generation != generation_) return;
        if (!page) return retry_load([this, after] { load_jobs(after); });
        for (const auto& item : page->items) {
          auto job = JobLedger::from_record(item.value, item.mod_revision, context_.now.steady);
          if (!job) {
            spdlog::error("malformed record {}", item.key);
            continue;
          }
          const JobId id = job->spec.id;
          job->before = true;
          context_.jobs.all()[id] = std::move(job);
        }
        if (page->more && !page->items.empty()) return load_jobs(page->items.back().key);
        load_machines("");
      });
}

void Scheduler::load_machines(const std::string& after) {
  context_.state.list(
      bookkeeping::kMachinePrefix, after,
      [this, after, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
        if (generation != generation_) return;
        if (!page) return retry_load([this, after] { load_machines(after); });
        for (const auto& item : page->items) {
          const std::string group = item.key.substr(std::string(bookkeeping::kMachinePrefix).size());
          if (!context_.machines.read_group(group, item.mod_revision, item.value, context_.now.steady,
                                            election_.unanswered_recorded_since_term()))
            spdlog::error("malformed record {}", item.key);
        }
        if (page->more && !page->items.empty()) return load_machines(page->items.back().key);
        load_catalog();
      });
}

void Scheduler::load_catalog() {
  if (!context_.types.empty()) return load_dependencies();
  context_.state.read(
      bookkeeping::kCatalogKey,
      [this, generation = generation_](const bookkeeping::StateRead& read) {
        if (generation != generation_) return;
        if (read.found == bookkeeping::StateRead::Found::kYes)
          if (const auto types = protocol::parse_catalog(json::serialize(read.value)))
            for (const auto& type : *types) context_.types[type.name] = type;
        load_dependencies();
      },
      bookkeeping::StateClient::Urgency::kFirst);
}

// A waiting job whose dependencies are all done may already have been released and launched by an earlier
// leader. Whether that is possible must be known before the first heartbeat is processed, or the job's tasks
// would be stopped as unknown. `tick` finishes the loading once it is known for every waiting job.
void Scheduler::load_dependencies() {
  std::vector<Job*> waiting;
  for (auto& [id, job] : context_.jobs.all())
    if (job->state == JobState::kWaiting) waiting.push_back(job.get());
  for (Job* job : waiting)
    if (job->state == JobState::kWaiting) dependencies_.track(*job);
  if (dependencies_.release_states_known()) return finish_loading();
  loading_dependencies_ = true;
}

// The ledger is loaded: determines what earlier leaders may have left running and starts to reconcile.
void Scheduler::finish_loading() {
  loading_dependencies_ = false;
  list_unreconciled_machines();
  settle_loaded_jobs();
  unreconciled_.charge_quota();
  track_previously_cancelled_jobs();
  context_.cancellations.on_change_log_read_finished(election_.last_renewal_sent_at());
  const double round =
      context_.settings.heartbeat_interval_s * c::kHeartbeatJitterFactor + c::kHeartbeatRoundSlackS;
  reconcile_until_ =
      context_.now.steady + (unreconciled_.count() > 0 ? round : std::min(round, c::kEmptyFleetReconcileS));
  spdlog::info("ledger read: {} jobs, {} machines, {:.1f} s into term {}", context_.jobs.all().size(),
               context_.machines.all().size(), context_.now.steady - term_began_at_, election_.term());
  set_phase(LeaderPhase::kReconciling);
  const auto early = std::exchange(early_heartbeats_, {});
  for (const auto& waiting : early) heartbeat(waiting.key, waiting.heartbeat);
}

// Registers the machines of earlier leaders as unreconciled, unless their record shows since when they are
// unanswered and their lease has therefore certainly expired. Plans probes of those with a known address.
void Scheduler::list_unreconciled_machines() {
  for (auto& [name, machine] : context_.machines.all()) {
    set_capacity_from_catalog(machine);
    if (machine.unanswered_since_ms && context_.now.steady > lease_expired_by(machine))
      machine.unreconciled = false;
    if (!machine.unreconciled) continue;
    unreconciled_.add(machine);
    if (!machine.addr.empty()) direct_commands_.plan_probe(name);
  }
}

// Finishes jobs that ended while the ledger was loaded, completes those whose tasks are all done, and records
// the arrival of the other active ones.
void Scheduler::settle_loaded_jobs() {
  for (auto& [id, job] : context_.jobs.all()) {
    // Another controller may have cancelled the job just after the list was read.
    if (const auto state = context_.jobs.final_state(id); state && !job->over()) {
      finish_job(*job, *state);
      read_job(id);
    }
    if (job->state == JobState::kActive && job->done_count == job->spec.tasks) begin_completion(*job);
    if (job->state == JobState::kActive) record_arrival(*job);
  }
}

// An unreconciled machine may hold tasks of jobs that were cancelled under an earlier leader. So may a
// machine whose heartbeats are not answered, even after its lease has expired: a hung machine does not stop
// its tasks.
void Scheduler::track_previously_cancelled_jobs() {
  for (const auto& [id, job] : context_.jobs.all()) {
    if (job->state != JobState::kOver || job->final_state != bookkeeping::FinalState::kCancelled) continue;
    for (auto& [name, machine] : context_.machines.all())
      if ((machine.unreconciled || machine.unanswered_since_ms) &&
          kind_allowed(job->spec, machine.type, machine.zone, machine.spot))
        cancelled_work_.track(machine, *job, term_began_at_);
  }
}

// Returns whether the round of heartbeats is complete: every machine that an earlier leader may have used has
// reported its tasks or failed to answer a probe, and some machine has reported, or the time for the round is
// over.
bool Scheduler::reconciling_is_over() {
  const double now = context_.now.steady;
  if (now >= reconcile_until_) return true;
  if (now < next_reconcile_check_) return false;
  next_reconcile_check_ = now + c::kReconcileCheckIntervalS;
  bool any = false;
  for (const auto& [name, machine] : context_.machines.all()) {
    // One unanswered probe is enough: waiting for an unresponsive machine brings no information, and jobs
    // that may have tasks on it stay blocked until it is reconciled.
    if (machine.unreconciled && machine.probe_failures == 0) return false;
    any = any || machine.showed_token;
  }
  return any;
}

void Scheduler::set_capacity_from_catalog(Machine& machine) {
  const auto found = context_.types.find(machine.type);
  if (found == context_.types.end()) return;
  machine.cpus = found->second.cpus;
  machine.gpus = found->second.gpus;
  machine.memory_gb = found->second.memory_gb;
  machine.free_resources_known = false;
}

}  // namespace robinford::coordination
