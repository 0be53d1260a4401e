// A small deployment on loopback: controllers as separate processes, and stand-ins of state service, cloud,
// workers and users in this process. What was sent, answered and run goes into the record.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"
#include "store.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace standin {

namespace asio = boost::asio;
using robinford::protocol::Command;
using robinford::protocol::ExitReason;
using robinford::protocol::JobId;
using robinford::protocol::JobSpec;
using robinford::protocol::MachineType;
using robinford::protocol::TaskId;
using robinford::protocol::TaskPhase;

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0;
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};

struct Pool {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

struct SiteOptions {
  std::string folder;   // of the record
  std::string program;  // the controller's program
  std::vector<std::string> zones;
  std::vector<std::string> locations;  // zone of each controller
  double report_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 35;
  StoreLimits limits;
  std::string next_limits;  // text of [deployment.state.next], empty: none
  double cloud_rps = 2, list_lag_s = 5, cpu = 0.08, ram_mb = 40;
  int sockets = 500;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  std::vector<MachineType> types;
  std::vector<Pool> pools;     // what the cloud can give
  std::vector<Pool> at_start;  // machines that are up at the start
  double boot_factor = 1;      // of the time that the catalog names
  bool newest_first = false;   // workers list the attempts that began last first
};

// Passes the frames of one controller to another. It can refuse connections.
class Relay {
 public:
  Relay(asio::io_context& io, const std::string& host, const std::string& to_host, unsigned short to_port);
  unsigned short port() const { return port_; }
  void refuse(bool refused);
  void hold(bool held) { held_ = held; }

 private:
  struct Connection;
  void open();
  void accept();
  void pump(const std::shared_ptr<Connection>& connection, bool forth);
  asio::io_context& io_;
  asio::ip::tcp::endpoint to_;
  std::string host_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::list<std::weak_ptr<Connection>> connections_;
  unsigned short port_ = 0;
  bool held_ = false;
};

class Site {
 public:
  explicit Site(SiteOptions options);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  double now() const;
  bool run(double seconds, const std::function<bool()>& until = {});
  void note(const std::string& text);
  void after(double seconds, std::function<void()> run);

  // ---- controllers
  int count() const { return static_cast<int>(nodes_.size()); }
  int leader();  // -1: none
  void start(int node);
  void kill_node(int node);
  void restart(int node, double back_after_s);
  void terminate(int node, double back_after_s);
  void freeze(int node);
  void thaw(int node);
  void set_next_limits(const std::string& text) { options_.next_limits = text; }
  bool alive(int node);
  int unexpected_ends() const { return unexpected_ends_; }

  // ---- state service and cloud
  Store& store() { return store_; }
  void state_down(bool down);
  void refuse_state(int node, bool refused);
  void silence_state(int node, bool silent);
  // This share of the transactions is carried out and not answered, or (late) carried out so much later.
  void lose_answers(double share) { lost_share_ = share; }
  void late_writes(double share, double by_s) { late_share_ = share, late_by_s_ = by_s; }
  void state_latency(double s) { state_latency_s_ = s; }
  void cloud_down(bool down) { cloud_down_ = down; }
  int rented() const { return rented_; }  // requests that were filled
  void refuse_peers(int from, int to, bool refused);

  // ---- workers
  struct Task {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitReason cause = ExitReason::kNone;
    bool stored = false, on_machine = false;
    double ready_at = 0, ends_at = 0, alone_at = 0, mates_gone_at = 0, save_until = 0;
  };
  struct Worker {
    std::string name, type, zone, addr;
    bool spot = false, up = false, gone = false, dead = false;
    double boots_at = 0, died_at = 0, rented_at = 0, hung_until = -1, taken_at = -1, sick_until = -1;
    std::unique_ptr<robinford::transport::HttpServer> server;
    std::uint64_t shift = 1, tally = 0, baton = 0;
    int node = 0;
    bool changed = true, in_flight = false;
    double lease_from = 0, last_sent = -10, next_report = 0;
    std::uint64_t flight = 0;
    std::vector<Task> tasks;                                  // in the order of their start
    std::vector<std::pair<std::uint64_t, std::string>> held;  // commands that came while it hung
  };
  std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
  Worker* worker_of(const TaskId& id);
  int tasks_present(JobId job);
  // How many tasks of the job would fit beside what is on the machines now, on machines that are up and move.
  int room_for(const JobSpec& spec);
  // CPUs that the team's tasks use now.
  double used_by(const std::string& team);
  void hang(Worker& worker, double for_s);
  void die(Worker& worker);
  void sicken(Worker& worker, double for_s);
  // From now on (a team's normal run time) a task of the job runs so long.
  void set_run_s(JobId job, double seconds) { run_s_[job] = seconds; }
  std::size_t results(JobId job) { return results_[job].size(); }
  double last_result_at(JobId job) { return last_result_[job]; }
  double last_start() const { return last_start_; }
  int launches_after_result() const { return launches_after_result_; }

  // ---- users
  struct Told {
    int status = 0;
    std::string stage;
    double at = 0;
  };
  // Submits until it is accepted, refused (400, 422) or 60 s have passed.
  void submit(const JobSpec& spec, double run_s, int node = 0);
  void submit_body(JobId id, const std::string& body, int node);
  void cancel(JobId id, int node = 0);
  // Polls the job every 5 s, as its user does, until it is over.
  void watch(JobId id, double every_s = 5);
  void ask(JobId id, int node, std::function<void(int, std::string)> done);
  void post_once(JobId id, const std::string& body, int node, std::function<void(int, std::string)> done);
  bool accepted(JobId id) const { return accepted_.contains(id); }
  Told told(JobId id) { return told_[id]; }
  double told_over_at(JobId id) { return over_at_.contains(id) ? over_at_.at(id) : -1; }
  // Breaches of the page's rules so far, with their times.
  const std::vector<std::string>& breaches() const { return breaches_; }
  void breach(const std::string& what);
  double last_answered(JobId id) { return answered_at_.contains(id) ? answered_at_.at(id) : -1; }
  int polls_failed(JobId id) { return polls_failed_[id]; }

 private:
  struct Node {
    std::string member, host, settings;
    unsigned short port = 0, peer_port = 0;
    int process = 0;
    std::unique_ptr<robinford::transport::HttpServer> state;
    std::shared_ptr<robinford::transport::HttpClient> users, reports;
    bool refused = false, silent = false, frozen = false;
    std::vector<std::unique_ptr<Relay>> relays;  // to each other controller
  };
  struct Watch {
    int node;
    std::uint64_t token;
    std::string target;
    double until;
  };
  void write_settings(int node);
  void reap(int node);
  void tick();
  void on_state(int node, std::uint64_t token, const std::string& method, const std::string& target,
                const std::string& body);
  void answer_state(int node, std::uint64_t token, int status, const std::string& body);
  void answer_watches();
  std::pair<int, std::string> cloud_call(const std::string& method, const std::string& target,
                                         const std::string& body);
  Worker& add_worker(const Pool& pool, double boot_s);
  void remove_worker(Worker& worker, const char* why);
  void step(Worker& worker);
  void report(Worker& worker);
  std::string report_body(Worker& worker);
  void on_command(Worker& worker, std::uint64_t token, const std::string& body);
  void execute(Worker& worker, const std::vector<Command>& commands);
  void launch(Worker& worker, const Command& command);
  void off(Worker& worker, Task& task);
  void exit_task(Worker& worker, Task& task, ExitReason cause, bool stored);
  void on(Worker& worker, Task& task);
  void completed(Worker& worker, Task& task);
  std::vector<std::pair<Worker*, Task*>> mates(const Task& task);
  void try_submit(JobId id, const std::string& body, int node, double since);
  void tell(JobId id, int status, const std::string& body, double asked_at, const char* what);

  SiteOptions options_;
  asio::io_context io_{1};
  asio::steady_timer ticker_{io_};
  asio::signal_set signals_{io_, SIGTERM, SIGINT};
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::ofstream record_;
  std::string scratch_;
  Store store_;
  std::unique_ptr<robinford::transport::HttpServer> cloud_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::list<Watch> watches_;
  bool state_down_ = false, cloud_down_ = false;
  double last_start_ = 0, lost_share_ = 0, late_share_ = 0, late_by_s_ = 0, state_latency_s_ = 0.004;
  std::map<std::string, std::string> hires_;
  int rented_ = 0, next_machine_ = 0, unexpected_ends_ = 0, launches_after_result_ = 0;
  std::mt19937_64 random_{7};
  std::map<JobId, JobSpec> specs_;
  std::map<JobId, double> run_s_, over_at_, answered_at_, last_result_, saved_s_;
  std::map<JobId, int> polls_failed_;
  std::map<JobId, std::set<std::uint32_t>> results_;
  std::map<JobId, Told> told_;
  std::map<JobId, std::string> final_;
  std::map<JobId, double> accepted_;  // when its user was first told
  std::set<JobId> cancel_asked_;
  std::map<JobId, double> cancel_told_;
  std::vector<std::string> breaches_;
  std::set<std::string> breach_keys_;
};

}  // namespace standin
