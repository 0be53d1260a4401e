// A cluster in virtual time for the controllers: stand-ins for state service, cloud, workers, users and
// network, and a checker of the protocol's rules that sees only what workers do and users are announced,
// never the scheduler's books.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller.hpp"
#include "outbox_digest.hpp"
#include "quota/lease_options.hpp"
#include "state_store.hpp"

namespace robinford::simulation {

namespace json = boost::json;

// ---- the checker ----
class InvariantChecker {
 public:
  struct Placed {
    std::string machine, type, zone;
    bool spot = false;
  };
  void submitted(double now, const protocol::JobSpec& spec) {
    specs_[spec.id] = spec;
    submitted_at_[spec.id] = now;
  }
  void set_limit(const std::string& team, double cpus) { limits_[team] = cpus; }
  void set_limits(std::map<std::string, double> cpus, double cancel_s) {
    limits_ = std::move(cpus), cancel_s_ = cancel_s;
  }
  void on_machine(double now, const protocol::TaskId& task, const Placed& where);  // has its image
  void off_machine(const protocol::TaskId& task, const std::string& machine);
  void task_done(double now, const protocol::TaskId& task);
  void began(double now, const protocol::TaskId& task);
  void launched(double now, const protocol::TaskId& task);  // a worker took the command
  // Users submit a job once all that it needs is accepted.
  bool may_be_submitted(const protocol::JobSpec& spec) const;
  void answered(double now, protocol::JobId id);  // a question about the job was answered at all
  // After the last fault: no accepted job without an answer for 75 s, half of each class, team and of a
  // class's largest jobs served, the largest begun within four minutes.
  void watch_answers(double now);
  void close(double now);
  void fault_until(double time) { faults_end_ = std::max(faults_end_, time); }
  // `asked_at`: an answer to a question from before a final answer may be older than that.
  void announced(double now, double asked_at, protocol::JobId id, int status, const std::string& state,
                 bool accepted);
  void cancel_requested(protocol::JobId id) { cancel_requested_.insert(id); }
  void look(double now);  // rules that time alone breaks
  bool cancel_was_requested(protocol::JobId id) const { return cancel_requested_.contains(id); }
  // A job that can never run, or lacks a field, and what its user was told of it.
  void answered_bad(double now, protocol::JobId id, int status, int expected);
  // Resources for each type, zone and kind that is free now: after the last trouble no job is left waiting
  // beside it.
  struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    double cpus = 0, memory_gb = 0;
  };
  void watch_waiting(double now, const std::vector<FreeCapacity>& free_machines);
  const std::set<protocol::JobId>& all_accepted() const { return accepted_; }
  std::vector<protocol::JobId> running() const;  // accepted, with tasks on machines
  // Tasks on machines, by job.
  std::map<protocol::JobId, std::uint32_t> tasks_on_machines() const;
  bool done(protocol::JobId id) const;
  bool accepted(protocol::JobId id) const { return accepted_.contains(id); }
  const std::map<std::string, std::string>& broken() const { return broken_; }
  int starts = 0;
  // Questions that users asked about jobs, and those answered with a state within 2 s.
  int polls_sent = 0, polls_answered = 0;
  int submissions_shed = 0;                       // turned away since too many requests wait
  std::map<protocol::JobId, double> accepted_at;  // when its user was first told
  void breach(const char* rule, double now, const std::string& what);

 private:
  // Calls `visit` for all that the job needs, directly or through others, until it returns true.
  bool any_dependency(protocol::JobId id, const std::function<bool(protocol::JobId)>& visit) const;
  // The cancellation of the job, or of one that it needs, was asked for.
  bool cancel_was_implied(protocol::JobId id) const;
  // When all that it needs was done, or its submission; nothing while it waits.
  std::optional<double> eligible_at(protocol::JobId id) const;
  std::map<protocol::JobId, protocol::JobSpec> specs_;
  std::map<protocol::TaskId, std::vector<Placed>> placed_;
  std::map<protocol::JobId, std::set<std::uint32_t>> done_;
  std::map<protocol::JobId, std::string> final_;
  std::map<protocol::JobId, double> final_at_;
  std::map<protocol::JobId, double> cancelled_at_;
  std::set<protocol::JobId> accepted_, cancel_requested_;
  std::map<protocol::JobId, double> done_at_;
  std::map<protocol::JobId, double> submitted_at_, began_at_, answered_at_, waits_since_;
  std::map<protocol::JobId, std::size_t> held_;  // tasks on machines or done, when last looked at
  double faults_end_ = 0;
  std::map<std::string, double> limits_;
  double cancel_s_ = 30;
  std::map<std::string, std::string> broken_;
};

// In which order a worker lists its tasks. The protocol gives none.
enum class ListOrder {
  kByTask,
  kOldestFirst,
  kNewestFirst,
  kMixed,  // drawn anew for each list, with some entries repeated
};

struct Options {
  double heartbeat_interval_s = 1, lease_s = 10, gang_wait_s = 20, gang_peer_s = 4, cancel_s = 30,
         list_lag_s = 3, fetch_s = 0.5;
  int controllers = 3;
  std::uint64_t seed = 1;
  std::vector<std::string> zones{"a"};
  std::map<std::string, std::pair<double, double>> teams;  // guarantee, limit
  std::vector<protocol::MachineType> types;
  int capacity = 20;                            // machines of each type, zone and kind
  std::map<std::string, int> capacity_of_zone;  // the same where a zone differs
  std::vector<protocol::Objective> objectives;  // empty: the usual ones
  std::string policy;
  ListOrder list_order = ListOrder::kByTask;
  // Workers list so many exited attempts more beside each attempt that is launched, until they are cleared.
  int listed_earlier_attempts = 0;
  double memory_mb = 100;                           // of each controller
  double state_times = 1;                           // the state service's limits, against the usual ones
  double next_value_kb = 16, next_write_rps = 1e6;  // limits that the settings announce
  int next_txn_ops = 32;
  quota::LeaseOptions leases;  // of all controllers at their first start
  bool digest = false;         // keep a digest of all that leaves the controllers
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(Options options);
  ~SimulatedCluster();
  void run_until(double time);
  double now() const { return now_; }

  // ---- what scenarios do ----
  void machines(int count, const std::string& type, const std::string& zone, bool spot);
  void submit(const protocol::JobSpec& spec);
  void cancel(protocol::JobId id);
  void crash(int node, double back_after);
  int leader() const;
  void state_outage(double for_s) { state_down_until_ = now_ + for_s; }
  void refuse_state(int node, double for_s) { refused_until_[node] = now_ + for_s; }
  // The controller's entry in the registry of versions is not written for so long: the others take it for an
  // old one.
  void unregistered(int node, double for_s) { unregistered_until_[node] = now_ + for_s; }
  void cloud_outage(double for_s) { cloud_down_until_ = now_ + for_s; }
  void cut(const std::string& a, const std::string& b, double for_s, bool hold);
  void hang(const std::string& machine, double for_s);
  void die(const std::string& machine);
  void faulty(const std::string& machine, double for_s);
  void interruption_notice(const std::string& machine, double after_s);
  // Each answer of the state service takes up to so long.
  void slow_state(double by_s, double for_s) {
    slow_by_ = by_s;
    slow_until_ = now_ + for_s;
  }
  void late_txn(double by_s) {
    late_txn_by_ = by_s;
  }  // the next transaction is unanswered and carried out late
  void late_heartbeat(const std::string& machine,
                      double by_s);  // its next heartbeat reaches the controllers late
  // Its next heartbeat arrives in time, and a copy of it late, at whichever controller leads then.
  void copy_heartbeat(const std::string& machine, double by_s);
  void reset_agent(const std::string& machine);  // back at once: agent epoch 1, nothing on it, no token seen
  // Its next direct command is carried out late and never answered, or carried out, answered and carried out
  // again.
  void late_command(const std::string& machine, double by_s);
  void repeat_command(const std::string& machine, double by_s);
  // The controller loses the state service and the other controllers, but not its workers and users.
  // With `reset` its links to the others break at once, and are back afterwards.
  void isolate(int node, double for_s, bool reset = false);
  // Users ask ten times a second about each accepted job.
  void polls_storm(double for_s);
  void lose_inbound(const std::string& machine, double for_s);
  // The controller stands still while its clocks run on; all that reached it is worked through afterwards.
  void freeze(int node, double for_s);
  // Its heartbeats reach no controller; direct commands get there.
  void lose_outbound(const std::string& machine, double for_s);
  // Users call off so many running jobs at once; up to eight of their machines hang, if so told.
  void cancel_running(int count, double hang_s);
  // That share of the jobs that end is called off at the moment of the last task's end.
  void cancel_at_end(double share, double for_s) { end_share_ = share, end_until_ = now_ + for_s; }
  // That share of the transactions gets no answer and is carried out 2 s to `by` later.
  void late_writes(double share, double by_s, double for_s) {
    late_share_ = share, late_share_by_ = by_s, late_share_until_ = now_ + for_s;
  }
  // That share of the transactions is carried out at once, and its connection breaks before the answer.
  void lose_answers(double share, double for_s) { lost_share_ = share, lost_until_ = now_ + for_s; }
  // That share of the transactions is carried out and then sent once more on its way: the answer is that of
  // the repetition.
  void repeat_writes(double share, double for_s) { repeat_share_ = share, repeat_until_ = now_ + for_s; }
  // The state service keeps to these limits from now on.
  void state_limits(double value_kb, int txn_ops, double write_rps);
  const StateStore& store() const { return store_; }
  /// Of everything that left the controllers so far.
  const simulation::OutboxDigest& outbox_digest() const { return outbox_digest_; }
  // From now on the cloud has so many machines of each type and kind in this zone.
  void set_zone_capacity(const std::string& zone, int machines) {
    options_.capacity_of_zone[zone] = machines;
  }
  // Delivers to the machine, once more, all direct launches that it has carried out so far.
  void repeat_launches(const std::string& machine);
  // Controllers that have sent direct launches that were carried out.
  const std::set<int>& launch_senders() const { return launch_senders_; }
  // The controller's page of metrics; empty if it doesn't answer.
  std::string metrics_page(int node);
  // So many of the machines provisioned next never come up.
  void boots_fail(int count) { failing_boots_ = count; }
  // Watches of the state service are not answered.
  void lose_watches(double for_s) { watches_lost_until_ = now_ + for_s; }
  // The next heartbeat of the machine is held until another controller leads, and then arrives there.
  void hold_heartbeat(const std::string& machine) { workers_.at(machine).hold_heartbeat = true; }
  // What passes between any two places takes up to so much longer.
  void slow_links(double by_s, double for_s) { link_by_ = by_s, link_until_ = now_ + for_s; }
  // Users repeat submissions, cancel jobs that are done, ask for unknown ids, and send what can't run.
  void odd_requests(double for_s);
  // For some time each message of these kinds is delivered once more, so much later.
  struct Duplicates {
    double by = 0, until = -1;
    std::set<std::string> kinds;  // txn, cloud, command, user, frame, heartbeat
  };
  void duplicate(Duplicates duplicates) { duplicates_ = std::move(duplicates); }
  void inject_violation(const std::string& how) { injected_violation_ = how; }
  // The controller has quota leases on or off from its next start on.
  void switch_leases(int node, bool on) { nodes_[node].leases = on; }
  // The team's limit in the settings of controllers that start from now on; a new team is added.
  void set_limit(const std::string& team, double cpus_max);
  // Jobs that lessees have granted, by the counters of the controllers as they are now.
  std::uint64_t jobs_granted() const;
  // Promises of capacity that are outstanding anywhere: at the end there are none.
  std::size_t grants_outstanding() const;
  std::string machine_of(const protocol::TaskId& task) const;
  std::string nth_machine(int n) const;

  InvariantChecker checker;
  std::map<protocol::JobId, std::string> last_state;  // by the users' polls
  std::map<protocol::JobId, std::string> last_body;   // of an answer 200 to a poll
  std::map<protocol::JobId, double> first_run, finished_at;
  std::map<protocol::JobId, double> completed_at;  // when its last task completed
  // Launches of tasks that had completed before.
  int launches_after_result = 0;
  // The worker lists, beside the attempt of the task that it has, an earlier one that completed.
  void complete_earlier_attempt(const protocol::TaskId& task);
  // The attempt that the worker has ends without a result.
  void end_attempt(const protocol::TaskId& task, protocol::ExitReason exit_reason);
  // Launches of the task that workers carried out.
  int launches_of(const protocol::TaskId& task) const;
  int machines_up() const;
  // Changes that the state service has carried out since the first of these calls.
  void count_changes_from_now() { changes_before_ = store_.changes(""); }
  std::size_t changes_counted() const { return store_.changes("") - changes_before_; }
  // Units that wait in the writers of all controllers.
  std::size_t writes_waiting() const;
  int spot_provisioned() const;  // spot machines that were ever there
  coordination::Controller* controller(int node) { return nodes_[node].controller.get(); }

 private:
  struct Node {
    std::unique_ptr<coordination::Controller> controller;
    std::uint64_t life = 0;
    std::string name;
    std::string zone;
    bool leases = false;
    std::map<std::uint64_t, std::function<void(int, const std::string&)>> replies;
    std::uint64_t next_token = 1;
    double frozen_until = -1;
    std::vector<std::function<void()>> backlog;  // what reached it while it stood still
  };
  struct Task {
    std::uint64_t attempt = 0;
    protocol::TaskPhase phase = protocol::TaskPhase::kFetching;
    protocol::ExitReason exit_reason = protocol::ExitReason::kNone;
    bool saved = false;
    double ready_at = 0, started_at = 0, ends_at = 0, waits_until = 0, save_until = 0, lost_mate_at = 0;
    std::uint64_t order = 0;  // of its launch
  };
  struct Worker {
    std::string name, type, zone, addr;
    bool spot = false, up = false, dead = false, gone = false;
    double boots_at = 0, hung_until = -1, faulty_until = -1, taken_at = -1, provisioned_at = 0,
           inbound_lost_until = -1, outbound_lost_until = -1;
    bool hold_heartbeat = false;
    std::uint64_t agent_epoch = 1, seq = 0, fencing_token = 0;
    double lease_from = 0, last_sent = -10, next_heartbeat = 0;
    bool changed = false, in_flight = false;
    std::uint64_t flight = 0;
    int node = 0;
    double late_by = 0, copy_by = 0, late_command_by = 0, repeat_command_by = 0;
    std::map<protocol::TaskId, Task> tasks;                  // the newest attempt that was not refused
    std::vector<std::pair<protocol::TaskId, Task>> earlier;  // other attempts, all exited and not cleared
    struct DirectLaunch {
      protocol::CommandList list;
      int sender;
    };
    std::vector<DirectLaunch> direct_launches;  // carried out, in order
  };
  struct Event {
    double at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Cut {
    std::string a, b;
    double until;
    bool hold;
  };

  void after(double delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  // Carries something from one place to another; nothing when a cut swallows it.
  void carry(const std::string& from, const std::string& to, std::function<void()> run);
  protocol::ClockReading clock_reading() const {
    return {1000 + now_, 1'700'000'000'000 + static_cast<std::int64_t>(now_ * 1000)};
  }
  bool duplicates(const char* kind) const {
    return now_ < duplicates_.until && duplicates_.kinds.contains(kind);
  }
  void start_node(int node);
  // An event for this life of the controller: now, or when it moves again.
  void enter(int node, std::uint64_t life, std::function<void()> event);
  void tick_node(int node, std::uint64_t life);
  void drain(int node);
  void request(int node, const std::string& from, const std::string& method, const std::string& target,
               const std::string& body, const std::function<void(int, const std::string&)>& done);
  void link(int node, int other, bool up);
  // state service
  std::pair<int, std::string> state_call(const std::string& method, const std::string& target,
                                         const std::string& body);
  void state_request(int node, std::uint64_t life, const protocol::Call& call);
  void state_answer(int node, std::uint64_t life, std::uint64_t id, int status, const std::string& body);
  void state_changed();
  void expire_leases();
  // cloud
  std::pair<int, std::string> cloud_call(const std::string& method, const std::string& target,
                                         const std::string& body);
  // workers
  void worker_step(Worker& worker);
  void send_heartbeat(Worker& worker);
  bool carry_out(Worker& worker, const protocol::CommandList& list, int sender);
  void execute_commands(Worker& worker, const std::vector<protocol::Command>& commands);
  protocol::Heartbeat heartbeat_of(Worker& worker);
  std::vector<protocol::TaskStatus> list_of(const Worker& worker);
  void record_result(const protocol::TaskId& task);
  void exit_task(Worker& worker, const protocol::TaskId& id, protocol::ExitReason exit_reason, bool saved);
  void drop_task(Worker& worker, const protocol::TaskId& id);
  void clear_worker(Worker& worker);
  bool gang_present(const protocol::TaskId& id, std::uint64_t attempt, int& ready) const;
  // users
  void try_submit(const protocol::JobSpec& spec, double since);
  void try_cancel(protocol::JobId id);
  void poll(protocol::JobId id);
  void ask(protocol::JobId id);

  Options options_;
  protocol::Settings settings_;
  double now_ = 0, next_audit_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<Cut> cuts_;
  // state service
  StateStore store_;
  std::size_t changes_before_ = 0;
  struct Watch {
    int node;
    std::uint64_t life;
    protocol::Call call;
    double until;
  };
  std::vector<Watch> watches_;
  double state_down_until_ = -1, cloud_down_until_ = -1, late_txn_by_ = 0, slow_by_ = 0, slow_until_ = -1;
  std::map<int, double> refused_until_, unregistered_until_;
  // cloud
  std::map<std::string, Worker> workers_;
  int next_machine_ = 0;
  std::map<std::string, std::string> provisioning_requests_;
  std::map<protocol::JobId, protocol::JobSpec> described_;
  std::map<protocol::JobId, double> progress_;  // saved, of gangs
  std::map<protocol::JobId, std::set<std::uint32_t>> results_;
  std::map<protocol::JobId, double> run_s_;
  std::string injected_violation_;
  Duplicates duplicates_;
  double end_share_ = 0, end_until_ = -1;
  double late_share_ = 0, late_share_by_ = 0, late_share_until_ = -1;
  double lost_share_ = 0, lost_until_ = -1, repeat_share_ = 0, repeat_until_ = -1;
  double link_by_ = 0, link_until_ = -1, watches_lost_until_ = -1;
  int failing_boots_ = 0;
  std::set<int> launch_senders_;
  std::map<protocol::TaskId, int> launches_;
  std::uint64_t launch_order_ = 0;
  std::mt19937_64 list_random_;
  simulation::OutboxDigest outbox_digest_;
  double next_waiting_look_ = 0;
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void look_for_waiting();
  void look_at_leases();
  void job_ended(protocol::JobId id);
  void odd_request(double until, int n);
  void deliver_held(const std::string& name, const std::string& body, int was_leader, double until);
};

}  // namespace robinford::simulation
