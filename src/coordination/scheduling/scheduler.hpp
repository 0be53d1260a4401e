/// @file
/// The leader's scheduler. Its members are implemented in leader/ (recovery, heartbeats, direct commands,
/// failures, machine liveness, job records) and in scheduling/ (gangs, arrays, preemption).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "constants.hpp"
#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/leader/cancelled_work.hpp"
#include "coordination/leader/change_log.hpp"
#include "coordination/leader/dependencies.hpp"
#include "coordination/leader/direct_commands.hpp"
#include "coordination/leader/final_state_watch.hpp"
#include "coordination/leader/machine_record_writer.hpp"
#include "coordination/routing/job_lookup.hpp"
#include "coordination/scheduling/arrival_history.hpp"
#include "coordination/scheduling/capacity_survey.hpp"
#include "coordination/scheduling/eligibility.hpp"
#include "coordination/scheduling/placement.hpp"
#include "coordination/scheduling/placements.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/run_times.hpp"
#include "coordination/scheduling/unreconciled_machines.hpp"
#include "protocol/task_list.hpp"

namespace robinford::coordination {

/// Progress of a new leader until it places work. docs/design.md, section "States".
enum class LeaderPhase : std::uint8_t {
  kNone,         // this controller is not the leader
  kLoading,      // reads the durable records of jobs and machines
  kReconciling,  // waits, for a limited time, for heartbeats of the machines on record
  kServing,      // places and launches work
};
const char* to_text(LeaderPhase phase);

/// Processes heartbeats, decides which task runs on which machine, and answers with commands. Components with
/// their own state (arrival history, queue order, placements, unreconciled machines, direct commands, machine
/// records, cancelled work) are members; this class makes the decisions that involve several of them.
///
/// The jobs, machines and placements in memory are valid for one term of leadership: `begin` discards them
/// and loads the durable records from the state service, and `end` discards them. Run times and the arrival
/// history are kept across terms. Times are seconds on the steady clock unless a name ends in `_ms` (time of
/// day). docs/design.md, section "States", names the state machines.
class Scheduler {
 public:
  /// Callbacks that send heartbeat answers and direct commands. Neither may call into the scheduler before it
  /// returns.
  struct Actions {
    /// Answers the heartbeat request identified by `key`.
    std::function<void(std::uint64_t key, int status, std::vector<protocol::Command> commands)> answer;
    std::function<void(const DirectCall& call)> direct;
  };
  /// The references must outlive the scheduler.
  Scheduler(ControllerContext& context, Election& election, const PeerVersions& versions, Actions actions);

  /// Called when this controller was elected: discards the state of earlier terms and loads the durable
  /// records.
  void begin();
  /// Called when this controller stops leading: answers the heartbeats that are held back and discards the
  /// state of the term.
  void end();
  /// Runs the periodic work that is due.
  void tick();
  /// Processes a worker's heartbeat and answers it. While the durable records are loading, a limited number
  /// of heartbeats is held back until they are loaded; further ones are answered at once with status 503.
  void heartbeat(std::uint64_t key, const protocol::Heartbeat& heartbeat);
  /// Processes a heartbeat whose content equals that of the heartbeat `base_seq`; only its own sequence
  /// number `seq` differs. Returns false and changes nothing if the content has to be examined: the in-memory
  /// state does not reflect `base_seq`, `fencing_token` is not that of this term, the durable record may say
  /// that the machine is not answered, or the machine has a launch in flight or other open work. The caller
  /// then needs the whole heartbeat.
  bool unchanged_heartbeat(std::uint64_t key, const std::string& machine, std::uint64_t agent_epoch,
                           std::uint64_t seq, std::uint64_t fencing_token, std::uint64_t base_seq);
  /// Processes the answer to the direct command `id`. `status` is 0 if no answer with status 200 or 409 came.
  /// `heartbeat` is null if the answer contained no valid heartbeat, or if there was no such answer.
  void handle_direct_answer(std::uint64_t id, int status, const protocol::Heartbeat* heartbeat);

  LeaderPhase phase() const { return phase_; }
  /// When this controller last entered the serving phase; 0 if it never did.
  double serving_since() const { return serving_since_; }
  ChangeLog& change_log() { return change_log_; }
  JobLookup& lookup() { return lookup_; }
  /// Whether the outcome of every dependency is known; only then may answers about waiting jobs come from
  /// memory.
  bool dependencies_settled() const { return dependencies_.all_states_known(); }
  /// Whether the job ledger of this term is loaded. From then on every accepted job has to be in it, also
  /// while the lease is in doubt: the lease may be renewed in the same term, and the records are not read
  /// again.
  bool ledger_loaded() const {
    return phase_ == LeaderPhase::kReconciling || phase_ == LeaderPhase::kServing;
  }
  /// Whether answers about jobs may come from the in-memory state: this controller leads and has loaded all
  /// durable records.
  bool knows_all_jobs() const { return election_.valid() && ledger_loaded(); }
  /// Whether work may be launched: this controller leads, is serving (each machine on record has reported its
  /// tasks or failed to answer a probe, or the time for that is over), and knows all announced cancellations.
  bool may_place() const {
    return election_.valid() && phase_ == LeaderPhase::kServing && election_.caught_up_on_cancellations();
  }

  /// Called when an admitted job was added to the job ledger.
  void on_job_added(bookkeeping::Job& job);
  /// Called when the job's final state is settled: this or another controller wrote the final record, or a
  /// dependency was cancelled. Stops all runs of the job; none may start any more.
  void finish_job(bookkeeping::Job& job, bookkeeping::FinalState state);
  /// Cancels the job at a user's request: no task of it starts from now on, and its final record is written.
  void cancel(bookkeeping::Job& job);
  /// Called when all dependencies of the job are durably done: the job becomes eligible for placement.
  void release_waiting_job(bookkeeping::Job& job);
  /// Called when a dependency of the job is durably cancelled: the job is cancelled as well.
  void cancel_waiting_job(bookkeeping::Job& job);
  /// Reads the job's durable record, which another controller may have written.
  void read_job(protocol::JobId id);
  /// Called when the job is known to have a live record. A leader without the job in its ledger reads the
  /// record and adds the job.
  void on_accepted_job_found(protocol::JobId id);
  /// Called when another controller made the cancellation of the job durable.
  void on_cancelled_elsewhere(protocol::JobId id);

  /// Called when the cloud lists no machines and the machine ledger is empty: ends the reconciling phase,
  /// since there is no machine to wait for.
  void on_cloud_empty() {
    if (phase_ == LeaderPhase::kReconciling && unreconciled_.count() == 0)
      reconcile_until_ = context_.now.steady;
  }
  /// Called when the cloud confirmed that the machine no longer exists.
  void on_machine_gone(bookkeeping::Machine& machine);
  /// Sets the machine's capacity from the catalog if its type is listed there.
  void set_capacity_from_catalog(bookkeeping::Machine& machine);
  /// Steady time after which the machine's lease has certainly expired, whichever controller answered its
  /// last heartbeat.
  double lease_expired_by(const bookkeeping::Machine& machine) const;
  /// Latest steady time at which any controller can have answered a heartbeat of the machine, or at which its
  /// agent epoch became known here, if that is later: a lease starts with the epoch.
  double last_answer_at(const bookkeeping::Machine& machine) const;
  /// Records durably that the heartbeats of an unresponsive machine are no longer answered, once
  /// `kUnansweredLeaseShare` of a lease has passed since its last possible answer.
  void stop_answering(bookkeeping::Machine& machine);
  /// Whether the machine has been unresponsive for long enough to be returned to the cloud.
  bool unresponsive_too_long(const bookkeeping::Machine& machine) const;
  const RunTimes& run_times() const { return run_times_; }
  /// Seconds until the job should be over; negative if it is late (see `QueueOrder::time_left`).
  double time_left(const bookkeeping::Job& job) const { return queue_order_.time_left(job); }
  /// `kept_for_gangs`, `typical_gang`, `gang_rate` and `array_load` are forwarded to `ArrivalHistory`, for
  /// the components that scale the fleet.
  bool kept_for_gangs(const bookkeeping::Machine& machine) const { return arrivals_.kept_for_gangs(machine); }
  const protocol::JobSpec* typical_gang() const { return arrivals_.typical_gang(); }
  double gang_rate() const { return arrivals_.gang_machines_per_second(); }
  double array_load(double boot_s) const { return arrivals_.array_cores(boot_s); }
  /// Whether gang tasks are placed on the machine, or capacity is reserved there for a gang.
  static bool has_gang(const bookkeeping::Machine& machine) { return coordination::has_gang(machine); }
  /// Stops all runs on the machine, and all other tasks of gangs that have one there. Tasks with checkpoints
  /// get time to save one.
  void stop_machine_tasks(bookkeeping::Machine& machine, const char* why);
  /// Gangs that were waiting for capacity after the last placement round.
  const std::vector<bookkeeping::Job*>& waiting_gangs() const { return waiting_gangs_; }
  /// Number of machines that were recorded under an earlier leader and whose tasks this leader does not know
  /// yet.
  std::size_t unreconciled_machines() const { return unreconciled_.count(); }
  /// Compares the incrementally updated totals with a full recount, for tests. Returns a description of the
  /// first difference, or an empty string.
  std::string audit();

 private:
  enum class HeartbeatSource : std::uint8_t {
    // Sent by the worker on its own schedule: it has received or given up the answer to its previous
    // heartbeat.
    kWorker,
    // Part of the answer to a direct command: a launch in the answer to the previous heartbeat may still be
    // in flight.
    kDirectAnswer,
  };
  enum class LaunchPath : std::uint8_t { kHeartbeatAnswer, kDirectCommand };
  enum class StopMode : std::uint8_t {
    kGraceful,  // tasks with checkpoints get time to save one
    kImmediate,
  };

  void record_arrival(const bookkeeping::Job& job);
  void set_phase(LeaderPhase phase);
  // ---- loading ----
  void load_change_log();
  void load_jobs(const std::string& after);
  void load_machines(const std::string& after);
  void load_catalog();
  void retry_load(std::function<void()> again);
  void load_dependencies();
  void finish_loading();
  void list_unreconciled_machines();
  void settle_loaded_jobs();
  void track_previously_cancelled_jobs();
  bool reconciling_is_over();
  // ---- heartbeats ----
  bool answer_reset_machine(std::uint64_t key, const protocol::Heartbeat& heartbeat);
  bool authorize_heartbeat(std::uint64_t key, std::uint64_t fencing_token);
  void record_stale_term_heartbeat(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void record_liveness(bookkeeping::Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq);
  void apply_heartbeat(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat,
                       HeartbeatSource source);
  struct HeartbeatContext {
    bool agent_restarted;  // the machine's agent restarted since its last heartbeat
    HeartbeatSource source;
  };
  void on_agent_restart(bookkeeping::Machine& machine);
  void update_machine_attributes(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void handle_missing_run(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                          const HeartbeatContext& context);
  std::set<protocol::TaskId> record_listed_results(const protocol::TaskList& listed);
  std::vector<const protocol::TaskStatus*> apply_to_runs(bookkeeping::Machine& machine,
                                                         const protocol::TaskList& listed,
                                                         const HeartbeatContext& heartbeat_context);
  void settle_results(const std::set<protocol::TaskId>& new_results);
  void update_reported_run(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                           const protocol::TaskStatus& task);
  void on_run_started(bookkeeping::Machine& machine, bookkeeping::Job& job, bookkeeping::TaskRun& run);
  void confirm_reservations(bookkeeping::Machine& machine);
  void serve_machine(std::uint64_t key, bookkeeping::Machine& machine);
  void answer_heartbeat(bookkeeping::Machine& machine, std::uint64_t key);
  void handle_task_exit(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                        const protocol::TaskStatus& task);
  void handle_task_success(bookkeeping::Machine& machine, bookkeeping::Job& job,
                           const bookkeeping::TaskRun& run);
  void delay_next_attempt(bookkeeping::Machine& machine, bookkeeping::Job& job, protocol::ExitReason reason);
  void record_result(bookkeeping::Job& job, std::uint32_t index);
  void handle_unmatched_task(bookkeeping::Machine& machine, const protocol::TaskStatus& task);
  void queue_clear_command(bookkeeping::Machine& machine, const protocol::TaskStatus& task);
  std::vector<protocol::Command> commands_for(bookkeeping::Machine& machine);
  void drop_lost_run(bookkeeping::Job& job, std::uint32_t index, const char* why);
  void drop_machine_tasks(bookkeeping::Machine& machine, const char* why);
  void record_failure(bookkeeping::Machine& machine, bookkeeping::Job& job);
  void record_undelivered(bookkeeping::Machine& machine, int by);
  void probe_if_suspect(bookkeeping::Machine& machine);
  void cordon(bookkeeping::Machine& machine, const char* why);
  void mark_reconciled(bookkeeping::Machine& machine);
  // ---- placement ----
  void update_tiers();
  void sort_queues();
  bool can_place_array_task(const bookkeeping::Job& job, const bookkeeping::Machine& machine,
                            const Resources& free);
  struct QueueCursor;
  bool advance_to_fitting_array(QueueCursor& cursor, const bookkeeping::Machine& machine,
                                const Resources& free);
  bool open_to_arrays(bookkeeping::Machine& machine);
  std::uint32_t place_arrays(bookkeeping::Machine& machine);
  void place_arrays_directly();
  bool take_round_request();
  void run_placement_round();
  struct GangRound;
  void advance_gangs();
  void place_waiting_gangs();
  bool try_place_gang(bookkeeping::Job& job, GangRound& round);
  void withhold_quota_for_waiting_gangs();
  std::vector<Offer> offers_for(const bookkeeping::Job& job, const std::vector<Offer>& open);
  bool reserve_for_gang(bookkeeping::Job& job, std::vector<Offer>& open);
  struct PreemptionOption;
  bool has_reserved_machine(const bookkeeping::Job& job) const;
  std::optional<PreemptionOption> preemption_option(const bookkeeping::Job& job,
                                                    bookkeeping::Machine& machine);
  void preempt(const bookkeeping::Job& job, const PreemptionOption& option);
  static std::string zone_to_preempt_in(const bookkeeping::Job& job, const SlotsByZone& free_slots,
                                        const std::vector<PreemptionOption>& options);
  static std::vector<const PreemptionOption*> select_preemptions(
      const bookkeeping::Job& job, const SlotsByZone& free_slots,
      const std::vector<PreemptionOption>& options);
  void preempt_for(const bookkeeping::Job& job);
  void free_quota_for(bookkeeping::Job& job);
  void claim_machines(const bookkeeping::Job& job);
  void launch_gang(bookkeeping::Job& job);
  void advance_gang(bookkeeping::Job& job);
  void stop_gang(bookkeeping::Job& job, StopMode mode, const char* why);
  void stop_run(bookkeeping::Job& job, std::uint32_t index, double grace_s);
  void plan_run(bookkeeping::Job& job, std::uint32_t index, bookkeeping::Machine& machine,
                std::uint64_t attempt);
  std::uint64_t next_attempt() {
    return (election_.term() << constants::kAttemptCounterBits) | ++attempt_counter_;
  }
  // ---- direct commands ----
  void direct_command_failed(bookkeeping::Machine& machine);
  void direct_command_answered(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void return_reset_machine(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void isolate_reset_machine(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  static bool may_launch_task(const bookkeeping::Job& job, std::uint32_t index);
  bool shows_reset(const bookkeeping::Machine& machine, std::uint64_t agent_epoch,
                   const protocol::TaskList& listed);
  void requeue_gangs_reserving_on(bookkeeping::Machine& machine);
  void advance_gangs_reserving_on(bookkeeping::Machine& machine);
  void launch_directly(bookkeeping::Machine& machine);
  void send_stops();
  // ---- durable records ----
  void on_live_record_read(protocol::JobId id, const bookkeeping::StateRead& read);
  void update_from_record(bookkeeping::Job& job, const bookkeeping::StateRead& read);
  void add_from_record(protocol::JobId id, const bookkeeping::StateRead& read);
  void read_final_record(protocol::JobId id);
  void write_job(bookkeeping::Job& job);
  void write_derived_cancellation(bookkeeping::Job& job);
  void write_job_if_due(bookkeeping::Job& job);
  bool has_remaining_tasks(protocol::JobId id);
  void begin_completion(bookkeeping::Job& job);
  bool may_write_final_record(bookkeeping::Job& job);
  void write_final_record(bookkeeping::Job& job);
  void sweep_jobs();
  void check_machine_liveness();
  void detect_missed_heartbeats(bookkeeping::Machine& machine);
  void return_if_cancelled_work_overdue(bookkeeping::Machine& machine);
  bool check_unanswered_launches(bookkeeping::Machine& machine);
  void handle_expired_lease(bookkeeping::Machine& machine, bool has_open_launch);
  void update_wait_reasons();
  bookkeeping::WaitReason wait_reason(const bookkeeping::Job& job) const;
  void record_launch(bookkeeping::Job& job, std::uint32_t index);
  void mark_launched(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                     LaunchPath path);

  ControllerContext& context_;
  Election& election_;
  Actions actions_;
  ChangeLog change_log_;
  JobLookup lookup_;
  Dependencies dependencies_;
  LeaderPhase phase_ = LeaderPhase::kNone;
  // Increases at the start and end of each term. Asynchronous calls capture it, so that an answer that
  // arrives after the term in which the call was made is ignored.
  std::uint64_t generation_ = 0;
  double term_began_at_ = 0;
  double serving_since_ = 0;
  double reconcile_until_ = 0;
  double next_reconcile_check_ = 0;
  double last_round_ = 0;
  double next_liveness_check_ = 0;
  double next_job_sweep_ = 0;
  double next_wait_update_ = 0;
  bool round_requested_ = false;       // since the last round, something changed that may let a gang start
  bool loading_dependencies_ = false;  // loading, and only the outcome of some dependencies is still unknown
  bool first_launch_seen_ = false;
  std::uint64_t attempt_counter_ = 0;
  struct EarlyHeartbeat {
    std::uint64_t key;  // identifies the request to answer
    protocol::Heartbeat heartbeat;
  };
  std::vector<EarlyHeartbeat> early_heartbeats_;  // arrived while the durable records were loading
  std::vector<bookkeeping::Job*> waiting_gangs_;
  RunTimes run_times_;
  ArrivalHistory arrivals_;
  QueueOrder queue_order_;
  CapacitySurvey capacity_survey_;
  Placements placements_;
  UnreconciledMachines unreconciled_;
  DirectCommands direct_commands_;
  MachineRecordWriter machine_records_;
  CancelledWork cancelled_work_;
  FinalStateWatch final_state_watch_;
  std::set<protocol::JobId> jobs_to_reread_;  // the read of their record failed or found no record
  // kReadAgain: the record may have changed after the read was sent, so a second read is sent when the first
  // is answered.
  enum class OpenRead : std::uint8_t { kOnce, kReadAgain };
  std::map<protocol::JobId, OpenRead> open_job_reads_;  // reads of live records in flight
  ClaimedMachines claimed_machines_;                    // set aside for waiting gangs in the current round
  double next_tier_update_ = 0;
  // ---- indexes, so that a heartbeat does not have to visit all jobs or machines ----
  std::set<std::string> machines_with_pending_stops_;  // machines with tasks in the state kStopping
  // By team: quota that arrays must leave to waiting gangs.
  std::map<std::string, double> withheld_quota_cpus_;
};

}  // namespace robinford::coordination
