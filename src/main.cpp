// Command line and wiring: connects the transport with a controller that does no I/O of its own.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <random>

#include "constants.hpp"
#include "coordination/controller.hpp"
#include "protocol/names.hpp"
#include "protocol/text_file.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_link.hpp"

namespace robinford {
namespace {

namespace c = constants;
namespace asio = boost::asio;

protocol::ClockReading now() {
  using namespace std::chrono;
  return {duration<double>(steady_clock::now().time_since_epoch()).count(),
          duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count()};
}

class Daemon {
 public:
  Daemon(const protocol::Settings& settings, const protocol::Policy& policy,
         const quota::LeaseOptions& lease_options)
      : settings_(settings),
        controller_(settings, policy, incarnation(), std::random_device{}(), lease_options),
        server_(
            io_, limits(settings),
            [this](std::uint64_t token, std::string method, std::string target, std::string body) {
              controller_.on_request(now(), {token, std::move(method), std::move(target), std::move(body)});
              carry_out();
            },
            [](const std::string& target) {
              return target == names::kPathHeartbeat || target == names::kPathReady ||
                     target == names::kPathMetrics;
            }),
        peer_server_(io_, c::kLinksPerMemberMax * std::max<std::size_t>(1, settings.peers.size()),
                     [this](const std::string& frame) {
                       const auto outcome = controller_.on_frame(now(), frame);
                       carry_out();
                       return outcome == coordination::Controller::FrameOutcome::kAccepted;
                     }),
        state_(std::make_shared<transport::HttpClient>(io_, settings.state.host, settings.state.port,
                                                       c::kStateConnections)),
        cloud_(std::make_shared<transport::HttpClient>(io_, settings.cloud.host, settings.cloud.port,
                                                       c::kCloudConnections)),
        ticker_(io_),
        signals_(io_) {
    for (const auto& peer : settings.peers) {
      links_[peer.member] = std::make_shared<transport::PeerLink>(io_, peer.addr.host, peer.addr.port,
                                                                  [this, member = peer.member](bool up) {
                                                                    controller_.on_link(now(), member, up);
                                                                    carry_out();
                                                                  });
    }
  }

  void run() {
    server_.listen(settings_.listen.host, settings_.listen.port);
    peer_server_.listen(settings_.peer_listen.host, settings_.peer_listen.port);
    for (auto& [member, link] : links_) link->start();
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) terminate();
    });
    spdlog::info("{} listens on {}, for other controllers on {}", settings_.member, settings_.listen.text(),
                 settings_.peer_listen.text());
    tick();
    io_.run();
  }

 private:
  static std::uint64_t incarnation() {
    return (static_cast<std::uint64_t>(now().wall_ms) << 16) | (std::random_device{}() & 0xffff);
  }

  static transport::ServerLimits limits(const protocol::Settings& settings) {
    const auto all = static_cast<std::size_t>(settings.max_connections);
    const std::size_t usable = all > 2 * c::kReservedSockets ? all - c::kReservedSockets : all / 2;
    return {static_cast<std::size_t>(usable * c::kUserSocketShare), usable};
  }

  void tick() {
    controller_.on_tick(now());
    carry_out();
    ticker_.expires_after(std::chrono::milliseconds(static_cast<int>(c::kTickIntervalS * 1000)));
    ticker_.async_wait([this](boost::system::error_code error) {
      if (!error) tick();
    });
  }

  void carry_out() {
    auto out = controller_.take_outbox();
    for (auto& reply : out.replies)
      server_.reply(reply.token,
                    {reply.status, reply.retry_after_s, std::move(reply.body), reply.text, false});
    for (auto& send : out.sends)
      if (const auto link = links_.find(send.member); link != links_.end())
        link->second->send(std::move(send.frame));
    for (auto& call : out.calls) start(std::move(call));
  }

  void start(protocol::Call call) {
    std::shared_ptr<transport::HttpClient> client;
    if (call.service == protocol::Service::kState) client = state_;
    if (call.service == protocol::Service::kCloud) client = cloud_;
    const auto id = call.id;
    if (!client) {
      try {
        const auto addr = protocol::parse_endpoint(call.addr);
        client = std::make_shared<transport::HttpClient>(io_, addr.host, addr.port, 1);
      } catch (const protocol::SettingsError&) {
        asio::post(io_, [this, id] { finished(id, 0, ""); });
        return;
      }
      call.watch = true;  // a single call: its connection is not kept
    }
    client->call({std::move(call.method), std::move(call.target), std::move(call.body), call.timeout_s,
                  call.watch, call.idempotent},
                 [this, id](int status, std::string body) { finished(id, status, std::move(body)); });
  }

  void finished(std::uint64_t id, int status, std::string body) {
    controller_.on_result(now(), id, {status, std::move(body)});
    carry_out();
  }

  // A clean end hands over at once instead of letting the lease run out.
  void terminate() {
    spdlog::info("termination requested");
    server_.stop();
    peer_server_.stop();
    controller_.on_terminate(now());
    carry_out();
    ending_ = std::make_unique<asio::steady_timer>(io_, std::chrono::milliseconds(400));
    ending_->async_wait([this](boost::system::error_code) { io_.stop(); });
  }

  const protocol::Settings settings_;
  asio::io_context io_{1};
  coordination::Controller controller_;
  transport::HttpServer server_;
  transport::PeerServer peer_server_;
  std::shared_ptr<transport::HttpClient> state_, cloud_;
  std::map<std::string, std::shared_ptr<transport::PeerLink>> links_;
  asio::steady_timer ticker_;
  asio::signal_set signals_;
  std::unique_ptr<asio::steady_timer> ending_;
};

void set_up_logging() {
  auto logger = spdlog::stderr_logger_st("robinford");
  logger->set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string wanted = level != nullptr ? level : "info";
  logger->set_level(wanted == "trace"   ? spdlog::level::trace
                    : wanted == "debug" ? spdlog::level::debug
                    : wanted == "error" ? spdlog::level::err
                                        : spdlog::level::info);
  spdlog::set_default_logger(logger);
}

// One request against a controller; prints its answer. Success is any 2xx.
int client(const std::string& address, const std::string& method, const std::string& target,
           const std::string& body) {
  asio::io_context io;
  const auto endpoint = protocol::parse_endpoint(address);
  int result = 1;
  auto http = std::make_shared<transport::HttpClient>(io, endpoint.host, endpoint.port, 1);
  http->call({method, target, body, 5.0, true}, [&](int status, const std::string& answer) {
    if (status == 0)
      std::cerr << "robinford: no answer from " << address << '\n';
    else
      std::cout << answer << '\n';
    if (status >= 400) std::cerr << "robinford: status " << status << '\n';
    result = status >= 200 && status < 300 ? 0 : 1;
  });
  io.run();
  return result;
}

std::string read_input(const std::string& path) {
  if (path == "-") return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  const auto text = protocol::read_text_file(path);
  if (!text) throw protocol::SettingsError("cannot read '" + path + "'");
  return *text;
}

int run(int argc, char** argv) {
  CLI::App app{"robinford, a cluster scheduler"};
  app.set_version_flag("--version", std::string("robinford ") + ROBINFORD_VERSION);
  std::string config, policy_path, leases_path, address = "127.0.0.1:8080", input = "-", job;
  bool check = false;
  app.add_option("--config", config, "settings file of the platform (TOML)");
  app.add_option("--policy", policy_path, "the operators' own settings (Lua)");
  app.add_option("--quota-leases", leases_path, "switch file of quota leases (TOML)");
  app.add_flag("--check", check, "check settings and policy, then end");
  app.require_subcommand(0, 1);
  auto* submit = app.add_subcommand("submit", "submit a job (JSON)");
  submit->add_option("--to", address, "a controller, IP:port")->capture_default_str();
  submit->add_option("file", input, "file with the job, - for standard input")->capture_default_str();
  auto* status = app.add_subcommand("status", "show a job");
  status->add_option("--to", address, "a controller, IP:port")->capture_default_str();
  status->add_option("job", job, "job id")->required();
  auto* abort = app.add_subcommand("abort", "cancel a job");
  abort->add_option("--to", address, "a controller, IP:port")->capture_default_str();
  abort->add_option("job", job, "job id")->required();
  CLI11_PARSE(app, argc, argv);

  const std::string jobs = names::kPathJobs;
  if (*submit) return client(address, "POST", jobs, read_input(input));
  if (*status) return client(address, "GET", jobs + "/" + job, "");
  if (*abort) return client(address, "POST", jobs + "/" + job + names::kPathCancel, "");
  if (config.empty()) {
    std::cerr << "robinford: --config FILE is needed (see --help)\n";
    return 2;
  }
  const auto settings = protocol::load_settings(config);
  const auto policy = policy_path.empty() ? protocol::Policy{} : protocol::load_policy(policy_path);
  for (const auto& [team, share] : policy.shares)
    if (settings.team(team) == nullptr)
      throw protocol::PolicyError("policy: shares names the unknown team '" + team + "'");
  const auto lease_options =
      leases_path.empty() ? quota::LeaseOptions{} : quota::load_lease_options(leases_path);
  if (check) {
    std::cout << "settings and policy are good\n";
    return 0;
  }
  set_up_logging();
  Daemon(settings, policy, lease_options).run();
  return 0;
}

}  // namespace
}  // namespace robinford

int main(int argc, char** argv) {
  try {
    return robinford::run(argc, argv);
  } catch (const robinford::quota::LeaseOptionsError& error) {
    std::cerr << "robinford: " << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "robinford: " << error.what() << '\n';
    return 1;
  }
}
