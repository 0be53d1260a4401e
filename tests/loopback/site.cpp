#include "loopback/site.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "protocol/names.hpp"
#include "simulated_cluster_common.hpp"

extern char** environ;

namespace robinford::loopback {
namespace n = names;
namespace json = boost::json;
using protocol::Command;
using protocol::ExitReason;
using protocol::TaskId;
using protocol::TaskPhase;

namespace {

constexpr char kHost[] = "127.0.0.1";
constexpr double kTickS = 0.01;
constexpr double kFetchS = 0.02;          // s that a worker takes to fetch an image
constexpr double kHeartbeatTimeoutS = 4;  // s, by the protocol
constexpr double kSubmitTimeoutS = 5;     // s, by the protocol
constexpr double kPollTimeoutS = 2;       // s, by the protocol
constexpr std::size_t kPollsAtOnce = 24;
constexpr std::size_t kUserConnections = 64;
const transport::ServerLimits kServerLimits{2000, 2000};

unsigned short free_port() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address(kHost), 0});
  return acceptor.local_endpoint().port();
}

std::string endpoint(unsigned short port) { return std::string(kHost) + ":" + std::to_string(port); }

std::string member(int controller) { return "node-" + std::to_string(controller); }

}  // namespace

Site::Site(SiteOptions options) : options_(std::move(options)) {
  folder_ =
      (std::filesystem::temp_directory_path() / ("robinford-loopback-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(folder_);
  for (const auto& [team, amounts] : options_.teams) history_.limits[team] = amounts.second;
  start_state_service();
  start_cloud();
  controllers_.resize(static_cast<std::size_t>(options_.controllers));
  for (auto& controller : controllers_) {
    controller.port = free_port();
    controller.peer_port = free_port();
    controller.users = std::make_shared<transport::HttpClient>(io_, kHost, controller.port, kUserConnections);
    controller.heartbeats =
        std::make_shared<transport::HttpClient>(io_, kHost, controller.port, kUserConnections);
  }
  start_workers();
  for (int i = 0; i < options_.controllers; ++i) {
    controllers_[i].settings_path = folder_ + "/" + member(i) + ".toml";
    std::ofstream(controllers_[i].settings_path) << settings_text(i);
    start(i);
  }
  tick();
}

Site::~Site() {
  for (auto& controller : controllers_)
    if (controller.process != 0) {
      kill(controller.process, SIGKILL);
      waitpid(controller.process, nullptr, 0);
    }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

double Site::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count();
}

bool Site::run(double seconds, const std::function<bool()>& until) {
  const double end = now() + seconds;
  while (now() < end) {
    if (until && until()) return true;
    io_.run_for(std::chrono::milliseconds(5));
    if (io_.stopped()) io_.restart();
  }
  return until && until();
}

bool Site::run_until_led(double seconds) {
  constexpr int kLooksPerQuestion = 40;  // each question asks all controllers for their metrics
  int looks = 0;
  return run(seconds, [this, &looks] { return ++looks % kLooksPerQuestion == 0 && leader() >= 0; });
}

void Site::after(double seconds, std::function<void()> run) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(static_cast<int>(seconds * 1000)));
  timer->async_wait([timer, run = std::move(run)](boost::system::error_code error) {
    if (!error) run();
  });
}

void Site::tick() {
  store_.expire_leases(now());
  answer_watches();
  for (auto& worker : workers_) step(*worker);
  poll_some();
  ticker_.expires_after(std::chrono::milliseconds(static_cast<int>(kTickS * 1000)));
  ticker_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void Site::record(EventKind kind, std::uint64_t job, std::uint32_t task, const std::string& worker) {
  history_.events.push_back({kind, job, task, worker});
}

// ---------------------------------------------------------------- controllers

std::string Site::settings_text(int controller) const {
  std::ostringstream out;
  const auto& own = controllers_[controller];
  out << "member = \"" << member(controller) << "\"\nlocation = \"a\"\nlisten = \"" << endpoint(own.port)
      << "\"\npeer_bind = \"" << endpoint(own.peer_port) << "\"\n";
  for (int other = 0; other < options_.controllers; ++other)
    if (other != controller)
      out << "[[known]]\nmember = \"" << member(other) << "\"\nlocation = \"a\"\naddr = \""
          << endpoint(controllers_[other].peer_port) << "\"\n";
  out << "[endpoints]\ncloud = \"" << endpoint(cloud_->port()) << "\"\nstate = \""
      << endpoint(state_proxy_->port()) << "\"\n[deployment]\ncount = " << options_.controllers
      << "\nzones = [\"a\"]\nclock_error_ms = 100.0\n";
  for (const auto& [team, amounts] : options_.teams)
    out << "[[deployment.teams]]\nname = \"" << team << "\"\ncpus = " << amounts.first
        << "\ncpus_max = " << amounts.second << "\n";
  if (options_.start_objective_s > 0)
    out << "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"plain\"\nwithin_s = "
        << options_.start_objective_s << "\nshare = 0.9\n";
  out << "[deployment.workers]\nreport_s = " << options_.heartbeat_interval_s
      << "\nlease_s = " << options_.lease_s
      << "\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = " << options_.cancel_s
      << "\n[deployment.state]\nrps = " << options_.state_rps << "\nwrite_rps = " << options_.state_write_rps
      << "\nvalue_kb = 16.0\ntxn_ops = 32\n[deployment.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n"
      << "[deployment.quota]\ncpu = 1.0\nram_mb = 400.0\nsockets = 1000\n";
  return out.str();
}

void Site::start(int controller) {
  auto& own = controllers_[controller];
  std::vector<std::string> words{ROBINFORD_BINARY};
  if (!options_.switch_file.empty()) {
    words.emplace_back("--quota-leases");
    words.push_back(options_.switch_file);
  }
  words.emplace_back("--config");
  words.push_back(own.settings_path);
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + member(controller) + ".log";
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn(&own.process, ROBINFORD_BINARY, &actions, nullptr, arguments.data(), environ) != 0)
    throw std::runtime_error("the controller's program can't be started");
  posix_spawn_file_actions_destroy(&actions);
}

void Site::restart(int controller, double back_after_s) {
  auto& own = controllers_[controller];
  kill(own.process, SIGKILL);
  waitpid(own.process, nullptr, 0);
  own.process = 0;
  after(back_after_s, [this, controller] { start(controller); });
}

std::vector<std::string> Site::metrics() {
  std::vector<std::string> pages(controllers_.size());
  std::size_t answered = 0;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    controllers_[i].users->call({"GET", n::kPathMetrics, "", 1.0, false},
                                [&, i](int status, std::string body) {
                                  ++answered;
                                  if (status == 200) pages[i] = std::move(body);
                                });
  run(2, [&] { return answered == pages.size(); });
  return pages;
}

int Site::leader() {
  const auto pages = metrics();
  for (std::size_t i = 0; i < pages.size(); ++i)
    if (metric_sum({pages[i]}, "leading") > 0) return static_cast<int>(i);
  return -1;
}

// ---------------------------------------------------------------- state service and cloud

void Site::start_state_service() {
  state_ = std::make_unique<transport::HttpServer>(
      io_, kServerLimits,
      [this](std::uint64_t token, const std::string& method, const std::string& target,
             const std::string& body) {
        if (target.starts_with(n::kPathWatch)) {
          const double wait = std::stod(simulation::query(target, n::kQueryWaitMs)) / 1000;
          watches_.push_back({token, target, now() + wait});
          return answer_watches();
        }
        const auto [status, answer] = store_.call(now(), method, target, body);
        state_->reply(token, {status, 0, answer, false, false});
        answer_watches();
      },
      [](const std::string&) { return true; });
  state_->listen(kHost, 0);
  state_proxy_ = std::make_unique<BreakingProxy>(io_, state_->port());
}

void Site::answer_watches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    std::string body;
    if (!store_.watch_answer(it->target, now() >= it->until, body)) {
      ++it;
      continue;
    }
    state_->reply(it->token, {200, 0, body, false, false});
    it = watches_.erase(it);
  }
}

void Site::start_cloud() {
  cloud_ = std::make_unique<transport::HttpServer>(
      io_, kServerLimits,
      [this](std::uint64_t token, const std::string& method, const std::string& target,
             const std::string& body) {
        const auto [status, answer] = cloud_call(method, target, body);
        cloud_->reply(token, {status, 0, answer, false, false});
      },
      [](const std::string&) { return true; });
  cloud_->listen(kHost, 0);
}

void Site::return_machines(const std::string& body) {
  const auto names = protocol::parse_provisioned(body);
  if (!names) return;
  for (auto& worker : workers_) {
    if (worker->gone || std::find(names->begin(), names->end(), worker->name) == names->end()) continue;
    drop_tasks(*worker);
    worker->gone = true;
  }
}

// The machines are there from the start, and none is provisioned. They are returned while the cloud is up.
std::pair<int, std::string> Site::cloud_call(const std::string& method, const std::string& target,
                                             const std::string& body) {
  protocol::MachineType type;
  type.name = "big";
  type.cpus = options_.worker_cpus;
  type.memory_gb = 256;
  type.price = 1;
  type.spot_price = 1;
  type.boot_s = 600;
  type.cache_gb = 100;
  type.fetch_gb_per_s = 1;
  type.zones = {"a"};
  if (target == n::kPathCatalog) return {200, protocol::catalog_json({type})};
  if (target == n::kPathReturn && cloud_up_) {
    return_machines(body);
    return {200, "{}"};
  }
  if (target == n::kPathReturn) return {503, R"({"error":"trouble"})"};
  if (method == "POST") return {503, R"({"error":"no capacity"})"};
  json::array list;
  for (const auto& worker : workers_) {
    if (worker->gone) continue;
    json::object entry;
    entry[n::kMachineName] = worker->name;
    entry[n::kAddr] = worker->addr;
    entry[n::kType] = type.name;
    entry[n::kZone] = "a";
    entry[n::kSpot] = false;
    entry[n::kState] = "running";
    entry[n::kAgeS] = now();
    list.emplace_back(std::move(entry));
  }
  json::object answer;
  answer[n::kMachines] = std::move(list);
  answer[n::kMore] = false;
  return {200, json::serialize(answer)};
}

// ---------------------------------------------------------------- workers

void Site::start_workers() {
  for (int i = 0; i < options_.workers; ++i) {
    auto worker = std::make_unique<Worker>();
    char name[32];
    std::snprintf(name, sizeof name, "host-%06d", i);
    worker->name = name;
    worker->controller = i % options_.controllers;
    worker->server = std::make_unique<transport::HttpServer>(
        io_, kServerLimits,
        [this, own = worker.get()](std::uint64_t token, const std::string&, const std::string&,
                                   const std::string& body) {
          const auto list = protocol::parse_commands(body);
          if (own->gone) return own->server->reply(token, {503, 0, "", false, false});
          const bool good = list && list->fencing_token && *list->fencing_token >= own->fencing_token &&
                            list->agent_epoch && *list->agent_epoch == own->agent_epoch;
          if (good) {
            own->fencing_token = *list->fencing_token;
            execute_commands(*own, list->commands);
          }
          own->server->reply(
              token, {good ? 200 : 409, 0, protocol::heartbeat_json(heartbeat_of(*own)), false, false});
        },
        [](const std::string&) { return true; });
    worker->server->listen(kHost, 0);
    worker->proxy = std::make_unique<CommandProxy>(io_, worker->server->port());
    worker->addr = endpoint(worker->proxy->port());
    workers_.push_back(std::move(worker));
  }
}

void Site::end_task(Worker& worker, const TaskId& id, ExitReason exit_reason) {
  auto& task = worker.tasks.at(id);
  if (task.phase == TaskPhase::kRunning) record(EventKind::kTaskOff, id.job, id.index, worker.name);
  task.phase = TaskPhase::kExited;
  task.exit_reason = exit_reason;
  worker.changed = true;
}

void Site::drop_tasks(Worker& worker) {
  for (auto& [id, task] : worker.tasks)
    if (task.phase != TaskPhase::kExited) end_task(worker, id, ExitReason::kStopped);
  worker.tasks.clear();
}

void Site::reset_worker(int index) {
  Worker& worker = *workers_[index];
  drop_tasks(worker);
  worker.agent_epoch = 1;
  worker.count = worker.fencing_token = 0;
  worker.lease_from = worker.next_heartbeat = now();
  worker.in_flight = false;
  ++worker.lives;
}

bool Site::on_a_worker(std::uint64_t job) const {
  for (const auto& worker : workers_)
    for (const auto& [id, task] : worker->tasks)
      if (id.job == job && task.phase == TaskPhase::kRunning) return true;
  return false;
}

void Site::step(Worker& worker) {
  if (worker.gone) return;
  const double present = now();
  if (present - worker.lease_from > options_.lease_s) {
    drop_tasks(worker);
    ++worker.agent_epoch;
    worker.count = 0;
    worker.lease_from = present;
    worker.in_flight = false;
  }
  for (auto& [id, task] : worker.tasks) {
    if (present < task.ends_at) continue;
    if (task.phase == TaskPhase::kFetching) {
      task.phase = TaskPhase::kRunning;
      task.ends_at = present + specs_.at(id.job).estimate_s;
      worker.changed = true;
      record(EventKind::kTaskOn, id.job, id.index, worker.name);
    } else if (task.phase == TaskPhase::kRunning) {
      if (results_[id.job].insert(id.index).second) record(EventKind::kTaskDone, id.job, id.index);
      end_task(worker, id, ExitReason::kDone);
    }
  }
  const bool due = present >= worker.next_heartbeat || (worker.changed && present - worker.last_sent >= 0.5);
  if (!worker.in_flight && due && present >= worker.silent_until) heartbeat(worker);
}

protocol::Heartbeat Site::heartbeat_of(Worker& worker) {
  protocol::Heartbeat heartbeat;
  heartbeat.machine = worker.name;
  heartbeat.addr = worker.addr;
  heartbeat.type = "big";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = worker.agent_epoch;
  heartbeat.seq = ++worker.count;
  heartbeat.fencing_token = worker.fencing_token;
  for (const auto& [id, task] : worker.tasks)
    heartbeat.tasks.push_back({id, task.attempt, task.phase, task.exit_reason, false});
  return heartbeat;
}

void Site::heartbeat(Worker& worker) {
  const double sent = now();
  worker.changed = false;
  worker.in_flight = true;
  worker.last_sent = sent;
  worker.next_heartbeat = sent + options_.heartbeat_interval_s;
  const auto agent_epoch = worker.agent_epoch;
  controllers_[worker.controller].heartbeats->call(
      {"POST", n::kPathHeartbeat, protocol::heartbeat_json(heartbeat_of(worker)), kHeartbeatTimeoutS, false},
      [this, &worker, sent, agent_epoch, life = worker.lives](int status, const std::string& answer) {
        if (agent_epoch != worker.agent_epoch || life != worker.lives) return;
        worker.in_flight = false;
        if (status != 200) {
          worker.controller = (worker.controller + 1) % options_.controllers;
          worker.next_heartbeat = now() + (status == 421 ? options_.heartbeat_interval_s : 1);
          return;
        }
        const auto list = protocol::parse_commands(answer);
        if (!list || !list->fencing_token || *list->fencing_token < worker.fencing_token) return;
        worker.changed = worker.changed || *list->fencing_token > worker.fencing_token;
        worker.fencing_token = *list->fencing_token;
        worker.lease_from = sent;
        execute_commands(worker, list->commands);
      });
}

void Site::execute_commands(Worker& worker, const std::vector<Command>& commands) {
  for (const auto& command : commands) {
    const auto found = worker.tasks.find(command.task);
    const bool same = found != worker.tasks.end() && found->second.attempt == command.attempt;
    if (command.op == Command::Op::kLaunch)
      launch(worker, command);
    else if (same && command.op == Command::Op::kClear && found->second.phase == TaskPhase::kExited)
      worker.tasks.erase(found);
    else if (same && command.op == Command::Op::kStop && found->second.phase != TaskPhase::kExited)
      end_task(worker, command.task, ExitReason::kStopped);
  }
}

void Site::launch(Worker& worker, const Command& command) {
  const auto found = worker.tasks.find(command.task);
  if (found != worker.tasks.end() &&
      (found->second.attempt == command.attempt || found->second.phase != TaskPhase::kExited))
    return;
  double used = 0;
  for (const auto& [id, task] : worker.tasks)
    if (task.phase != TaskPhase::kExited) used += specs_.at(id.job).cpus;
  Task task;
  task.attempt = command.attempt;
  task.ends_at = now() + kFetchS;
  if (used + specs_.at(command.task.job).cpus > options_.worker_cpus) {
    task.phase = TaskPhase::kExited;
    task.exit_reason = ExitReason::kInsufficientResources;
  }
  worker.tasks[command.task] = task;
  worker.changed = true;
}

// ---------------------------------------------------------------- users

void Site::submit(int controller, const protocol::JobSpec& spec) {
  specs_[spec.id] = spec;
  history_.jobs[spec.id] = {spec.team, spec.tasks, spec.cpus};
  ++submitting_;
  try_submit(controller, spec);
}

void Site::try_submit(int controller, const protocol::JobSpec& spec) {
  controllers_[controller].users->call(
      {"POST", n::kPathJobs, json::serialize(protocol::job_json(spec)), kSubmitTimeoutS, false},
      [this, controller, spec](int status, const std::string&) {
        if (status != 200 && status != 201)
          return after(
              1, [this, next = (controller + 1) % options_.controllers, spec] { try_submit(next, spec); });
        --submitting_;
        record(EventKind::kAccepted, spec.id);
        unfinished_.push_back(spec.id);
      });
}

void Site::cancel(std::uint64_t job) {
  const auto at = next_poll_controller_++ % controllers_.size();
  const std::string target = std::string(n::kPathJobs) + "/" + protocol::job_id_text(job) + n::kPathCancel;
  controllers_[at].users->call({"POST", target, "", kSubmitTimeoutS, false},
                               [this, job](int status, const std::string&) {
                                 if (status != 200) return after(1, [this, job] { cancel(job); });
                                 cancelled_.insert(job);
                                 std::erase(unfinished_, job);
                                 record(EventKind::kCancelled, job);
                               });
}

void Site::poll_some() {
  while (polling_ < kPollsAtOnce && !unfinished_.empty() && polling_ < unfinished_.size()) {
    const auto job = unfinished_.front();
    unfinished_.pop_front();
    unfinished_.push_back(job);
    poll(job);
  }
}

void Site::poll(std::uint64_t job) {
  ++polling_;
  const auto at = next_poll_controller_++ % controllers_.size();
  controllers_[at].users->call(
      {"GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(job), "", kPollTimeoutS, false},
      [this, job](int status, const std::string& body) {
        // A pause between the questions keeps them from crowding out everything else.
        after(0.1, [this] { --polling_; });
        if (status != 200) return;
        const bool done = body.find("\"stage\":\"done\"") != std::string::npos;
        record(done ? EventKind::kAnsweredDone : EventKind::kAnsweredOther, job);
        if (done) std::erase(unfinished_, job);
      });
}

}  // namespace robinford::loopback
