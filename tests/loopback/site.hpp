// A site on loopback: real controller processes, and stand-ins of state service, cloud, workers and users in
// this process, one thread. What workers and users see goes into a history.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "loopback/breaking_proxy.hpp"
#include "loopback/command_proxy.hpp"
#include "loopback/history.hpp"
#include "protocol/messages.hpp"
#include "state_store.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace robinford::loopback {

struct SiteOptions {
  int controllers = 3;
  int workers = 12;
  double worker_cpus = 16;
  std::map<std::string, std::pair<double, double>> teams;  // guarantee and limit in cpus
  std::string switch_file;                                 // of quota leases; empty: off
  double heartbeat_interval_s = 0.5, lease_s = 8, cancel_s = 30;
  double state_rps = 4000, state_write_rps = 2000;
  double start_objective_s = 0;  // 0: none; a short one lets the leader launch by direct commands
};

class Site {
 public:
  explicit Site(SiteOptions options);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  // Runs everything for so long, or until the condition holds. True: it held.
  bool run(double seconds, const std::function<bool()>& until = {});
  // Runs everything until a controller leads, for so long at most. True: one leads.
  bool run_until_led(double seconds);
  // From now on this share of the transactions is carried out and loses its answer by a reset connection.
  void lose_state_answers(double share) { state_proxy_->lose_answers(share); }
  std::size_t state_answers_lost() const { return state_proxy_->lost(); }
  // Submits the job to the given controller first; a user repeats it until it is accepted.
  void submit(int controller, const protocol::JobSpec& spec);
  // A user cancels the job, and repeats that until it is answered.
  void cancel(std::uint64_t job);
  bool cancelled(std::uint64_t job) const { return cancelled_.contains(job); }
  // The worker is back at once: agent epoch 1, no tasks, no token.
  void reset_worker(int worker);
  // The worker sends no heartbeat for so long; direct commands reach it.
  void silence_worker(int worker, double for_s) { workers_[worker]->silent_until = now() + for_s; }
  // Sends the worker once more all launches that it has carried out by direct commands.
  void repeat_launches(int worker) { workers_[worker]->proxy->repeat(); }
  std::size_t launches_seen(int worker) const { return workers_[worker]->proxy->launches(); }
  // While the cloud is down it returns no machine.
  void set_cloud_up(bool up) { cloud_up_ = up; }
  bool on_a_worker(std::uint64_t job) const;
  bool all_done() const { return unfinished_.empty() && submitting_ == 0; }
  std::size_t unfinished() const { return unfinished_.size() + submitting_; }

  int leader();  // -1: none is known
  // Ends the controller's process without a signal it could catch, and starts it again later.
  void restart(int controller, double back_after_s);
  std::vector<std::string> metrics();

  const History& history() const { return history_; }
  const simulation::StateStore& store() const { return store_; }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    protocol::TaskPhase phase = protocol::TaskPhase::kFetching;
    protocol::ExitReason exit_reason = protocol::ExitReason::kNone;
    double ends_at = 0;
  };
  struct Worker {
    std::string name, addr;
    std::unique_ptr<transport::HttpServer> server;
    std::unique_ptr<CommandProxy> proxy;
    bool gone = false;
    int lives = 0;
    double silent_until = 0;
    std::uint64_t agent_epoch = 1, count = 0, fencing_token = 0;
    int controller = 0;
    bool changed = true, in_flight = false;
    double lease_from = 0, last_sent = -10, next_heartbeat = 0;
    std::map<protocol::TaskId, Task> tasks;
  };
  struct Watch {
    std::uint64_t token;
    std::string target;
    double until;
  };
  struct Controller {
    unsigned short port = 0, peer_port = 0;
    int process = 0;
    std::string settings_path;
    std::shared_ptr<transport::HttpClient> users, heartbeats;
  };

  double now() const;
  void tick();
  void after(double seconds, std::function<void()> run);
  std::string settings_text(int controller) const;
  void start(int controller);
  void start_state_service();
  void start_cloud();
  void start_workers();
  std::pair<int, std::string> cloud_call(const std::string& method, const std::string& target,
                                         const std::string& body);
  void return_machines(const std::string& body);
  void drop_tasks(Worker& worker);
  void answer_watches();
  void step(Worker& worker);
  void heartbeat(Worker& worker);
  protocol::Heartbeat heartbeat_of(Worker& worker);
  void execute_commands(Worker& worker, const std::vector<protocol::Command>& commands);
  void launch(Worker& worker, const protocol::Command& order);
  void end_task(Worker& worker, const protocol::TaskId& id, protocol::ExitReason exit_reason);
  void try_submit(int controller, const protocol::JobSpec& spec);
  void poll_some();
  void poll(std::uint64_t job);
  void record(EventKind kind, std::uint64_t job, std::uint32_t task = 0, const std::string& worker = {});

  SiteOptions options_;
  boost::asio::io_context io_{1};
  boost::asio::steady_timer ticker_{io_};
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::string folder_;
  simulation::StateStore store_;
  std::unique_ptr<transport::HttpServer> state_, cloud_;
  std::unique_ptr<BreakingProxy> state_proxy_;
  std::list<Watch> watches_;
  std::vector<Controller> controllers_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::uint64_t, protocol::JobSpec> specs_;
  std::map<std::uint64_t, std::set<std::uint32_t>> results_;
  std::deque<std::uint64_t> unfinished_;
  std::set<std::uint64_t> cancelled_;
  bool cloud_up_ = false;
  std::size_t submitting_ = 0, polling_ = 0, next_poll_controller_ = 0;
  std::mt19937_64 random_{1};
  History history_;
};

}  // namespace robinford::loopback
