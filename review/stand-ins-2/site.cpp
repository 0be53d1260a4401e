#include "site.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <sstream>

#include "protocol/names.hpp"

extern char** environ;

namespace standin {
namespace json = boost::json;
namespace protocol = robinford::protocol;
namespace n = robinford::names;
using robinford::transport::HttpClient;
using robinford::transport::HttpServer;
using tcp = asio::ip::tcp;

namespace {

constexpr double kTickS = 0.02;
constexpr double kReportTimeoutS = 4, kSubmitTimeoutS = 5, kPollTimeoutS = 2;  // by the protocol page
constexpr double kSubmitForS = 60;
constexpr std::size_t kClientConnections = 64;
const robinford::transport::ServerLimits kLimits{4000, 4000};

// Loopback addresses of this process: controllers have 11 and so on, relays 2, everything else 1.
std::string host_of(std::size_t number) {
  const int process = getpid();
  return "127." + std::to_string(1 + process % 200) + "." + std::to_string(process / 200 % 250) + "." +
         std::to_string(number);
}

const std::size_t kFirstController = 11;

unsigned short free_port(const std::string& host) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address(host), 0});
  return acceptor.local_endpoint().port();
}

std::string stage_of(const std::string& body) {
  const auto value = protocol::parse_json(body);
  if (!value || !value->is_object()) return {};
  const auto* stage = value->get_object().if_contains("stage");
  return stage != nullptr && stage->is_string() ? std::string(stage->get_string()) : std::string();
}

}  // namespace

// ---------------------------------------------------------------- relay

struct Relay::Connection {
  Connection(tcp::socket accepted, asio::io_context& io) : from(std::move(accepted)), to(io) {}
  void close() {
    boost::system::error_code ignored;
    from.close(ignored);
    to.close(ignored);
  }
  tcp::socket from, to;
  std::array<char, 16384> forth{}, back{};
};

Relay::Relay(asio::io_context& io, const std::string& host, const std::string& to_host,
             unsigned short to_port)
    : io_(io), to_(asio::ip::make_address(to_host), to_port), host_(host), port_(free_port(host)) {
  open();
}

void Relay::open() {
  acceptor_ = std::make_unique<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address(host_), port_));
  accept();
}

void Relay::refuse(bool refused) {
  if (!refused) {
    if (!acceptor_) open();
    return;
  }
  acceptor_.reset();
  for (auto& weak : connections_)
    if (const auto connection = weak.lock()) connection->close();
  connections_.clear();
}

void Relay::accept() {
  acceptor_->async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(std::move(socket), io_);
    connections_.remove_if([](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    connection->to.async_connect(to_, [this, connection](boost::system::error_code refused) {
      if (refused) return connection->close();
      pump(connection, true);
      pump(connection, false);
    });
    accept();
  });
}

void Relay::pump(const std::shared_ptr<Connection>& connection, bool forth) {
  if (held_) {
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(20));
    timer->async_wait(
        [this, timer, connection, forth](boost::system::error_code) { pump(connection, forth); });
    return;
  }
  auto& source = forth ? connection->from : connection->to;
  auto& chunk = forth ? connection->forth : connection->back;
  source.async_read_some(
      asio::buffer(chunk), [this, connection, forth](boost::system::error_code error, std::size_t bytes) {
        if (error) return connection->close();
        auto& sink = forth ? connection->to : connection->from;
        auto& data = forth ? connection->forth : connection->back;
        asio::async_write(sink, asio::buffer(data.data(), bytes),
                          [this, connection, forth](boost::system::error_code broken, std::size_t) {
                            if (broken) return connection->close();
                            pump(connection, forth);
                          });
      });
}

// ---------------------------------------------------------------- site

Site::Site(SiteOptions options) : options_(std::move(options)), store_(options_.limits) {
  record_.open(options_.folder + "/record.txt");
  scratch_ = (std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(scratch_);
  const auto always = [](const std::string&) { return true; };
  cloud_ = std::make_unique<HttpServer>(
      io_, kLimits,
      [this](std::uint64_t token, const std::string& method, const std::string& target,
             const std::string& body) {
        const auto [status, answer] = cloud_down_ ? std::pair(503, std::string("{\"error\":\"trouble\"}"))
                                                  : cloud_call(method, target, body);
        after(0.1, [this, token, status = status, answer = answer] {
          cloud_->reply(token, {status, 0, answer, false, false});
        });
      },
      always);
  cloud_->listen(host_of(1), 0);
  nodes_.resize(options_.locations.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    node.member = "herder-" + std::to_string(i);
    node.host = host_of(kFirstController + i);
    node.port = free_port(node.host);
    node.peer_port = free_port(node.host);
    node.state = std::make_unique<HttpServer>(
        io_, kLimits,
        [this, i](std::uint64_t token, const std::string& method, const std::string& target,
                  const std::string& body) { on_state(static_cast<int>(i), token, method, target, body); },
        always);
    node.state->listen(host_of(1), 0);
    node.users = std::make_shared<HttpClient>(io_, node.host, node.port, kClientConnections);
    node.reports = std::make_shared<HttpClient>(io_, node.host, node.port, kClientConnections);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    for (std::size_t j = 0; j < nodes_.size(); ++j)
      nodes_[i].relays.push_back(
          i == j ? nullptr : std::make_unique<Relay>(io_, host_of(2), nodes_[j].host, nodes_[j].peer_port));
  for (const auto& pool : options_.at_start)
    for (int i = 0; i < pool.count; ++i) add_worker(pool, 0);
  for (int i = 0; i < count(); ++i) start(i);
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    note("told to end");
    for (int i = 0; i < count(); ++i) kill_node(i);
    std::error_code ignored;
    std::filesystem::remove_all(scratch_, ignored);
    std::_Exit(2);
  });
  tick();
}

Site::~Site() {
  for (auto& node : nodes_) {
    if (node.process == 0) continue;
    kill(node.process, SIGKILL);
    waitpid(node.process, nullptr, 0);
  }
  note("all processes that were started have ended");
  std::error_code ignored;
  if (const char* keep = getenv("KEEP_LOGS"); keep != nullptr)
    std::filesystem::copy(
        scratch_, keep,
        std::filesystem::copy_options::overwrite_existing | std::filesystem::copy_options::recursive,
        ignored);
  std::filesystem::remove_all(scratch_, ignored);
}

double Site::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count();
}

void Site::note(const std::string& text) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
  record_ << stamp << text << std::endl;
}

void Site::breach(const std::string& what) {
  if (!breach_keys_.insert(what).second) return;
  breaches_.push_back(what);
  note("RULE BROKEN: " + what);
}

void Site::after(double seconds, std::function<void()> run) {
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, run = std::move(run)](boost::system::error_code error) {
    if (!error) run();
  });
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

void Site::tick() {
  if (!state_down_) store_.expire(now());
  answer_watches();
  for (int i = 0; i < count(); ++i) reap(i);
  for (std::size_t i = 0; i < workers_.size(); ++i) step(*workers_[i]);
  for (const auto& [job, at] : cancel_told_)
    if (now() > at + options_.cancel_s && tasks_present(job) > 0)
      breach("ran_cancelled: a task of " + protocol::job_id_text(job) + " is on a machine");
  ticker_.expires_after(std::chrono::milliseconds(static_cast<int>(kTickS * 1000)));
  ticker_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

// ---------------------------------------------------------------- controllers

void Site::write_settings(int index) {
  auto& node = nodes_[index];
  std::ostringstream out;
  out << "member = \"" << node.member << "\"\nlocation = \"" << options_.locations[index] << "\"\nlisten = \""
      << node.host << ":" << node.port << "\"\npeer_bind = \"" << node.host << ":" << node.peer_port
      << "\"\n";
  for (int other = 0; other < count(); ++other)
    if (other != index)
      out << "\n[[known]]\nmember = \"" << nodes_[other].member << "\"\nlocation = \""
          << options_.locations[other] << "\"\naddr = \"" << host_of(2) << ":" << node.relays[other]->port()
          << "\"\n";
  out << "\n[endpoints]\ncloud = \"" << host_of(1) << ":" << cloud_->port() << "\"\nstate = \"" << host_of(1)
      << ":" << node.state->port() << "\"\n\n[deployment]\ncount = " << count() << "\nzones = [";
  for (std::size_t i = 0; i < options_.zones.size(); ++i)
    out << (i > 0 ? ", " : "") << '"' << options_.zones[i] << '"';
  out << "]\nclock_error_ms = 100.0\n" << std::fixed;
  for (const auto& team : options_.teams)
    out << "\n[[deployment.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
        << "\ncpus_max = " << team.cpus_max << "\ngpus = 0.0\ngpus_max = 0.0\n";
  for (const auto& aim : options_.objectives) {
    out << "\n[[deployment.objectives]]\nkind = \"" << aim.kind << "\"\n";
    if (!aim.job_class.empty()) out << "class = \"" << aim.job_class << "\"\n";
    if (aim.within_s > 0) out << "within_s = " << aim.within_s << "\n";
    out << "share = " << aim.share << "\ntimes = " << aim.times << "\n";
  }
  out << "\n[deployment.workers]\nreport_s = " << options_.report_s << "\nlease_s = " << options_.lease_s
      << "\ngang_wait_s = " << options_.gang_wait_s << "\ngang_peer_s = " << options_.gang_peer_s
      << "\ncancel_s = " << options_.cancel_s << "\n\n[deployment.state]\nrps = " << options_.limits.rps
      << "\nwrite_rps = " << options_.limits.write_rps << "\nvalue_kb = " << options_.limits.value_kb
      << "\ntxn_ops = " << options_.limits.txn_ops << "\n";
  if (!options_.next_limits.empty()) out << "\n[deployment.state.next]\n" << options_.next_limits << "\n";
  out << "\n[deployment.cloud]\nrps = " << options_.cloud_rps << "\nlist_lag_s = " << options_.list_lag_s
      << "\n\n[deployment.quota]\ncpu = " << options_.cpu << "\nram_mb = " << options_.ram_mb
      << "\nsockets = " << options_.sockets << "\n";
  node.settings = scratch_ + "/" + node.member + ".toml";
  std::ofstream(node.settings) << out.str();
}

void Site::start(int index) {
  auto& node = nodes_[index];
  write_settings(index);
  std::istringstream run_command(options_.program);
  std::vector<std::string> command{std::istream_iterator<std::string>(run_command), {}};
  if (command.size() == 1) command.emplace_back("--config");
  std::string path = node.settings;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  std::vector<char*> words;
  for (auto& word : command) words.push_back(word.data());
  words.push_back(path.data());
  words.push_back(nullptr);
  const std::string log = scratch_ + "/" + node.member + ".log";
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);  // no socket of this process
  if (posix_spawn(&node.process, words[0], &actions, nullptr, words.data(), environ) != 0) {
    std::cerr << "the controller's program can't be started\n";
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  note(node.member + " started");
}

void Site::reap(int index) {
  auto& node = nodes_[index];
  if (node.process == 0) return;
  int status = 0;
  if (waitpid(node.process, &status, WNOHANG) != node.process) return;
  node.process = 0;
  ++unexpected_ends_;
  breach(node.member + " ended by itself, status " + std::to_string(status));
  after(4, [this, index] { start(index); });
}

bool Site::alive(int node) { return nodes_[node].process != 0; }

void Site::kill_node(int index) {
  auto& node = nodes_[index];
  if (node.process == 0) return;
  kill(node.process, SIGKILL);
  waitpid(node.process, nullptr, 0);
  node.process = 0;
  note(node.member + " killed");
}

void Site::restart(int index, double back_after_s) {
  kill_node(index);
  after(back_after_s, [this, index] { start(index); });
}

void Site::terminate(int index, double back_after_s) {
  auto& node = nodes_[index];
  if (node.process == 0) return;
  const int process = std::exchange(node.process, 0);
  kill(process, SIGTERM);
  note(node.member + " told to end");
  after(1.5, [process] {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  });
  after(std::max(1.6, back_after_s), [this, index] { start(index); });
}

void Site::freeze(int index) {
  kill(nodes_[index].process, SIGSTOP);
  note(nodes_[index].member + " stands still");
}

void Site::thaw(int index) {
  if (nodes_[index].process != 0) kill(nodes_[index].process, SIGCONT);
  note(nodes_[index].member + " goes on");
}

int Site::leader() {
  std::vector<int> leads(nodes_.size(), -1);
  std::size_t answered = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    nodes_[i].users->call(
        {"GET", n::kPathMetrics, "", 0.8, false}, [&leads, &answered, i](int status, std::string body) {
          ++answered;
          leads[i] = status == 200 && body.find("robinford_leading 1") != std::string::npos ? 1 : 0;
        });
  run(2, [&] { return answered == leads.size(); });
  for (std::size_t i = 0; i < leads.size(); ++i)
    if (leads[i] == 1) return static_cast<int>(i);
  return -1;
}

void Site::refuse_peers(int from, int to, bool refused) { nodes_[from].relays[to]->refuse(refused); }

// ---------------------------------------------------------------- state service

void Site::state_down(bool down) {
  note(down ? "the state service is down" : "the state service is back");
  if (state_down_ && !down) store_.restart_leases(now());
  state_down_ = down;
}

void Site::refuse_state(int node, bool refused) {
  note(nodes_[node].member +
       (refused ? " gets 503 from the state service" : " is served by the state service"));
  nodes_[node].refused = refused;
}

void Site::silence_state(int node, bool silent) {
  note(nodes_[node].member + (silent ? " is cut from the state service" : " reaches the state service"));
  nodes_[node].silent = silent;
}

void Site::answer_state(int node, std::uint64_t token, int status, const std::string& body) {
  after(state_latency_s_, [this, node, token, status, body] {
    if (!nodes_[node].silent) nodes_[node].state->reply(token, {status, 0, body, false, false});
  });
}

void Site::on_state(int node, std::uint64_t token, const std::string& method, const std::string& target,
                    const std::string& body) {
  if (nodes_[node].silent) return;
  if (state_down_ || nodes_[node].refused) return answer_state(node, token, 503, "{}");
  if (!store_.admit(now())) return answer_state(node, token, 429, "{}");
  if (target.starts_with("/follow")) {
    watches_.push_back({node, token, target, now() + std::stod(query(target, "waitMs")) / 1000});
    return answer_watches();
  }
  if (target == "/multi") {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (draw < late_share_) {
      after(late_by_s_ * std::uniform_real_distribution<double>(0.2, 1)(random_),
            [this, method, target, body] {
              const auto [status, answer] = store_.call(now(), method, target, body);
              note("a transaction was carried out late: " + std::to_string(status));
              answer_watches();
            });
      return;
    }
    const auto [status, answer] = store_.call(now(), method, target, body);
    if (status == 400) note("the state service refuses with 400: " + answer + " " + body.substr(0, 160));
    if (draw >= late_share_ + lost_share_) answer_state(node, token, status, answer);
    return answer_watches();
  }
  const auto [status, answer] = store_.call(now(), method, target, body);
  answer_state(node, token, status, answer);
  answer_watches();
}

void Site::answer_watches() {
  if (state_down_) return;
  for (auto it = watches_.begin(); it != watches_.end();) {
    auto& node = nodes_[it->node];
    const auto answer =
        node.refused || node.silent ? std::nullopt : store_.follow(it->target, now() >= it->until);
    if (!answer && now() < it->until + 60) {
      ++it;
      continue;
    }
    if (answer) node.state->reply(it->token, {answer->first, 0, answer->second, false, false});
    it = watches_.erase(it);
  }
}

// ---------------------------------------------------------------- cloud

Site::Worker& Site::add_worker(const Pool& pool, double boot_s) {
  auto worker = std::make_unique<Worker>();
  char name[32];
  std::snprintf(name, sizeof name, "host-%06d", next_machine_++);
  worker->name = name;
  worker->type = pool.type;
  worker->zone = pool.zone;
  worker->spot = pool.spot;
  worker->rented_at = now();
  worker->boots_at = now() + boot_s;
  worker->node = static_cast<int>(random_() % nodes_.size());
  worker->server = std::make_unique<HttpServer>(
      io_, kLimits,
      [this, own = worker.get()](std::uint64_t token, const std::string&, const std::string&,
                                 const std::string& body) { on_command(*own, token, body); },
      [](const std::string&) { return true; });
  worker->server->listen(host_of(1), 0);
  worker->addr = host_of(1) + ":" + std::to_string(worker->server->port());
  workers_.push_back(std::move(worker));
  return *workers_.back();
}

std::pair<int, std::string> Site::cloud_call(const std::string& method, const std::string& target,
                                             const std::string& body) {
  if (target == "/catalog") return {200, protocol::catalog_json(options_.types)};
  const auto value = protocol::parse_json(body);
  if (method == "POST" && target == "/machines/return" && value) {
    for (const auto& host : value->at("hosts").as_array())
      for (auto& worker : workers_)
        if (worker->name == host.as_string() && !worker->gone) remove_worker(*worker, "returned");
    return {200, "{}"};
  }
  if (method == "POST" && target == "/machines" && value) {
    const std::string hire(value->at("hire").as_string());
    if (const auto known = hires_.find(hire); known != hires_.end()) return {200, known->second};
    const std::string type(value->at("build").as_string()), zone(value->at("yard").as_string());
    const bool spot = value->at("loaners").as_bool();
    int left = 0;
    for (const auto& pool : options_.pools)
      if (pool.type == type && pool.zone == zone && pool.spot == spot) left = pool.count;
    for (const auto& worker : workers_)
      if (!worker->gone && worker->type == type && worker->zone == zone && worker->spot == spot) --left;
    const int wanted = static_cast<int>(value->at("howMany").to_number<std::int64_t>());
    if (left <= 0) return {503, "{\"error\":\"no capacity\"}"};
    double boot_s = 30;
    for (const auto& known : options_.types)
      if (known.name == type) boot_s = known.boot_s * options_.boot_factor;
    json::array hosts;
    for (int i = 0; i < std::min(left, wanted); ++i)
      hosts.emplace_back(add_worker({type, zone, spot, 1}, boot_s).name);
    const auto answer = json::serialize(json::object{{"hosts", hosts}});
    note("the cloud rents " + answer);
    ++rented_;
    hires_[hire] = answer;
    return {200, answer};
  }
  if (method == "GET" && target.starts_with("/machines")) {
    const auto from = query(target, "after");
    json::array list;
    for (const auto& worker : workers_) {
      const bool shown = now() - worker->rented_at >= options_.list_lag_s || worker->boots_at <= 0.1;
      if (worker->gone || !shown || worker->name <= from) continue;
      list.emplace_back(json::object{{"nameId", worker->name},
                                     {"addr", worker->addr},
                                     {"build", worker->type},
                                     {"yard", worker->zone},
                                     {"loaners", worker->spot},
                                     {"stage", worker->dead && now() > worker->died_at + 30 ? "failed"
                                               : worker->up                                 ? "running"
                                                                                            : "booting"},
                                     {"ageS", now() - worker->rented_at}});
    }
    return {200, json::serialize(json::object{{"hosts", list}, {"truncated", false}})};
  }
  return {400, "{}"};
}

void Site::remove_worker(Worker& worker, const char* why) {
  note("machine " + worker.name + " is gone: " + why);
  for (auto& task : worker.tasks) off(worker, task);
  worker.tasks.clear();
  worker.gone = true;
}

// ---------------------------------------------------------------- workers

Site::Worker* Site::worker_of(const TaskId& id) {
  for (auto& worker : workers_)
    for (const auto& task : worker->tasks)
      if (task.id == id && task.on_machine) return worker.get();
  return nullptr;
}

int Site::tasks_present(JobId job) {
  int count = 0;
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks)
      if (task.id.job == job && task.on_machine) ++count;
  return count;
}

double Site::used_by(const std::string& team) {
  double cpus = 0;
  for (const auto& worker : workers_)
    for (const auto& task : worker->tasks)
      if (task.phase != TaskPhase::kExited && specs_.at(task.id.job).team == team)
        cpus += specs_.at(task.id.job).cpus;
  return cpus;
}

int Site::room_for(const JobSpec& spec) {
  int count = 0;
  for (const auto& worker : workers_) {
    if (!worker->up || worker->gone || worker->dead || now() < worker->hung_until || worker->baton == 0)
      continue;
    if ((spec.zone && *spec.zone != worker->zone) || (worker->spot && !spec.spot)) continue;
    if (spec.types && std::count(spec.types->begin(), spec.types->end(), worker->type) == 0) continue;
    for (const auto& type : options_.types) {
      if (type.name != worker->type) continue;
      double cpus = type.cpus, memory = type.memory_gb;
      for (const auto& task : worker->tasks) {
        if (task.phase == TaskPhase::kExited) continue;
        cpus -= specs_.at(task.id.job).cpus;
        memory -= specs_.at(task.id.job).memory_gb;
      }
      count += std::max(0, static_cast<int>(std::min(cpus / spec.cpus, memory / spec.memory_gb) + 1e-9));
    }
  }
  return count;
}

void Site::hang(Worker& worker, double for_s) {
  worker.hung_until = now() + for_s;
  note("machine " + worker.name + " hangs for " + std::to_string(for_s) + " s");
}

void Site::sicken(Worker& worker, double for_s) {
  worker.sick_until = now() + for_s;
  note("machine " + worker.name + " fails every task for " + std::to_string(for_s) + " s");
  after(for_s, [this, name = worker.name] { note("machine " + name + " is well again"); });
}

void Site::die(Worker& worker) {
  note("machine " + worker.name + " stops with all that is on it");
  for (auto& task : worker.tasks) off(worker, task);
  worker.tasks.clear();
  worker.dead = true;
  worker.died_at = now();
}

std::vector<std::pair<Site::Worker*, Site::Task*>> Site::mates(const Task& task) {
  std::vector<std::pair<Worker*, Task*>> found;
  for (auto& worker : workers_) {
    if (worker->gone || worker->dead || now() < worker->hung_until) continue;
    for (auto& other : worker->tasks)
      if (other.id.job == task.id.job && other.attempt == task.attempt && other.phase != TaskPhase::kExited)
        found.emplace_back(worker.get(), &other);
  }
  return found;
}

void Site::on(Worker& worker, Task& task) {
  const auto& spec = specs_.at(task.id.job);
  const std::string name = protocol::task_text(task.id);
  if (const auto* other = worker_of(task.id); other != nullptr)
    breach("ran_twice: " + name + " starts on " + worker.name + " while it is on " + other->name);
  task.on_machine = true;
  last_start_ = now();
  note(name + " attempt " + std::to_string(task.attempt) + " starts on " + worker.name);
  double used = 0;
  for (const auto& any : workers_)
    for (const auto& other : any->tasks) {
      if (!other.on_machine) continue;
      const auto& its = specs_.at(other.id.job);
      if (its.team == spec.team) used += its.cpus;
    }
  for (const auto& team : options_.teams)
    if (team.name == spec.team && team.cpus_max > 0 && used > team.cpus_max + 1e-6)
      breach("quota: team " + team.name + " uses " + std::to_string(used));
  for (const auto needed : spec.dependencies)
    if (results_[needed].size() < specs_.at(needed).tasks)
      breach("too_early: " + name + " starts before " + protocol::job_id_text(needed) + " is done");
  const bool allowed = (!spec.zone || *spec.zone == worker.zone) && (spec.spot || !worker.spot) &&
                       (!spec.types || std::count(spec.types->begin(), spec.types->end(), worker.type) > 0);
  std::uint32_t here = 0;
  bool together = true;
  for (const auto& any : workers_)
    for (const auto& other : any->tasks) {
      if (!other.on_machine || other.id.job != spec.id) continue;
      here += any->zone == worker.zone ? 1 : 0;
      together = together && any->zone == worker.zone;
    }
  if (!allowed || (spec.one_zone && !together) || (spec.spread && here > (spec.tasks + 1) / 2))
    breach("wrong_place: " + name + " starts on " + worker.name);
  if (const auto told = cancel_told_.find(spec.id);
      told != cancel_told_.end() && now() > told->second + options_.cancel_s)
    breach("ran_cancelled: " + name + " starts");
}

void Site::off(Worker& worker, Task& task) {
  if (!task.on_machine) return;
  task.on_machine = false;
  worker.changed = true;
}

void Site::exit_task(Worker& worker, Task& task, ExitReason cause, bool stored) {
  if (task.phase == TaskPhase::kExited) return;
  task.phase = TaskPhase::kExited;
  task.cause = cause;
  task.stored = stored;
  off(worker, task);
  worker.changed = true;
  note(protocol::task_text(task.id) + " attempt " + std::to_string(task.attempt) + " ended on " +
       worker.name + ": " + protocol::to_text(cause));
}

void Site::completed(Worker& worker, Task& task) {
  if (results_[task.id.job].insert(task.id.index).second) last_result_[task.id.job] = now();
  exit_task(worker, task, ExitReason::kDone, false);
}

void Site::step(Worker& worker) {
  const double present = now();
  // Once its lease is over, what is on a hanging machine isn't held against the controllers.
  if (worker.up && present < worker.hung_until && present - worker.lease_from > options_.lease_s)
    for (auto& task : worker.tasks) off(worker, task);
  if (worker.gone || worker.dead || present < worker.hung_until) return;
  if (!worker.up) {
    if (present < worker.boots_at) return;
    worker.up = true;
    worker.lease_from = present;
    note("machine " + worker.name + " is up");
  }
  if (present - worker.lease_from > options_.lease_s) {
    note("the lease of " + worker.name + " is over");
    for (auto& task : worker.tasks) off(worker, task);
    worker.tasks.clear();
    ++worker.shift;
    worker.tally = 0;
    worker.lease_from = present;
    worker.in_flight = false;
    worker.changed = true;
  }
  for (auto& held : std::exchange(worker.held, {})) on_command(worker, held.first, held.second);
  for (std::size_t i = 0; i < worker.tasks.size(); ++i) {
    auto& task = worker.tasks[i];
    const auto& spec = specs_.at(task.id.job);
    switch (task.phase) {
      case TaskPhase::kFetching:
        if (present < task.ready_at) break;
        on(worker, task);
        worker.changed = true;
        if (present < worker.sick_until) {
          exit_task(worker, task, ExitReason::kError, false);
          break;
        }
        if (results_[spec.id].contains(task.id.index)) {
          exit_task(worker, task, ExitReason::kDone, false);
          break;
        }
        task.phase = spec.gang ? TaskPhase::kWaiting : TaskPhase::kRunning;
        task.alone_at = present + options_.gang_wait_s;
        task.ends_at = present + run_s_[spec.id];
        break;
      case TaskPhase::kWaiting: {
        const auto all = mates(task);
        const auto ready = std::count_if(all.begin(), all.end(), [](const auto& mate) {
          return mate.second->phase == TaskPhase::kWaiting || mate.second->phase == TaskPhase::kRunning;
        });
        if (ready == static_cast<long>(spec.tasks)) {
          for (const auto& [where, mate] : all) {
            if (mate->phase != TaskPhase::kWaiting) continue;
            mate->phase = TaskPhase::kRunning;
            mate->ends_at = present + run_s_[spec.id] - saved_s_[spec.id];
            where->changed = true;
          }
        } else if (present > task.alone_at) {
          exit_task(worker, task, ExitReason::kAlone, false);
        }
        break;
      }
      case TaskPhase::kRunning: {
        if (spec.gang && mates(task).size() < spec.tasks) {
          if (task.mates_gone_at == 0) task.mates_gone_at = present;
          if (present - task.mates_gone_at > options_.gang_peer_s)
            exit_task(worker, task, ExitReason::kPeers, false);
          break;
        }
        task.mates_gone_at = 0;
        if (present < task.ends_at) break;
        if (!spec.gang) {
          completed(worker, task);
          break;
        }
        const auto all = mates(task);
        for (const auto& [where, mate] : all) completed(*where, *mate);
        break;
      }
      case TaskPhase::kSaving:
        if (present >= task.save_until) exit_task(worker, task, ExitReason::kStopped, true);
        break;
      case TaskPhase::kExited:
        break;
    }
  }
  const bool due = present >= worker.next_report || (worker.changed && present - worker.last_sent >= 0.5);
  if (!worker.in_flight && due && present - worker.last_sent >= 0.5) report(worker);
}

std::string Site::report_body(Worker& worker) {
  protocol::Heartbeat body;
  body.machine = worker.name;
  body.addr = worker.addr;
  body.type = worker.type;
  body.zone = worker.zone;
  body.spot = worker.spot;
  body.agent_epoch = worker.shift;
  body.seq = ++worker.tally;
  body.fencing_token = worker.baton;
  if (worker.taken_at > now()) body.interruption_notice_s = worker.taken_at - now();
  for (const auto& task : worker.tasks)
    body.tasks.push_back({task.id, task.attempt, task.phase, task.cause, task.stored});
  if (options_.newest_first) std::reverse(body.tasks.begin(), body.tasks.end());
  return protocol::heartbeat_json(body);
}

void Site::report(Worker& worker) {
  const double sent = now();
  worker.changed = false;
  worker.in_flight = true;
  worker.last_sent = sent;
  worker.next_report = sent + options_.report_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
  const auto shift = worker.shift;
  const auto flight = ++worker.flight;
  nodes_[worker.node].reports->call(
      {"POST", n::kPathHeartbeat, report_body(worker), kReportTimeoutS, false},
      [this, &worker, sent, shift, flight](int status, const std::string& answer) {
        if (worker.gone || worker.dead || shift != worker.shift || flight != worker.flight) return;
        if (now() < worker.hung_until) {
          worker.in_flight = false;
          return;
        }
        worker.in_flight = false;
        if (status != 200) {
          int next = (worker.node + 1) % count();
          double pause = 1;
          if (status == 421)
            for (int i = 0; i < count(); ++i)
              if (i != worker.node && answer.find("\"" + nodes_[i].member + "\"") != std::string::npos)
                next = i, pause = 0.1;
          worker.node = next;
          worker.next_report = now() + pause;
          return;
        }
        const auto list = protocol::parse_commands(answer);
        if (!list || !list->fencing_token || *list->fencing_token < worker.baton) return;
        worker.changed = worker.changed || *list->fencing_token > worker.baton;
        worker.baton = *list->fencing_token;
        worker.lease_from = sent;
        execute(worker, list->commands);
      });
}

void Site::on_command(Worker& worker, std::uint64_t token, const std::string& body) {
  if (worker.gone || worker.dead || !worker.up) return;
  if (now() < worker.hung_until) return worker.held.emplace_back(token, body), void();
  const auto list = protocol::parse_commands(body);
  if (!list || !list->fencing_token || !list->agent_epoch)
    return worker.server->reply(token, {400, 0, "{}", false, false});
  const bool good = *list->fencing_token >= worker.baton && *list->agent_epoch == worker.shift;
  if (good) {
    worker.changed = worker.changed || *list->fencing_token > worker.baton;
    worker.baton = *list->fencing_token;
    execute(worker, list->commands);
  }
  worker.server->reply(token, {good ? 200 : 409, 0, report_body(worker), false, false});
}

void Site::execute(Worker& worker, const std::vector<Command>& commands) {
  for (const auto& command : commands) {
    const auto found = std::find_if(worker.tasks.begin(), worker.tasks.end(), [&](const Task& task) {
      return task.id == command.task && task.attempt == command.attempt;
    });
    const bool known = found != worker.tasks.end();
    if (command.op == Command::Op::kLaunch) {
      if (!known) launch(worker, command);
    } else if (command.op == Command::Op::kClear) {
      if (known && found->phase == TaskPhase::kExited) worker.tasks.erase(found);
    } else if (known && found->phase != TaskPhase::kExited) {
      const auto& spec = specs_.at(command.task.job);
      if (found->phase == TaskPhase::kRunning && spec.checkpoint_s > 0 && command.grace_s >= spec.save_s) {
        found->phase = TaskPhase::kSaving;
        found->save_until = now() + spec.save_s;
        worker.changed = true;
      } else if (found->phase != TaskPhase::kSaving || command.grace_s == 0) {
        exit_task(worker, *found, ExitReason::kStopped, false);
      }
    }
  }
}

void Site::launch(Worker& worker, const Command& command) {
  Task task;
  task.id = command.task;
  task.attempt = command.attempt;
  task.ready_at = now() + 0.3;
  const auto refuse = [&](ExitReason cause) {
    task.phase = TaskPhase::kExited;
    task.cause = cause;
  };
  const auto spec = specs_.find(command.task.job);
  if (spec == specs_.end()) {
    refuse(ExitReason::kUnknown);
    breach("invented work: " + protocol::task_text(command.task));
  } else {
    double cpus = 0, memory = 0;
    bool busy = false;
    for (const auto& other : worker.tasks) {
      if (other.phase == TaskPhase::kExited) continue;
      busy = busy || other.id == task.id;
      cpus += specs_.at(other.id.job).cpus;
      memory += specs_.at(other.id.job).memory_gb;
    }
    for (const auto& type : options_.types)
      if (type.name == worker.type && (cpus + spec->second.cpus > type.cpus + 1e-6 ||
                                       memory + spec->second.memory_gb > type.memory_gb + 1e-6))
        refuse(ExitReason::kInsufficientResources);
    if (busy) refuse(ExitReason::kBusy);
    if (results_[command.task.job].contains(command.task.index)) ++launches_after_result_;
  }
  worker.tasks.push_back(task);
  worker.changed = true;
}

// ---------------------------------------------------------------- users

void Site::tell(JobId id, int status, const std::string& body, double asked_at, const char* what) {
  const std::string name = protocol::job_id_text(id);
  const std::string stage = stage_of(body);
  auto& told = told_[id];
  if (told.status != status || told.stage != stage)
    note(std::string(what) + " " + name + ": " + std::to_string(status) + " " + body.substr(0, 120));
  told = {status, stage, now()};
  const auto accepted_at = accepted_.find(id);
  const bool known = accepted_at != accepted_.end() && asked_at > accepted_at->second;
  if (known && status == 404) breach("forgotten: " + name + " is answered with 404");
  if (known && (status == 400 || status == 422) && std::string(what) == "submission of")
    breach("forgotten: a repeated submission of " + name + " is answered with " + std::to_string(status));
  if (status == 200 || status == 201 || status == 404) answered_at_[id] = now();
  if (status != 200 && status != 201) return;
  if (!specs_.contains(id)) return breach("invented: " + name);
  if (stage == "done" && results_[id].size() < specs_.at(id).tasks) breach("not_done: " + name);
  if (stage == "withdrawn") {
    bool asked = cancel_asked_.contains(id);
    std::vector<JobId> open(specs_.at(id).dependencies);
    while (!open.empty()) {
      asked = asked || cancel_asked_.contains(open.back());
      const auto next = specs_.at(open.back()).dependencies;
      open.pop_back();
      open.insert(open.end(), next.begin(), next.end());
    }
    if (!asked) breach("went_back: " + name + " is called cancelled, and nobody cancelled it");
    if (cancel_asked_.contains(id)) cancel_told_.emplace(id, now());
  }
  if (const auto was = final_.find(id);
      was != final_.end() && was->second != stage && asked_at > over_at_[id])
    breach("went_back: " + name + " was called " + was->second + " and is called " + stage);
  if ((stage == "done" || stage == "withdrawn") && final_.emplace(id, stage).second) over_at_[id] = now();
}

void Site::submit(const JobSpec& spec, double run_s, int node) {
  specs_[spec.id] = spec;
  run_s_[spec.id] = run_s;
  submit_body(spec.id, json::serialize(protocol::job_json(spec)), node);
}

void Site::submit_body(JobId id, const std::string& body, int node) {
  note("user submits " +
       (body.size() < 700 ? body : body.substr(0, 300) + "... (" + std::to_string(body.size()) + " bytes)"));
  try_submit(id, body, node, now());
}

void Site::try_submit(JobId id, const std::string& body, int node, double since) {
  const double asked = now();
  nodes_[node].users->call({"POST", n::kPathJobs, body, kSubmitTimeoutS, true},
                           [=, this](int status, const std::string& answer) {
                             tell(id, status, answer, asked, "submission of");
                             if (status == 200 || status == 201) return accepted_.emplace(id, now()), void();
                             if (status == 400 || status == 422 || now() - since > kSubmitForS) return;
                             after(1, [=, this] { try_submit(id, body, (node + 1) % count(), since); });
                           });
}

void Site::cancel(JobId id, int node) {
  cancel_asked_.insert(id);
  const double asked = now();
  nodes_[node].users->call(
      {"POST", std::string(n::kPathJobs) + "/" + protocol::job_id_text(id) + n::kPathCancel, "",
       kSubmitTimeoutS, true},
      [=, this](int status, const std::string& answer) {
        tell(id, status, answer, asked, "abort of");
        if (status == 200) return;
        after(1, [=, this] { cancel(id, (node + 1) % count()); });
      });
}

void Site::ask(JobId id, int node, std::function<void(int, std::string)> done) {
  const double asked = now();
  nodes_[node].users->call(
      {"GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(id), "", kPollTimeoutS, true},
      [=, this](int status, const std::string& answer) {
        tell(id, status, answer, asked, "poll of");
        if (status != 200 && status != 404) ++polls_failed_[id];
        if (done) done(status, answer);
      });
}

void Site::post_once(JobId id, const std::string& body, int node,
                     std::function<void(int, std::string)> done) {
  const double asked = now();
  nodes_[node].users->call({"POST", n::kPathJobs, body, kSubmitTimeoutS, true},
                           [=, this](int status, const std::string& answer) {
                             tell(id, status, answer, asked, "submission of");
                             if (done) done(status, answer);
                           });
}

void Site::watch(JobId id, double every_s) {
  const int node = static_cast<int>(random_() % nodes_.size());
  ask(id, node, [this, id, every_s](int, const std::string&) {
    if (final_.contains(id)) return;
    after(every_s, [this, id, every_s] { watch(id, every_s); });
  });
}

}  // namespace standin
