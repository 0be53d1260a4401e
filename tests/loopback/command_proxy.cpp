#include "loopback/command_proxy.hpp"

#include <algorithm>
#include <utility>

#include "protocol/messages.hpp"

namespace robinford::loopback {
namespace {

constexpr char kHost[] = "127.0.0.1";
constexpr std::size_t kConnections = 16;
constexpr double kTimeoutS = 4;
const transport::ServerLimits kLimits{200, 200};

bool launches_something(const std::string& body) {
  const auto list = protocol::parse_commands(body);
  return list && std::any_of(list->commands.begin(), list->commands.end(), [](const auto& command) {
           return command.op == protocol::Command::Op::kLaunch;
         });
}

}  // namespace

CommandProxy::CommandProxy(boost::asio::io_context& io, unsigned short worker_port)
    : worker_(std::make_shared<transport::HttpClient>(io, kHost, worker_port, kConnections)),
      server_(std::make_unique<transport::HttpServer>(
          io, kLimits,
          [this](std::uint64_t token, const std::string& method, const std::string& target,
                 const std::string& body) {
            if (launches_something(body)) launches_.push_back({method, target, body});
            worker_->call({method, target, body, kTimeoutS, false},
                          [this, token](int status, std::string answer) {
                            const int passed_on = status == 0 ? 503 : status;
                            server_->reply(token, {passed_on, 0, std::move(answer), false, false});
                          });
          },
          [](const std::string&) { return true; })) {
  server_->listen(kHost, 0);
}

void CommandProxy::repeat() {
  for (const auto& launch : launches_)
    worker_->call({launch.method, launch.target, launch.body, kTimeoutS, false},
                  [](int, const std::string&) {});
}

}  // namespace robinford::loopback
