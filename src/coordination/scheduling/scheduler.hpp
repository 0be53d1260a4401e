/// @file
/// The leader's scheduler. Its implementation is in leader/ (recovery, heartbeats, machines, records of jobs)
/// and scheduling/ (gangs, arrays, preemption).
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
#include "coordination/leader/machine_record_writer.hpp"
#include "coordination/routing/job_lookup.hpp"
#include "coordination/scheduling/arrival_history.hpp"
#include "coordination/scheduling/capacity_survey.hpp"
#include "coordination/scheduling/placement.hpp"
#include "coordination/scheduling/placements.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/run_times.hpp"
#include "coordination/scheduling/unreconciled_machines.hpp"

namespace robinford::coordination {

/// How far a new leader is. docs/design.md, section "States".
enum class LeaderPhase : std::uint8_t {
  kNone,         // not the leader
  kLoading,      // reads the ledger
  kReconciling,  // waits for a full round of heartbeats
  kServing,      // places
};
const char* to_text(LeaderPhase phase);

/// The leader's work: takes heartbeats, decides what runs where, and answers with commands. It joins parts
/// that own their state (arrival history, queue order, placements, unreconciled machines, direct commands,
/// machine records, cancelled work); what is left here are the decisions that need several of them.
///
/// All state belongs to one term of leadership: `begin` starts from the ledger of the state service, `end`
/// forgets. Times are seconds on the steady clock unless a name ends in `_ms` (time of day). docs/design.md,
/// section "States", names the state machines.
class Scheduler {
 public:
  /// How answers and direct commands leave the controller. Neither may call back before it returns.
  struct Actions {
    /// Answers the heartbeat that came with `key`.
    std::function<void(std::uint64_t key, int status, std::vector<protocol::Command> commands)> answer;
    std::function<void(const DirectCall& call)> direct;
  };
  /// The references must outlive the scheduler.
  Scheduler(ControllerContext& context, Election& election, const PeerVersions& versions, Actions actions);

  /// This controller was elected: forgets everything and loads the ledger.
  void begin();
  /// This controller is not the leader any more.
  void end();
  /// Does what is due by time.
  void tick();
  /// Takes a worker's heartbeat; answers it now or, while the ledger is loading, later.
  void heartbeat(std::uint64_t key, const protocol::Heartbeat& heartbeat);
  /// A heartbeat that equals the one of `base_seq` but for its count. Returns false, and does nothing, if the
  /// in-memory state is not based on that one: then the whole heartbeat is needed.
  bool unchanged_heartbeat(std::uint64_t key, const std::string& machine, std::uint64_t agent_epoch,
                           std::uint64_t seq, std::uint64_t fencing_token, std::uint64_t base_seq);
  /// The answer to the direct command `id`; `heartbeat` is null, and `status` 0, if there was none.
  void handle_direct_answer(std::uint64_t id, int status, const protocol::Heartbeat* heartbeat);

  LeaderPhase phase() const { return phase_; }
  /// When this term began to place; 0 before the first time.
  double serving_since() const { return serving_since_; }
  ChangeLog& change_log() { return change_log_; }
  JobLookup& lookup() { return lookup_; }
  /// What memory says of jobs that wait for others is all that the records say.
  bool dependencies_settled() const { return dependencies_.all_states_known(); }
  /// Answers about jobs may come from this in-memory state.
  bool knows_all_jobs() const {
    return election_.valid() && (phase_ == LeaderPhase::kReconciling || phase_ == LeaderPhase::kServing);
  }
  /// May launch work: leads, is reconciled, and knows all announced cancellations.
  bool may_place() const {
    return election_.valid() && phase_ == LeaderPhase::kServing && election_.caught_up();
  }

  /// A job was admitted, and is in the ledger.
  void on_job_added(bookkeeping::Job& job);
  /// The final record is durable (ours or another controller's): nothing of the job may start, all of it must
  /// go.
  void finish_job(bookkeeping::Job& job, bookkeeping::FinalState state);
  /// A user cancels the job: nothing of it starts from now on, and its final record is written.
  void cancel(bookkeeping::Job& job);
  /// All that the job needs is durably done, or something that it needs is durably cancelled.
  void release_waiting_job(bookkeeping::Job& job);
  void cancel_waiting_job(bookkeeping::Job& job);
  /// Another controller wrote about this job.
  void read_job(protocol::JobId id);
  /// Another controller made a cancellation durable.
  void on_cancelled_elsewhere(protocol::JobId id);

  /// The cloud lists no machine at all: with none on record either, nothing is to be waited for.
  void cloud_is_empty() {
    if (phase_ == LeaderPhase::kReconciling && unreconciled_.count() == 0)
      reconcile_until_ = context_.now.steady;
  }
  /// The cloud confirmed that the machine is gone.
  void on_machine_gone(bookkeeping::Machine& machine);
  /// Takes the machine's capacity from the catalog, if its type is listed.
  void set_capacity_from_catalog(bookkeeping::Machine& machine);
  /// When (steady) the machine's lease has expired for certain.
  double lease_expired_by(const bookkeeping::Machine& machine) const;
  /// The last moment (steady) at which any controller can have answered one of its heartbeats.
  double last_answer_at(const bookkeeping::Machine& machine) const;
  /// Puts on record that a silent machine gets no answers, once it has been silent for long enough.
  void stop_answering(bookkeeping::Machine& machine);
  /// An unresponsive machine that is worth giving up.
  bool unresponsive_too_long(const bookkeeping::Machine& machine) const;
  const RunTimes& run_times() const { return run_times_; }
  /// Time until the job should be over: by its own due time or by its class's aim.
  double time_left(const bookkeeping::Job& job) const { return queue_order_.time_left(job); }
  /// What the fleet asks of the arrival history.
  bool kept_for_gangs(const bookkeeping::Machine& machine) const { return arrivals_.kept_for_gangs(machine); }
  const protocol::JobSpec* typical_gang() const { return arrivals_.typical_gang(); }
  double gang_rate() const { return arrivals_.gang_machines_per_second(); }
  double array_load(double boot_s) const { return arrivals_.array_cores(boot_s); }
  /// See `coordination::has_gang`.
  static bool has_gang(const bookkeeping::Machine& machine) { return coordination::has_gang(machine); }
  /// Stops all tasks on the machine, those with checkpoints in order.
  void stop_machine_tasks(bookkeeping::Machine& machine, const char* why);
  /// Gangs that wait for capacity, as of the last round.
  const std::vector<bookkeeping::Job*>& waiting_gangs() const { return waiting_gangs_; }
  /// See `UnreconciledMachines::count`.
  std::size_t unreconciled_machines() const { return unreconciled_.count(); }
  /// Compares the running sums with a count of everything. Returns a description of the first difference,
  /// empty if there is none. For tests.
  std::string audit();

 private:
  enum class HeartbeatSource : std::uint8_t {
    kWorker,        // sent by the worker itself: it has taken or dropped the answer to the one before
    kDirectAnswer,  // the answer to a direct command: a launch in the last answer may still be on its way
  };
  enum class LaunchPath : std::uint8_t { kHeartbeatAnswer, kDirectCommand };
  enum class StopMode : std::uint8_t {
    kOrderly,  // tasks with checkpoints get time to save
    kAtOnce,
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
  bool reconciled();
  // ---- heartbeats ----
  bool authorize_heartbeat(std::uint64_t key, std::uint64_t fencing_token);
  void record_stale_term_heartbeat(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void record_liveness(bookkeeping::Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq);
  void apply_heartbeat(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat,
                       HeartbeatSource source);
  struct HeartbeatContext {
    bool agent_restarted;  // of the machine, since its last heartbeat
    HeartbeatSource source;
  };
  void on_agent_restart(bookkeeping::Machine& machine);
  void update_machine_attributes(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void handle_missing_run(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                          const HeartbeatContext& context);
  bool update_reported_run(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                           const protocol::TaskStatus& task);
  void on_run_started(bookkeeping::Machine& machine, bookkeeping::Job& job, bookkeeping::TaskRun& run);
  void handle_unmatched_tasks(bookkeeping::Machine& machine,
                              const std::map<protocol::TaskId, const protocol::TaskStatus*>& shown,
                              const std::set<protocol::TaskId>& ended_tasks);
  void confirm_reservations(bookkeeping::Machine& machine);
  void serve_machine(std::uint64_t key, bookkeeping::Machine& machine);
  void answer_heartbeat(bookkeeping::Machine& machine, std::uint64_t key);
  void handle_task_exit(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                        const protocol::TaskStatus& task);
  void handle_task_success(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                           const bookkeeping::TaskRun& run);
  void delay_next_attempt(bookkeeping::Machine& machine, bookkeeping::Job& job, protocol::ExitReason reason);
  void record_result(bookkeeping::Job& job, std::uint32_t index);
  void handle_unmatched_task(bookkeeping::Machine& machine, const protocol::TaskStatus& task);
  void queue_clear(bookkeeping::Machine& machine, const protocol::TaskStatus& task);
  std::vector<protocol::Command> commands_for(bookkeeping::Machine& machine);
  void drop_lost_run(bookkeeping::Job& job, std::uint32_t index, const char* why);
  void drop_machine_tasks(bookkeeping::Machine& machine, const char* why);
  void record_failure(bookkeeping::Machine& machine, bookkeeping::Job& job);
  void record_undelivered(bookkeeping::Machine& machine, int by);
  void probe_if_suspect(bookkeeping::Machine& machine);
  void cordon(bookkeeping::Machine& machine, const char* why);
  void mark_reconciled(bookkeeping::Machine& machine);
  // ---- placing ----
  void update_tiers();
  void sort_queues();
  bool array_fits(const bookkeeping::Job& job, const bookkeeping::Machine& machine, const Resources& free);
  struct ArrayTurn;
  bool find_fitting_array(ArrayTurn& turn, const bookkeeping::Machine& machine, const Resources& free);
  bool open_to_arrays(bookkeeping::Machine& machine);
  std::uint32_t fill(bookkeeping::Machine& machine);
  void fill_idle();
  bool take_round_due();
  void round();
  struct GangRound;
  void check_gangs();
  void place_waiting_gangs();
  bool try_gang(bookkeeping::Job& job, GangRound& round);
  void keep_limits_for_waiting_gangs();
  std::vector<Offer> offers_for(const bookkeeping::Job& job, const std::vector<Offer>& open);
  bool place_gang(bookkeeping::Job& job, std::vector<Offer>& open);
  struct PreemptionOption;
  bool has_reserved_machine(const bookkeeping::Job& job) const;
  std::optional<PreemptionOption> preemption_option(const bookkeeping::Job& job,
                                                    bookkeeping::Machine& machine);
  void preempt(const bookkeeping::Job& job, const PreemptionOption& option);
  void preempt_for(const bookkeeping::Job& job);
  void free_quota_for(bookkeeping::Job& job);
  void claim_machines(const bookkeeping::Job& job);
  void launch_gang(bookkeeping::Job& job);
  void check_gang(bookkeeping::Job& job);
  void stop_gang(bookkeeping::Job& job, StopMode mode, const char* why);
  void stop_run(bookkeeping::Job& job, std::uint32_t index, double grace);
  void plan(bookkeeping::Job& job, std::uint32_t index, bookkeeping::Machine& machine, std::uint64_t attempt);
  std::uint64_t next_attempt() { return (election_.term() << constants::kAttemptBits) | ++attempt_counter_; }
  // ---- direct commands ----
  void direct_command_failed(bookkeeping::Machine& machine);
  void direct_command_answered(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat);
  void return_reset_machine(bookkeeping::Machine& machine);
  void requeue_gangs_reserving_on(bookkeeping::Machine& machine);
  void check_reserving_gangs(bookkeeping::Machine& machine);
  void launch_directly(bookkeeping::Machine& machine);
  void send_stops();
  // ---- durable ----
  void on_live_record_read(protocol::JobId id, const bookkeeping::StateRead& read);
  void update_from_record(bookkeeping::Job& job, const bookkeeping::StateRead& read);
  void add_from_record(protocol::JobId id, const bookkeeping::StateRead& read);
  void read_final_record(protocol::JobId id);
  void write_job(bookkeeping::Job& job);
  void write_derived_cancellation(bookkeeping::Job& job);
  void write_progress(bookkeeping::Job& job);
  bool has_remaining_tasks(protocol::JobId id);
  void complete(bookkeeping::Job& job);
  void write_final_record(bookkeeping::Job& job);
  void sweep_jobs();
  void watch_machines();
  void detect_missed_heartbeats(bookkeeping::Machine& machine);
  void return_if_cancelled_work_overdue(bookkeeping::Machine& machine);
  bool check_unanswered_launches(bookkeeping::Machine& machine);
  void handle_expired_lease(bookkeeping::Machine& machine, bool has_open_launch);
  void log_wait_reasons();
  const char* why_waiting(const bookkeeping::Job& job) const;
  void mark_launched(bookkeeping::Machine& machine, bookkeeping::Job& job, bookkeeping::TaskRun& run,
                     LaunchPath path);

  ControllerContext& context_;
  Election& election_;
  Actions actions_;
  ChangeLog change_log_;
  JobLookup lookup_;
  Dependencies dependencies_;
  LeaderPhase phase_ = LeaderPhase::kNone;
  std::uint64_t generation_ = 0;  // of leadership, so that late answers are known as such
  double began_ = 0;              // this term
  double serving_since_ = 0;
  double reconcile_until_ = 0;
  double next_reconcile_check_ = 0;
  double last_round_ = 0;
  double next_watch_ = 0;
  double next_sweep_ = 0;
  double next_log_ = 0;
  bool round_wanted_ = false;          // something changed that may let a gang start
  bool loading_dependencies_ = false;  // the ledger is read but for what became of some dependencies
  bool first_launch_seen_ = false;
  std::uint64_t attempt_counter_ = 0;
  struct EarlyHeartbeat {
    std::uint64_t key;  // to answer it by
    protocol::Heartbeat heartbeat;
  };
  std::vector<EarlyHeartbeat> early_;  // that came while the ledger was loading
  std::vector<bookkeeping::Job*> waiting_gangs_;
  RunTimes run_times_;
  ArrivalHistory arrivals_;
  QueueOrder queue_order_;
  CapacitySurvey survey_;
  Placements placements_;
  UnreconciledMachines unreconciled_;
  DirectCommands direct_;
  MachineRecordWriter machine_records_;
  CancelledWork cancelled_work_;
  std::set<protocol::JobId> reread_;  // a read of theirs went unanswered
  enum class OpenRead : std::uint8_t { kOnce, kReadAgain };
  std::map<protocol::JobId, OpenRead> reading_;  // reads of live records that are open
  std::set<std::string> claimed_;                // machines kept for a gang in the present round
  double next_tiers_ = 0;
  // ---- work lists, so that nothing ordinary walks all jobs or machines ----
  std::set<std::string> stopping_;           // machines with tasks that are to stop
  std::map<std::string, double> gang_kept_;  // cpus of the teams' limits that waiting gangs will need
};

}  // namespace robinford::coordination
