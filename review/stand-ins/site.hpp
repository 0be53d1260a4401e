// Stand-ins of a small deployment on loopback addresses: state service, cloud, workers and users in one process.
// The controllers are started by run.sh, from settings files that this process writes. All that users, workers and
// the platform see is written to the record.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "state_store.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace review {

using robinford::protocol::JobId;
using robinford::protocol::JobSpec;

struct Options {
  int controllers = 3;
  double report_s = 1, lease_s = 10, cancel_s = 35;
  double state_latency_s = 0.004;
  std::string state_next;  // lines of [deployment.state.next]
  // Machines that are rented at the start, and how many the cloud can rent besides.
  struct Rented {
    std::string type, zone;
    double up_after_s = 0;
  };
  std::vector<Rented> rented{{"kutia", "trakia", 0}, {"kutia", "vitosha", 0}, {"kutia", "dunav", 0},
                             {"sklad", "trakia", 0}, {"sklad", "vitosha", 0}, {"sklad", "dunav", 0}};
  int spare = 6;
};

// What the state service does with one request, apart from its answer by the protocol.
struct Fate {
  bool reset = false;  // carried out, and the connection is reset instead of the answer
};

struct StateRequest {
  std::string method, target, body;
};

struct Answer {
  double sent = 0, at = 0;
  int node = 0, status = 0;
  std::string body;
};

// What is known about a job from outside.
struct JobFacts {
  JobSpec spec;
  double first_try = -1, accepted = -1, cancel_asked = -1, cancelled = -1, done = -1, first_start = -1;
  std::vector<Answer> polls;
  std::set<std::uint32_t> completed;
  std::size_t starts = 0;
};

class Site {
 public:
  Site(boost::asio::io_context& io, Options options, std::string folder, const std::string& record);

  double now() const;
  void after(double seconds, std::function<void()> run);
  void log(const std::string& line);
  // Settings of all controllers; their processes read them when they start.
  void write_settings();
  // Signals to a controller's process, which run.sh started.
  void signal_controller(int node, int signal);

  // ---- users ----
  void submit(const JobSpec& spec, bool poll = true);
  void cancel(JobId id);
  void poll(JobId id, int node);
  // The machine stops with all that is on it; the cloud lists it as running for 30 s more, then as failed.
  void stop_machine(const std::string& name);
  // The machine on which a task of the job runs; empty if there is none.
  std::string machine_of(JobId id) const;
  // A single submission without repeats; the answer's status.
  void submit_once(const JobSpec& spec, int node, std::function<void(int, const std::string&)> done);
  // The member whose metrics say that it leads; -1: none.
  void find_leader(std::function<void(int)> done);

  robinford::simulation::StateStore& store() { return store_; }
  std::function<Fate(const StateRequest&)> fate;
  Options options;
  std::map<JobId, JobFacts> jobs;
  // Whether a machine that is up has room for a task, and the team is below its limit.
  bool room_for(const JobSpec& spec) const;
  std::size_t rules_broken = 0;
  std::string first_broken;
  void broken(const std::string& rule, const std::string& what);
  std::mt19937_64 random{7};

 private:
  struct Task {
    std::uint64_t attempt = 0;
    robinford::protocol::TaskPhase phase = robinford::protocol::TaskPhase::kFetching;
    robinford::protocol::ExitReason exit_reason = robinford::protocol::ExitReason::kNone;
    double ends_at = 0;
  };
  struct Worker {
    std::string name, addr, type, zone;
    double cpus = 0, memory_gb = 0, rented_at = 0, up_at = 0;
    bool up = false, gone = false;
    double stopped_at = -1;
    std::unique_ptr<robinford::transport::HttpServer> server;
    std::uint64_t agent_epoch = 1, count = 0, fencing_token = 0;
    int controller = 0;
    bool changed = true, in_flight = false;
    double lease_from = 0, last_sent = -10, next_heartbeat = 0, token_change_reported = -1e9;
    std::map<robinford::protocol::TaskId, Task> tasks;
  };

  boost::asio::awaitable<void> accept_state();
  boost::asio::awaitable<void> serve_state(boost::asio::ip::tcp::socket socket);
  void start_cloud();
  std::pair<int, std::string> cloud_call(const std::string& method, const std::string& target,
                                         const std::string& body);
  Worker& rent(const std::string& type, const std::string& zone, double boot_s);
  void start_worker(Worker& worker);
  void tick();
  void step(Worker& worker);
  void heartbeat(Worker& worker);
  robinford::protocol::Heartbeat heartbeat_of(Worker& worker);
  void execute(Worker& worker, const std::vector<robinford::protocol::Command>& commands);
  void launch(Worker& worker, const robinford::protocol::Command& command);
  void end_task(Worker& worker, const robinford::protocol::TaskId& id,
                robinford::protocol::ExitReason exit_reason);
  void try_submit(JobId id, int node, double give_up_at);
  void try_cancel(JobId id, int node);
  void poll_later(JobId id, int node);
  void call(int node, const std::string& method, const std::string& target, const std::string& body,
            double timeout_s, std::function<void(int, const std::string&)> done);
  void check_accepted_state(JobFacts& job, const std::string& stage, int node);
  void used(std::map<std::string, double>& by_team) const;

  boost::asio::io_context& io_;
  std::string folder_;
  std::ofstream record_;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  boost::asio::steady_timer ticker_;
  robinford::simulation::StateStore store_;
  boost::asio::ip::tcp::acceptor state_;
  std::unique_ptr<robinford::transport::HttpServer> cloud_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::vector<std::string>> hires_;
  std::vector<unsigned short> ports_, peer_ports_;
  std::vector<std::shared_ptr<robinford::transport::HttpClient>> clients_;
  int spare_left_ = 0, next_host_ = 0;
};

// The stage in an answer to a user; empty if there is none.
std::string stage_of(const std::string& body);

}  // namespace review
