/// @file
/// Scheduler: reads and writes the durable records of jobs and handles the end of jobs.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::PendingRecordWrite;
using bookkeeping::RunState;
using bookkeeping::StateRead;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using bookkeeping::WritePriority;
using protocol::JobId;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

void Scheduler::write_job(Job& job) {
  bool whole = true;
  const auto limit = context_.settings.value_bytes() - c::kValueSlackBytes;
  auto record = JobLedger::record(job, limit, whole);
  job.pending_write = PendingRecordWrite{PendingRecordWrite::Kind::kProgress, 0};
  job.last_write = context_.now.steady;
  const auto write = context_.writer.submit(
      {WriteOp{JobLedger::live_key(job.spec.id), job.mod_revision, std::move(record)}},
      [this, id = job.spec.id, version = job.done_version, whole, generation = generation_](
          WriteOutcome outcome, std::uint64_t mod_revision) {
        if (generation != generation_) return;
        Job* job = context_.jobs.find(id);
        if (job == nullptr) return;
        job->pending_write.reset();
        if (outcome == WriteOutcome::kDone) {
          job->mod_revision = mod_revision;
          job->ready_on_record = true;
          if (whole) job->durable_version = version;
          write_final_record(*job);
        } else if (outcome == WriteOutcome::kConflict) {
          read_job(id);
        }
      },
      WritePriority::kBackground);
  if (job.pending_write) job.pending_write->id = write;
}

// Whether no write of the job's records has to be answered before its final state can be written.
bool Scheduler::may_write_final_record(Job& job) {
  if (!job.pending_write) return true;
  if (job.pending_write->kind != PendingRecordWrite::Kind::kProgress) return false;
  if (!context_.writer.withdraw(job.pending_write->id)) return false;
  job.pending_write.reset();
  return true;
}

void Scheduler::begin_completion(Job& job) {
  if (job.state != JobState::kActive) return;
  JobLedger::set_state(job, JobState::kCompleting);
  job.end_began_at = context_.now.steady;
  write_final_record(job);
}

void Scheduler::cancel(Job& job) {
  if (job.over()) return;
  // From here on no task of the job is started, even if the write fails.
  JobLedger::set_state(job, JobState::kCancelling);
  job.end_began_at = context_.now.steady;
  write_final_record(job);
}

// Writes the final record of a job that is completing or being cancelled. Called repeatedly until the write
// succeeds.
void Scheduler::write_final_record(Job& job) {
  if (job.state != JobState::kCompleting && job.state != JobState::kCancelling) return;
  if (!may_write_final_record(job)) return;
  const JobId id = job.spec.id;
  const FinalState state = job.state == JobState::kCompleting ? FinalState::kDone : FinalState::kCancelled;
  job.pending_write = PendingRecordWrite{PendingRecordWrite::Kind::kFinalState, 0};
  if (state == FinalState::kCancelled && job.cancelled_ms == 0) job.cancelled_ms = context_.now.wall_ms;
  // The live record of a completed job is deleted, as no task of it is left to run. The live record of a
  // cancelled job keeps its description until none of its tasks can be on any machine, so that a new leader
  // knows which tasks may still run and which team's quota they count against.
  WriteOp live{JobLedger::live_key(id), job.mod_revision, std::nullopt};
  if (state == FinalState::kCancelled) {
    bool whole = true;
    const auto limit = context_.settings.value_bytes() - c::kValueSlackBytes;
    live.value = JobLedger::cancelled_record(JobLedger::record(job, limit, whole), job.cancelled_ms);
  }
  const auto write = context_.writer.submit(
      {WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(state)}, std::move(live)},
      [this, id, state, generation = generation_](WriteOutcome outcome, std::uint64_t mod_revision) {
        if (generation != generation_) return;
        Job* job = context_.jobs.find(id);
        if (job == nullptr) return;
        job->pending_write.reset();
        job->last_final_outcome = outcome;
        if (outcome == WriteOutcome::kDone) {
          job->mod_revision = mod_revision;
          job->cancellation_marked = state == FinalState::kCancelled;
          finish_job(*job, state);
        } else if (outcome == WriteOutcome::kConflict)
          read_job(id);
      },
      WritePriority::kFinalState);
  if (job.pending_write) job.pending_write->id = write;
}

// Called for every way in which this controller learns that a cancellation is durable, and before the user
// who cancelled the job gets an answer, so that no later answer from this in-memory state predates the
// cancellation. Recording the final state alone would let the scheduler continue with the job. A degraded
// leader stops the tasks too, because their machines keep sending heartbeats to it. While the ledger is
// loading, the job is not finished here; settle_loaded_jobs finishes it afterwards.
void Scheduler::on_cancelled_elsewhere(JobId id) {
  const bool known = context_.jobs.final_state(id).has_value();
  context_.jobs.remember_final(id, FinalState::kCancelled);
  if (phase_ != LeaderPhase::kNone) dependencies_.finished(id, FinalState::kCancelled);
  if (!ledger_loaded()) return;
  Job* job = context_.jobs.find(id);
  if (job != nullptr) finish_job(*job, FinalState::kCancelled);
  // Reads the live record for its mod revision, which its later deletion needs.
  if (!known || (job != nullptr && !job->cancellation_marked)) read_job(id);
}

// A leader learns of each admission by the answer to its own write or by the change log. The job is added
// here as well, since a job that is called pending from its record alone would run only under another leader.
// The record is read again: the one that was found may have been read in an earlier term.
void Scheduler::on_accepted_job_found(JobId id) {
  if (!ledger_loaded() || context_.jobs.find(id) != nullptr || context_.jobs.final_state(id)) return;
  context_.metrics.count("jobs_found_by_record");
  spdlog::info("job {} is on record and not in the ledger: reading its record", protocol::job_id_text(id));
  read_job(id);
}

void Scheduler::read_job(JobId id) {
  // An open read may have been answered before the write that caused this call, so the record is read once
  // more afterwards. Otherwise a cancellation that is announced while the read for the admission is open
  // would be missed, and the job would stay pending.
  if (const auto open = open_job_reads_.find(id); open != open_job_reads_.end()) {
    open->second = OpenRead::kReadAgain;
    return;
  }
  open_job_reads_.emplace(id, OpenRead::kOnce);
  context_.state.read(JobLedger::live_key(id), [this, id, generation = generation_](const StateRead& read) {
    if (generation == generation_) on_live_record_read(id, read);
  });
}

void Scheduler::on_live_record_read(JobId id, const StateRead& read) {
  const OpenRead kind = open_job_reads_.at(id);
  open_job_reads_.erase(id);
  if (kind == OpenRead::kReadAgain) return read_job(id);
  if (read.found == StateRead::Found::kUnknown) {
    jobs_to_reread_.insert(id);  // retried by sweep_jobs, in case the state service is down
    return;
  }
  Job* job = context_.jobs.find(id);
  if (read.found != StateRead::Found::kYes) {
    if (job != nullptr) read_final_record(id);
  } else if (job != nullptr) {
    update_from_record(*job, read);
  } else {
    add_from_record(id, read);
  }
}

// Updates a job of the ledger from its live record.
void Scheduler::update_from_record(Job& job, const StateRead& read) {
  if (read.mod_revision < job.mod_revision) return;  // older than the known record
  const bool cancelled = JobLedger::is_cancelled(read.value);
  job.mod_revision = read.mod_revision;
  job.cancellation_marked = cancelled;
  if (cancelled) {
    job.cancelled_on_record = true;
    finish_job(job, FinalState::kCancelled);
  } else if (job.over() && job.final_state == FinalState::kCancelled) {
    // The job was cancelled through a dependency: only the dependency's record shows the cancellation.
    job.cancelled_on_record = job.state != JobState::kOver;
  }
  write_final_record(job);
}

// Adds to the ledger, from its live record, a job that another controller admitted.
void Scheduler::add_from_record(JobId id, const StateRead& read) {
  auto fresh = JobLedger::from_record(read.value, read.mod_revision, context_.now.steady);
  if (!fresh || (context_.jobs.final_state(id) && !fresh->over())) return;
  auto& job = context_.jobs.all()[id];
  job = std::move(fresh);
  if (job->state == JobState::kOver)
    context_.jobs.remember_final(id, job->final_state);  // cancelled before any of its tasks was placed
  else
    on_job_added(*job);
}

// Reads the final record of a job whose live record no longer exists.
void Scheduler::read_final_record(JobId id) {
  context_.state.read(JobLedger::final_key(id), [this, id, generation = generation_](const StateRead& read) {
    if (generation != generation_) return;
    Job* job = context_.jobs.find(id);
    if (job == nullptr) return;
    if (read.found != StateRead::Found::kYes) {
      jobs_to_reread_.insert(id);
      return;
    }
    const auto state = JobLedger::final_from_record(read.value);
    if (!state) return;
    job->cancelled_on_record = true;
    finish_job(*job, *state);
  });
}

void Scheduler::finish_job(Job& job, FinalState state) {
  if (job.state == JobState::kOver) return;
  // A final state that another controller has written would fail the transaction of the one queued here.
  if (job.pending_write && context_.writer.withdraw(job.pending_write->id)) job.pending_write.reset();
  JobLedger::set_state(job, JobState::kOver);
  job.final_state = state;
  context_.jobs.remember_final(job.spec.id, state);
  context_.metrics.count(state == FinalState::kDone ? "jobs_done" : "jobs_cancelled");
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug(
        "job {} ({}, {}) {} {:.1f} s after its submission, first task ran after {:.1f} s; {} tasks of {} "
        "cpus, estimate {:.0f} s, "
        "ran {:.0f} s on average, {:.0f} s left",
        name_of(job), job.spec.job_class, job.spec.team, bookkeeping::to_text(state),
        (context_.now.wall_ms - job.submitted_ms) / 1000.0,
        job.first_started_at > 0 ? job.first_started_at - job.known_at : -1.0, job.spec.tasks, job.spec.cpus,
        job.spec.estimate_s, job.run_time_count > 0 ? job.run_time_sum_s / job.run_time_count : 0.0,
        time_left(job));
  queue_order_.mark_changed();
  if (context_.on_job_final_state) context_.on_job_final_state(job.spec.id, state);
  dependencies_.finished(job.spec.id, state);
  placements_.release_reservations(job);
  std::vector<std::uint32_t> indices;
  for (const auto& [index, run] : job.runs) indices.push_back(index);
  for (const auto index : indices) {
    if (const auto& run = job.runs.at(index);
        state == FinalState::kCancelled && run.state != RunState::kPlanned)
      if (Machine* machine = context_.machines.find(run.machine))
        cancelled_work_.track(*machine, job, term_began_at_);
    stop_run(job, index, 0);
  }
  send_stops();
}

void Scheduler::record_arrival(const Job& job) {
  run_times_.record_estimate(job.spec);
  arrivals_.record(job, time_left(job));
}

void Scheduler::on_job_added(Job& job) {
  if (job.state == JobState::kWaiting)
    dependencies_.track(job);
  else
    record_arrival(job);
  round_requested_ = true;
  queue_order_.mark_changed();
}

// Releases a job whose dependencies are all done. Its waiting time counts from here; its deadline does not
// change.
void Scheduler::release_waiting_job(Job& job) {
  JobLedger::set_state(job, JobState::kActive);
  job.spec.dependencies.clear();
  job.ready_ms = context_.now.wall_ms;
  job.ready_on_record = false;
  job.known_at = context_.now.steady;
  context_.metrics.count("jobs_released");
  round_requested_ = true;
  queue_order_.mark_changed();
  if (phase_ != LeaderPhase::kLoading) record_arrival(job);
}

// Cancels a job because one of its dependencies was cancelled. The record of that dependency already implies
// this; a final record of the job itself, which makes the cancellation cheap to look up, is written later.
void Scheduler::cancel_waiting_job(Job& job) {
  if (job.over()) return;
  job.cancelled_on_record = false;
  finish_job(job, FinalState::kCancelled);
}

// Writes the final record of a job that was cancelled through a dependency and deletes its live record. No
// task of the job was ever placed, so no leader needs its description.
void Scheduler::write_derived_cancellation(Job& job) {
  const JobId id = job.spec.id;
  job.pending_write = PendingRecordWrite{PendingRecordWrite::Kind::kFinalState, 0};
  context_.writer.submit(
      {WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kCancelled)},
       WriteOp{JobLedger::live_key(id), job.mod_revision, std::nullopt}},
      [this, id, generation = generation_](WriteOutcome outcome, std::uint64_t) {
        if (generation != generation_) return;
        Job* job = context_.jobs.find(id);
        if (job == nullptr) return;
        job->pending_write.reset();
        if (outcome == WriteOutcome::kDone)
          job->cancelled_on_record = true;
        else if (outcome == WriteOutcome::kConflict)
          read_job(id);
      },
      WritePriority::kBackground);
}

// Writes the record of a job that was just released, or the progress of a job. A progress record only saves
// the next leader work, so that write waits until few others are queued.
void Scheduler::write_job_if_due(Job& job) {
  if (job.state != JobState::kActive || job.pending_write) return;
  if (!job.ready_on_record) return write_job(job);
  if (job.durable_version < job.done_version &&
      context_.now.steady - job.last_write > c::kProgressWriteIntervalS &&
      context_.writer.waiting() < c::kBackgroundWriteQueueMax)
    write_job(job);
}

// Returns whether a machine reports tasks of the job that match no run, or may still hold tasks of the job
// after its cancellation.
bool Scheduler::has_remaining_tasks(JobId id) {
  return placements_.has_unknown_tasks_of(id) || cancelled_work_.may_remain(id);
}

// Retries unanswered reads and final records, writes progress and the final records of jobs cancelled through
// a dependency, and erases jobs of which no task is left. The record of a cancelled job is kept for the next
// leader while a machine may still hold its tasks.
void Scheduler::sweep_jobs() {
  for (const auto id : std::exchange(jobs_to_reread_, {})) read_job(id);
  std::vector<JobId> gone;
  final_state_watch_.begin_sweep(context_.now.steady);
  for (auto& [id, job] : context_.jobs.all()) {
    final_state_watch_.visit(*job);
    write_final_record(*job);
    write_job_if_due(*job);
    if (!job->delayed.empty()) placements_.requeue_delayed_tasks(*job);
    if (job->state != JobState::kOver || job->pending_write) continue;
    if (!job->cancelled_on_record) {
      write_derived_cancellation(*job);
      continue;
    }
    if (job->runs.empty() && job->reservations.empty() && !unreconciled_.may_hold_tasks_of(*job) &&
        !has_remaining_tasks(id))
      gone.push_back(id);
  }
  final_state_watch_.end_sweep(election_.term(), context_.metrics);
  if (gone.empty()) return;
  std::erase_if(waiting_gangs_, [](const Job* job) { return job->over(); });
  sort_queues();
  for (const auto id : gone) {
    Job& job = *context_.jobs.find(id);
    if (job.cancellation_marked)
      context_.writer.submit(
          {WriteOp{JobLedger::live_key(id), job.mod_revision, std::nullopt}}, [](auto, auto) {},
          WritePriority::kBackground);
    context_.jobs.erase(id);
  }
}

}  // namespace robinford::coordination
