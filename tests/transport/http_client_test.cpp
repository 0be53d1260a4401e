// The HTTP client against a server that breaks connections: what is sent again, and what is not.
#include "transport/http_client.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace robinford::transport {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr double kCallTimeoutS = 2;

/// What the server does with a request once it has read it.
enum class Fate {
  kAnswer,
  kReset,           // resets the connection instead of answering
  kAnswerAndClose,  // answers, then closes the connection as if it had been idle for long
};

/// Reads requests on loopback, one connection at a time, and does with them as told, in order; further ones
/// are answered.
class BreakingServer {
 public:
  explicit BreakingServer(std::vector<Fate> fates)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        fates_(std::move(fates)),
        thread_([this] { serve(); }) {}
  ~BreakingServer() { stop(); }
  unsigned short port() const { return acceptor_.local_endpoint().port(); }
  /// Ends the server. Returns method and target of each request that it has read.
  std::vector<std::string> stop() {
    if (thread_.joinable()) {
      stopping_ = true;
      asio::io_context io;
      tcp::socket wakes_accept(io);
      wakes_accept.connect(acceptor_.local_endpoint());
      wakes_accept.close();
      thread_.join();
    }
    return requests_;
  }

 private:
  void serve() {
    while (!stopping_) {
      tcp::socket socket(io_);
      acceptor_.accept(socket);
      boost::beast::flat_buffer buffer;
      while (serve_request(socket, buffer)) {
      }
    }
  }
  // Returns whether the connection stays open.
  bool serve_request(tcp::socket& socket, boost::beast::flat_buffer& buffer) {
    boost::system::error_code error;
    http::request<http::string_body> request;
    http::read(socket, buffer, request, error);
    if (error) return false;
    requests_.push_back(std::string(request.method_string()) + " " + std::string(request.target()));
    const Fate fate = next_ < fates_.size() ? fates_[next_++] : Fate::kAnswer;
    if (fate == Fate::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
      return false;
    }
    http::response<http::string_body> response{http::status::ok, 11};
    response.body() = "{}";
    response.prepare_payload();
    http::write(socket, response, error);
    return !error && fate == Fate::kAnswer;
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<Fate> fates_;
  std::size_t next_ = 0;
  std::vector<std::string> requests_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

/// Makes the calls one after the other on a pool of one connection and returns the status of each.
std::vector<int> statuses(unsigned short port, const std::vector<ClientCall>& calls) {
  asio::io_context io;
  const auto client = std::make_shared<HttpClient>(io, "127.0.0.1", port, 1);
  std::vector<int> result;
  for (const auto& call : calls) {
    client->call(call, [&result](int status, const std::string&) { result.push_back(status); });
    io.run();
    io.restart();
    // Gives the server time to close the connection, where it does so without a request.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return result;
}

ClientCall call(const std::string& method, const std::string& target) {
  return {method, target, method == "POST" ? "{}" : "", kCallTimeoutS, false};
}

// Guards against a transaction that is carried out twice: its caller would see only the second answer, a
// conflict with itself.
TEST(HttpClient, ATransactionWhoseAnswerIsLostIsNotSentAgain) {
  BreakingServer server({Fate::kAnswer, Fate::kReset});
  EXPECT_EQ(statuses(server.port(), {call("GET", "/first"), call("POST", "/multi")}),
            (std::vector<int>{200, 0}));
  EXPECT_EQ(server.stop(), (std::vector<std::string>{"GET /first", "POST /multi"}));
}

TEST(HttpClient, AReadWhoseAnswerIsLostIsSentAgainOnce) {
  BreakingServer server({Fate::kAnswer, Fate::kReset});
  EXPECT_EQ(statuses(server.port(), {call("GET", "/first"), call("GET", "/again")}),
            (std::vector<int>{200, 200}));
  EXPECT_EQ(server.stop(), (std::vector<std::string>{"GET /first", "GET /again", "GET /again"}));
}

TEST(HttpClient, ACallMarkedIdempotentIsSentAgainOnce) {
  BreakingServer server({Fate::kAnswer, Fate::kReset, Fate::kReset});
  ClientCall renewal = call("POST", "/renew");
  renewal.idempotent = true;
  EXPECT_EQ(statuses(server.port(), {call("GET", "/first"), renewal}), (std::vector<int>{200, 0}));
  EXPECT_EQ(server.stop(), (std::vector<std::string>{"GET /first", "POST /renew", "POST /renew"}));
}

// Guards against transactions that end without a clear answer because their connection had long been closed.
TEST(HttpClient, AConnectionThatWasClosedWhileIdleIsNotUsed) {
  BreakingServer server({Fate::kAnswerAndClose});
  EXPECT_EQ(statuses(server.port(), {call("GET", "/first"), call("POST", "/multi")}),
            (std::vector<int>{200, 200}));
  EXPECT_EQ(server.stop(), (std::vector<std::string>{"GET /first", "POST /multi"}));
}

}  // namespace
}  // namespace robinford::transport
