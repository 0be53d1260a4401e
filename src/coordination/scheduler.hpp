// The leader's work: reports in, orders out; gangs in rounds of holds, arrays into the room that a report shows.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "constants.hpp"
#include "coordination/core.hpp"
#include "coordination/election.hpp"
#include "coordination/placement.hpp"

namespace robinford::coordination {

enum class Duty : std::uint8_t {
  kNone,       // not the leader
  kLoading,    // reads the ledger
  kGathering,  // waits for a full round of reports
  kServing,    // places
};
const char* to_text(Duty duty);

class Scheduler {
 public:
  using ReplyTo = std::function<void(std::uint64_t token, int status, std::string body)>;
  Scheduler(Core& core, Election& election, ReplyTo reply);

  void begin();   // elected: forget everything, load the ledger
  void end();     // not the leader any more
  void tick();
  void report(std::uint64_t token, const std::string& body);

  Duty duty() const { return duty_; }
  // Answers about jobs may come from these books.
  bool books_good() const { return election_.valid() && (duty_ == Duty::kGathering || duty_ == Duty::kServing); }
  bool may_place() const { return election_.valid() && duty_ == Duty::kServing; }

  void job_added() { dirty_ = true; }
  // The final record is durable (ours or another controller's): nothing of the job may start, all of it must go.
  void job_over(bookkeeping::Job& job, bookkeeping::FinalState state);
  void withdraw(bookkeeping::Job& job);
  // Another controller wrote about this job.
  void read_job(protocol::JobId id);

  // The cloud confirmed that the machine is gone.
  void machine_gone(bookkeeping::Machine& machine);
  void know_type(bookkeeping::Machine& machine);
  double lease_over_at(const bookkeeping::Machine& machine) const;
  // A silent machine that is worth giving up.
  bool give_up(const bookkeeping::Machine& machine) const;
  double expected_run(const bookkeeping::Job& job) const;
  // Time until the job should be over: by its own due time or by its class's aim.
  double time_left(const bookkeeping::Job& job) const;
  bool suits_gangs(const bookkeeping::Machine& machine) const;  // of the kind that came lately
  bool has_gang(const bookkeeping::Machine& machine) const;
  double gang_rate() const;  // gang tasks arriving a second
  void arrived(const bookkeeping::Job& job);
  // Cores that the arrays of late arrivals keep busy, team by team up to its limit; less where they can wait for boots.
  double array_load(double boot_s) const;
  void stop_machine_tasks(bookkeeping::Machine& machine, const char* why);
  const std::vector<bookkeeping::Job*>& waiting_gangs() const { return waiting_gangs_; }

 private:
  struct HeldReply {
    std::uint64_t token = 0;
    double until = 0, began = 0;
  };
  void set_duty(Duty duty);
  // ---- loading ----
  void load_notices();
  void load_jobs(const std::string& after);
  void load_machines(const std::string& after);
  void load_catalog();
  void load_failed(std::function<void()> again);
  void loaded();
  void watch_notices(std::uint64_t after);
  bool gathered() const;
  // ---- reports ----
  void take_report(bookkeeping::Machine& machine, const protocol::Report& report, bool direct);
  void answer_report(bookkeeping::Machine& machine, std::uint64_t token);
  void task_exited(bookkeeping::Machine& machine, bookkeeping::Job& job, std::uint32_t index,
                   const protocol::TaskReport& task);
  void adopt(bookkeeping::Machine& machine, const protocol::TaskReport& task);
  std::vector<protocol::Order> orders_for(bookkeeping::Machine& machine);
  void drop_run(bookkeeping::Job& job, std::uint32_t index);
  void run_lost(bookkeeping::Job& job, std::uint32_t index, const char* why);
  void lose_tasks(bookkeeping::Machine& machine, const char* why);
  void blame(bookkeeping::Machine& machine, bookkeeping::Job& job);
  void learn(bookkeeping::Job& job, double ran);
  // ---- placing ----
  struct Rank {
    bool borrows;
    int priority;
    int tier;
    double share;
    double due;
    std::int64_t submitted;
    protocol::JobId id;
    auto operator<=>(const Rank&) const = default;
  };
  Rank rank(const bookkeeping::Job& job, std::uint32_t tasks) const;
  bool blocked(const bookkeeping::Job& job) const;
  void sort_tiers();
  int room_class(const bookkeeping::Machine& machine) const;
  void fill(bookkeeping::Machine& machine);
  void round();
  bool place_gang(bookkeeping::Job& job);
  void preempt_for(bookkeeping::Job& job);
  void free_quota_for(bookkeeping::Job& job);
  void claim_rooms(const bookkeeping::Job& job);
  void launch_gang(bookkeeping::Job& job);
  void release_holds(bookkeeping::Job& job);
  void check_gang(bookkeeping::Job& job);
  void stop_gang(bookkeeping::Job& job, bool orderly, const char* why);
  void stop_run(bookkeeping::Job& job, std::uint32_t index, double grace);
  void plan(bookkeeping::Job& job, std::uint32_t index, bookkeeping::Machine& machine, std::uint64_t attempt);
  void send_stops();
  void note(bookkeeping::Machine& machine);
  bool noted(const bookkeeping::Machine& machine, protocol::JobId id) const { return machine.noted.contains(id); }
  std::uint64_t next_attempt() { return (election_.term() << constants::kAttemptBits) | ++attempt_counter_; }
  // ---- durable ----
  void write_job(bookkeeping::Job& job);
  void complete(bookkeeping::Job& job);
  void push_final(bookkeeping::Job& job);
  void forget_if_clear(protocol::JobId id);
  void watch_machines();
  void tell_waits();
  const char* why_waiting(const bookkeeping::Job& job) const;

  Core& core_;
  Election& election_;
  ReplyTo reply_;
  Duty duty_ = Duty::kNone;
  std::uint64_t generation_ = 0;  // of leadership, so that late answers are known as such
  double began_ = 0, gather_until_ = 0;
  double last_round_ = 0;
  bool dirty_ = false;
  bool first_launch_seen_ = false;
  std::uint64_t attempt_counter_ = 0;
  std::map<std::string, HeldReply> held_;  // answers to reports that wait for a durable note
  std::vector<std::pair<std::uint64_t, std::string>> early_;  // reports that came while loading
  std::vector<bookkeeping::Job*> waiting_gangs_;
  // What completions tell of a class, in natural logarithms: its run times, and how far the owners' estimates are off.
  struct Learned {
    double run = 0, run_spread = 0, error = 0, error_spread = 0;
    int count = 0;
  };
  std::map<std::string, Learned> learned_;
  std::set<protocol::JobId> reading_;
  std::deque<std::pair<double, protocol::JobSpec>> recent_gangs_;
  struct Arrival {
    double at;
    std::string team;
    double work, allowed;
  };
  std::deque<Arrival> recent_arrays_;
  std::set<std::string> claimed_;  // machines kept for a gang in the present round
  double next_tiers_ = 0;
};

}  // namespace robinford::coordination
