#include "site.hpp"

#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <sstream>

#include "protocol/names.hpp"
#include "simulated_cluster_common.hpp"

namespace review {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace n = robinford::names;
namespace p = robinford::protocol;
using asio::ip::tcp;
using p::Command;
using p::ExitReason;
using p::TaskId;
using p::TaskPhase;

namespace {
constexpr char kHost[] = "127.0.0.1";
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr double kFetchS = 0.3;
const robinford::transport::ServerLimits kLimits{3000, 3000};
// Teams of the small deployment: guarantee and limit in cpus.
const std::map<std::string, std::pair<double, double>> kTeams{
    {"routing", {48, 200}}, {"slotting", {112, 408}}, {"inbound", {80, 200}}};

std::string endpoint(unsigned short port) { return std::string(kHost) + ":" + std::to_string(port); }
std::string member(int node) { return "herder-" + std::to_string(node); }

std::chrono::microseconds span(double seconds) {
  return std::chrono::microseconds(static_cast<long>(seconds * 1e6));
}

asio::awaitable<void> pause(asio::io_context& io, double seconds) {
  asio::steady_timer timer(io, span(seconds));
  co_await timer.async_wait(kTuple);
}
}  // namespace

std::string stage_of(const std::string& body) {
  const auto value = p::parse_json(body);
  if (!value || !value->is_object()) return {};
  const auto* stage = value->get_object().if_contains(n::kState);
  return stage != nullptr && stage->is_string() ? std::string(stage->get_string()) : std::string();
}

Site::Site(asio::io_context& io, Options wanted, std::string folder, const std::string& record)
    : options(std::move(wanted)),
      io_(io),
      folder_(std::move(folder)),
      record_(record),
      ticker_(io),
      state_(io, tcp::endpoint(asio::ip::make_address(kHost), 0)) {
  asio::co_spawn(io_, accept_state(), asio::detached);
  start_cloud();
  // Below the ports that the system gives to clients, so that a controller finds its own free when it is started again.
  // All are held at once, so that none is given twice.
  std::vector<std::unique_ptr<tcp::acceptor>> held;
  std::random_device device;
  const auto free_port = [&] {
    for (;;) {
      const auto port = static_cast<unsigned short>(20000 + device() % 12000);
      auto acceptor = std::make_unique<tcp::acceptor>(io_);
      boost::system::error_code error;
      acceptor->open(tcp::v4());
      acceptor->bind(tcp::endpoint(asio::ip::make_address(kHost), port), error);
      if (!error) acceptor->listen(1, error);
      if (error) continue;
      held.push_back(std::move(acceptor));
      return port;
    }
  };
  for (int i = 0; i < options.controllers; ++i) {
    ports_.push_back(free_port());
    peer_ports_.push_back(free_port());
    clients_.push_back(std::make_shared<robinford::transport::HttpClient>(io_, kHost, ports_.back(), 64));
  }
  for (const auto& machine : options.rented) rent(machine.type, machine.zone, machine.up_after_s);
  spare_left_ = options.spare;
  held.clear();
  write_settings();
  std::ofstream(folder_ + "/ready") << options.controllers << "\n";
  tick();
}

double Site::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count();
}

void Site::after(double seconds, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(io_, span(seconds));
  timer->async_wait([timer, run = std::move(run)](boost::system::error_code error) {
    if (!error) run();
  });
}

void Site::log(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", now());
  record_ << time << line << '\n' << std::flush;
}

void Site::broken(const std::string& rule, const std::string& what) {
  ++rules_broken;
  if (first_broken.empty()) first_broken = rule + ": " + what;
  log("BROKEN " + rule + ": " + what);
}

void Site::write_settings() {
  for (int node = 0; node < options.controllers; ++node) {
    std::ostringstream out;
    out << "member = \"" << member(node) << "\"\nlocation = \"trakia\"\nlisten = \"" << endpoint(ports_[node])
        << "\"\npeer_bind = \"" << endpoint(peer_ports_[node]) << "\"\n";
    for (int other = 0; other < options.controllers; ++other)
      if (other != node)
        out << "[[known]]\nmember = \"" << member(other) << "\"\nlocation = \"trakia\"\naddr = \""
            << endpoint(peer_ports_[other]) << "\"\n";
    out << "[endpoints]\ncloud = \"" << endpoint(cloud_->port()) << "\"\nstate = \""
        << endpoint(state_.local_endpoint().port()) << "\"\n[deployment]\ncount = " << options.controllers
        << "\nzones = [\"trakia\", \"vitosha\", \"dunav\"]\nclock_error_ms = 100.0\n";
    for (const auto& [team, amounts] : kTeams)
      out << "[[deployment.teams]]\nname = \"" << team << "\"\ncpus = " << amounts.first
          << "\ncpus_max = " << amounts.second << "\ngpus = 0.0\ngpus_max = 0.0\n";
    out << "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"wavesolve\"\nwithin_s = 20.0\nshare = 0.82\n"
        << "[[deployment.objectives]]\nkind = \"guarantee\"\nwithin_s = 15.0\nshare = 0.8\n"
        << "[deployment.workers]\nreport_s = " << options.report_s << "\nlease_s = " << options.lease_s
        << "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = " << options.cancel_s
        << "\n[deployment.state]\nrps = 100.0\nwrite_rps = 40.0\nvalue_kb = 16.0\ntxn_ops = 32\n";
    if (!options.state_next.empty()) out << "[deployment.state.next]\n" << options.state_next;
    out << "[deployment.cloud]\nrps = 2.0\nlist_lag_s = 5.0\n[deployment.quota]\ncpu = 0.08\nram_mb = 40.0\n"
        << "sockets = 500\n";
    const std::string path = folder_ + "/node-" + std::to_string(node) + ".toml";
    std::ofstream(path + ".new") << out.str();
    std::rename((path + ".new").c_str(), path.c_str());
  }
}

void Site::signal_controller(int node, int signal) {
  int process = 0;
  std::ifstream(folder_ + "/pid-" + std::to_string(node)) >> process;
  if (process <= 1) return log("no process of " + member(node));
  log("signal " + std::to_string(signal) + " to " + member(node));
  kill(process, signal);
}

// ---------------------------------------------------------------- state service

asio::awaitable<void> Site::accept_state() {
  for (;;) {
    auto [error, socket] = co_await state_.async_accept(kTuple);
    if (error) co_return;
    asio::co_spawn(io_, serve_state(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Site::serve_state(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(1 << 20);
    const auto [error, bytes] = co_await http::async_read(socket, buffer, parser, kTuple);
    (void)bytes;
    if (error) co_return;
    const auto request = parser.release();
    const StateRequest seen{std::string(request.method_string()), std::string(request.target()), request.body()};
    const bool is_watch = seen.target.starts_with(n::kPathWatch);
    const Fate fate = this->fate ? this->fate(seen) : Fate{};
    std::pair<int, std::string> answer{200, ""};
    if (is_watch) {
      const double until =
          now() + std::stod(robinford::simulation::query(seen.target, n::kQueryWaitMs)) / 1000;
      for (;;) {
        store_.expire_leases(now());
        if (store_.watch_answer(seen.target, now() >= until, answer.second)) break;
        co_await pause(io_, 0.01);
      }
    } else {
      store_.expire_leases(now());
      if (seen.target.size() > 4096 || (seen.target == n::kPathTxn && !p::parse_json(seen.body)))
        answer = {400, "{}"};
      else
        answer = store_.call(now(), seen.method, seen.target, seen.body);
      co_await pause(io_, options.state_latency_s);
    }
    if (fate.reset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      co_return;
    }
    http::response<http::string_body> response{static_cast<http::status>(answer.first), request.version()};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(answer.second);
    response.prepare_payload();
    const auto [write_error, written] = co_await http::async_write(socket, response, kTuple);
    (void)written;
    if (write_error || !request.keep_alive()) co_return;
  }
}

// ---------------------------------------------------------------- cloud

Site::Worker& Site::rent(const std::string& type, const std::string& zone, double boot_s) {
  auto worker = std::make_unique<Worker>();
  char name[32];
  std::snprintf(name, sizeof name, "host-%06d", ++next_host_);
  worker->name = name;
  worker->type = type;
  worker->zone = zone;
  worker->cpus = type == "kutia" ? 16 : 32;
  worker->memory_gb = 64;
  worker->rented_at = now();
  worker->up_at = now() + boot_s;
  worker->controller = next_host_ % options.controllers;
  start_worker(*worker);
  workers_.push_back(std::move(worker));
  return *workers_.back();
}

void Site::start_cloud() {
  cloud_ = std::make_unique<robinford::transport::HttpServer>(
      io_, kLimits,
      [this](std::uint64_t token, const std::string& method, const std::string& target, const std::string& body) {
        const auto [status, answer] = cloud_call(method, target, body);
        cloud_->reply(token, {status, 0, answer, false, false});
      },
      [](const std::string&) { return true; });
  cloud_->listen(kHost, 0);
}

std::pair<int, std::string> Site::cloud_call(const std::string& method, const std::string& target,
                                             const std::string& body) {
  if (target == n::kPathCatalog) {
    p::MachineType kutia;
    kutia.name = "kutia";
    kutia.cpus = 16;
    kutia.memory_gb = 64;
    kutia.cache_gb = 40;
    kutia.fetch_gb_per_s = 0.2;
    kutia.price = 0.97;
    kutia.spot_price = 0.34;
    kutia.boot_s = 30;
    kutia.zones = {"trakia", "vitosha", "dunav"};
    p::MachineType sklad = kutia;
    sklad.name = "sklad";
    sklad.cpus = 32;
    sklad.price = 1.73;
    sklad.spot_price = 0.7;
    sklad.boot_s = 15;
    return {200, p::catalog_json({kutia, sklad})};
  }
  const auto value = p::parse_json(body);
  if (method == "POST" && target == n::kPathReturn && value) {
    for (const auto& name : value->at(n::kMachines).as_array())
      for (auto& worker : workers_)
        if (worker->name == name.as_string() && !worker->gone) {
          log("cloud: " + worker->name + " is returned");
          for (auto& [id, task] : worker->tasks)
            if (task.phase != TaskPhase::kExited) log("gone " + p::task_text(id) + " on " + worker->name);
          worker->tasks.clear();
          worker->gone = true;
          worker->up = false;
          if (worker->server) worker->server->stop();
        }
    return {200, "{}"};
  }
  if (method == "POST" && target == n::kPathMachines && value) {
    const std::string hire(value->at(n::kRequest).as_string());
    if (!hires_.contains(hire)) {
      std::vector<std::string> names;
      for (auto left = value->at(n::kCount).to_number<int>(); left > 0 && spare_left_ > 0; --left) {
        --spare_left_;
        const std::string type(value->at(n::kType).as_string());
        names.push_back(
            rent(type, std::string(value->at(n::kZone).as_string()), type == "kutia" ? 30 : 15).name);
        log("cloud: rents " + names.back());
      }
      if (names.empty()) return {503, R"({"error":"no capacity"})"};
      hires_[hire] = names;
    }
    return {200, p::return_json(hires_[hire])};
  }
  json::array list;
  const std::string from = robinford::simulation::query(target, n::kQueryAfter);
  for (const auto& worker : workers_) {
    if (worker->gone || (!from.empty() && worker->name <= from)) continue;
    json::object entry;
    entry[n::kMachineName] = worker->name;
    entry[n::kAddr] = worker->addr;
    entry[n::kType] = worker->type;
    entry[n::kZone] = worker->zone;
    entry[n::kSpot] = false;
    const bool failed = worker->stopped_at >= 0 && now() - worker->stopped_at > 30;
    entry[n::kState] = failed ? n::kFailed : worker->up || worker->stopped_at >= 0 ? "running" : n::kBooting;
    entry[n::kAgeS] = now() - worker->rented_at;
    list.emplace_back(std::move(entry));
  }
  json::object answer;
  answer[n::kMachines] = std::move(list);
  answer[n::kMore] = false;
  return {200, json::serialize(answer)};
}

// ---------------------------------------------------------------- workers

void Site::start_worker(Worker& worker) {
  worker.server = std::make_unique<robinford::transport::HttpServer>(
      io_, kLimits,
      [this, own = &worker](std::uint64_t token, const std::string& method, const std::string&,
                            const std::string& body) {
        if (!own->up) return;
        int status = 200;
        if (method == "POST") {
          const auto list = p::parse_commands(body);
          if (!list || !list->fencing_token || !list->agent_epoch)
            status = 400;
          else if (*list->fencing_token < own->fencing_token || *list->agent_epoch != own->agent_epoch)
            status = 409;
          else {
            own->fencing_token = *list->fencing_token;
            execute(*own, list->commands);
          }
        }
        own->server->reply(token, {status, 0, p::heartbeat_json(heartbeat_of(*own)), false, false});
      },
      [](const std::string&) { return true; });
  worker.server->listen(kHost, 0);
  worker.addr = endpoint(worker.server->port());
}

void Site::tick() {
  store_.expire_leases(now());
  for (std::size_t i = 0; i < workers_.size(); ++i) step(*workers_[i]);
  ticker_.expires_after(std::chrono::milliseconds(10));
  ticker_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void Site::end_task(Worker& worker, const TaskId& id, ExitReason exit_reason) {
  auto& task = worker.tasks.at(id);
  log("ended " + p::task_text(id) + " on " + worker.name + ": " + p::to_text(exit_reason));
  task.phase = TaskPhase::kExited;
  task.exit_reason = exit_reason;
  worker.changed = true;
}

void Site::step(Worker& worker) {
  const double present = now();
  if (worker.gone) return;
  if (!worker.up) {
    if (present < worker.up_at || worker.stopped_at >= 0) return;
    worker.up = true;
    worker.lease_from = present;
  }
  if (present - worker.lease_from > options.lease_s) {
    log("lease of " + worker.name + " is over");
    for (auto& [id, task] : worker.tasks)
      if (task.phase != TaskPhase::kExited) end_task(worker, id, ExitReason::kStopped);
    worker.tasks.clear();
    ++worker.agent_epoch;
    worker.lease_from = present;
    worker.in_flight = false;
    worker.changed = true;
  }
  for (auto& [id, task] : worker.tasks) {
    if (present < task.ends_at || task.phase == TaskPhase::kExited) continue;
    auto& job = jobs.at(id.job);
    if (task.phase == TaskPhase::kFetching) {
      const bool kept = job.completed.contains(id.index);
      task.phase = TaskPhase::kRunning;
      task.ends_at = kept ? present : present + job.spec.estimate_s;
      worker.changed = true;
      ++job.starts;
      if (job.first_start < 0) job.first_start = present;
      log("runs " + p::task_text(id) + " try " + std::to_string(task.attempt) + " on " + worker.name);
      for (const auto& other : workers_) {
        if (other.get() == &worker) continue;
        const auto twin = other->tasks.find(id);
        if (twin != other->tasks.end() && twin->second.phase == TaskPhase::kRunning)
          broken("ran_twice", p::task_text(id) + " on " + worker.name + " and " + other->name);
      }
      if (job.cancelled >= 0 && present > job.cancelled + options.cancel_s)
        broken("ran_cancelled", p::task_text(id) + " starts after its cancellation");
    } else if (task.phase == TaskPhase::kRunning) {
      job.completed.insert(id.index);
      end_task(worker, id, ExitReason::kDone);
    }
  }
  const bool due = present >= worker.next_heartbeat || (worker.changed && present - worker.last_sent >= 0.5);
  if (!worker.in_flight && due) heartbeat(worker);
}

p::Heartbeat Site::heartbeat_of(Worker& worker) {
  p::Heartbeat heartbeat;
  heartbeat.machine = worker.name;
  heartbeat.addr = worker.addr;
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
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
  const double jitter = 0.75 + 0.5 * static_cast<double>(random() % 1000) / 1000;
  worker.next_heartbeat = sent + options.report_s * jitter;
  const auto agent_epoch = worker.agent_epoch;
  const int node = worker.controller;
  clients_[node]->call(
      {"POST", n::kPathHeartbeat, p::heartbeat_json(heartbeat_of(worker)), 4.0, true},
      [this, &worker, sent, agent_epoch, node](int status, const std::string& answer) {
        if (agent_epoch != worker.agent_epoch || worker.gone || worker.stopped_at >= 0) return;
        worker.in_flight = false;
        if (status != 200) {
          worker.controller = (node + 1) % options.controllers;
          worker.next_heartbeat = now() + 1;
          if (status != 421) return;
          const auto value = p::parse_json(answer);
          const auto* named = value && value->is_object() ? value->get_object().if_contains(n::kRedirectTo) : nullptr;
          for (int other = 0; named != nullptr && named->is_string() && other < options.controllers; ++other)
            if (other != node && named->get_string() == member(other)) {
              worker.controller = other;
              worker.next_heartbeat = now() + 0.1;
            }
          return;
        }
        const auto list = p::parse_commands(answer);
        if (!list || !list->fencing_token || *list->fencing_token < worker.fencing_token) return;
        if (*list->fencing_token > worker.fencing_token &&
            now() - worker.token_change_reported > options.lease_s / 2) {
          worker.token_change_reported = now();
          worker.changed = true;
        }
        worker.fencing_token = *list->fencing_token;
        worker.lease_from = sent;
        execute(worker, list->commands);
      });
}

void Site::execute(Worker& worker, const std::vector<Command>& commands) {
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
  Task task;
  task.attempt = command.attempt;
  task.ends_at = now() + kFetchS;
  const auto job = jobs.find(command.task.job);
  if (job == jobs.end()) {
    task.phase = TaskPhase::kExited;
    task.exit_reason = ExitReason::kUnknown;
  } else {
    double cpus = 0, memory_gb = 0;
    for (const auto& [id, other] : worker.tasks)
      if (other.phase != TaskPhase::kExited) {
        cpus += jobs.at(id.job).spec.cpus;
        memory_gb += jobs.at(id.job).spec.memory_gb;
      }
    if (cpus + job->second.spec.cpus > worker.cpus + 1e-6 ||
        memory_gb + job->second.spec.memory_gb > worker.memory_gb + 1e-6) {
      task.phase = TaskPhase::kExited;
      task.exit_reason = ExitReason::kInsufficientResources;
    }
  }
  worker.tasks[command.task] = task;
  worker.changed = true;
}

void Site::stop_machine(const std::string& name) {
  for (auto& worker : workers_) {
    if (worker->name != name) continue;
    log(name + " stops with all that is on it");
    for (auto& [id, task] : worker->tasks)
      if (task.phase != TaskPhase::kExited) log("gone " + p::task_text(id) + " on " + name);
    worker->tasks.clear();
    worker->up = false;
    worker->stopped_at = now();
    worker->server->stop();
  }
}

std::string Site::machine_of(JobId id) const {
  for (const auto& worker : workers_)
    for (const auto& [task, state] : worker->tasks)
      if (task.job == id && state.phase == TaskPhase::kRunning) return worker->name;
  return {};
}

void Site::used(std::map<std::string, double>& by_team) const {
  for (const auto& worker : workers_)
    for (const auto& [id, task] : worker->tasks)
      if (task.phase != TaskPhase::kExited) by_team[jobs.at(id.job).spec.team] += jobs.at(id.job).spec.cpus;
}

bool Site::room_for(const JobSpec& spec) const {
  std::map<std::string, double> by_team;
  used(by_team);
  if (by_team[spec.team] + spec.cpus > kTeams.at(spec.team).second) return false;
  for (const auto& worker : workers_) {
    if (!worker->up || worker->gone) continue;
    if (spec.zone && *spec.zone != worker->zone) continue;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), worker->type) == spec.types->end()) continue;
    double cpus = 0, memory_gb = 0;
    for (const auto& [id, task] : worker->tasks)
      if (task.phase != TaskPhase::kExited) {
        cpus += jobs.at(id.job).spec.cpus;
        memory_gb += jobs.at(id.job).spec.memory_gb;
      }
    if (cpus + spec.cpus <= worker->cpus && memory_gb + spec.memory_gb <= worker->memory_gb) return true;
  }
  return false;
}

// ---------------------------------------------------------------- users

void Site::call(int node, const std::string& method, const std::string& target, const std::string& body,
                double timeout_s, std::function<void(int, const std::string&)> done) {
  clients_[node]->call({method, target, body, timeout_s, true},
                       [done = std::move(done)](int status, std::string answer) { done(status, answer); });
}

void Site::submit(const JobSpec& spec, bool poll) {
  auto& job = jobs[spec.id];
  job.spec = spec;
  job.first_try = now();
  try_submit(spec.id, static_cast<int>(random() % options.controllers), now() + 60);
  if (poll) poll_later(spec.id, static_cast<int>(random() % options.controllers));
}

void Site::check_accepted_state(JobFacts& job, const std::string& stage, int node) {
  const std::string id = p::job_id_text(job.spec.id);
  if (stage == n::kStateDone) {
    if (job.completed.size() < job.spec.tasks) broken("not_done", id + " by " + member(node));
    if (job.done < 0) job.done = now();
  }
  if (stage == n::kStateCancelled && job.cancel_asked < 0) broken("went_back", id + " is called withdrawn");
}

void Site::try_submit(JobId id, int node, double give_up_at) {
  call(node, "POST", n::kPathJobs, json::serialize(p::job_json(jobs.at(id).spec)), 5.0,
       [this, id, node, give_up_at](int status, const std::string& body) {
         auto& job = jobs.at(id);
         log("submission of " + p::job_id_text(id) + " at " + member(node) + ": " + std::to_string(status) + " " +
             body);
         if (status == 200 || status == 201) {
           if (job.accepted < 0) job.accepted = now();
           check_accepted_state(job, stage_of(body), node);
           return;
         }
         if (status == 400 || status == 422) return;
         if (now() < give_up_at)
           after(1.0, [this, id, node, give_up_at] {
             try_submit(id, (node + 1) % options.controllers, give_up_at);
           });
       });
}

void Site::submit_once(const JobSpec& spec, int node, std::function<void(int, const std::string&)> done) {
  call(node, "POST", n::kPathJobs, json::serialize(p::job_json(spec)), 5.0,
       [this, id = spec.id, node, done = std::move(done)](int status, const std::string& body) {
         log("repeated submission of " + p::job_id_text(id) + " at " + member(node) + ": " + std::to_string(status) +
             " " + body);
         done(status, body);
       });
}

// Users poll about every 5 s until the job is done or cancelled.
void Site::poll_later(JobId id, int node) {
  after(4.5 + static_cast<double>(random() % 1000) / 1000, [this, id, node] {
    if (jobs.at(id).done >= 0 || jobs.at(id).cancelled >= 0) return;
    if (jobs.at(id).accepted >= 0) poll(id, node);
    poll_later(id, static_cast<int>(random() % options.controllers));
  });
}

void Site::poll(JobId id, int node) {
  const double sent = now();
  call(node, "GET", std::string(n::kPathJobs) + "/" + p::job_id_text(id), "", 2.0,
       [this, id, node, sent](int status, const std::string& body) {
         auto& job = jobs.at(id);
         job.polls.push_back({sent, now(), node, status, body});
         log("poll of " + p::job_id_text(id) + " at " + member(node) + ": " + std::to_string(status) + " " + body);
         const std::string name = p::job_id_text(id);
         if (status == 404 && job.accepted >= 0 && job.accepted < sent)
           broken("forgotten", name + " is answered with 404");
         if (status != 200) return;
         const std::string stage = stage_of(body);
         if (job.done >= 0 && job.done < sent && stage != n::kStateDone) broken("went_back", name + ": " + stage);
         if (job.cancelled >= 0 && job.cancelled < sent && stage != n::kStateCancelled)
           broken("went_back", name + ": " + stage);
         check_accepted_state(job, stage, node);
       });
}

void Site::cancel(JobId id) {
  jobs.at(id).cancel_asked = now();
  try_cancel(id, static_cast<int>(random() % options.controllers));
}

void Site::try_cancel(JobId id, int node) {
  call(node, "POST", std::string(n::kPathJobs) + "/" + p::job_id_text(id) + n::kPathCancel, "", 5.0,
       [this, id, node](int status, const std::string& body) {
         log("cancellation of " + p::job_id_text(id) + " at " + member(node) + ": " + std::to_string(status) + " " +
             body);
         if (status == 200) {
           auto& job = jobs.at(id);
           if (stage_of(body) == n::kStateCancelled && job.cancelled < 0) job.cancelled = now();
           check_accepted_state(job, stage_of(body), node);
           return;
         }
         after(1.0, [this, id, node] { try_cancel(id, (node + 1) % options.controllers); });
       });
}

void Site::find_leader(std::function<void(int)> done) {
  auto left = std::make_shared<int>(options.controllers);
  auto found = std::make_shared<int>(-1);
  for (int node = 0; node < options.controllers; ++node)
    call(node, "GET", n::kPathMetrics, "", 1.0, [left, found, node, done](int status, const std::string& body) {
      if (status == 200 && (body.find("leading 1\n") != std::string::npos)) *found = node;
      if (--*left == 0) done(*found);
    });
}

}  // namespace review
