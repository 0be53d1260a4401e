/// @file
/// Connections of the HTTP server.
#include "transport/http_server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "constants.hpp"
#include "transport/durations.hpp"

namespace robinford::transport {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
}  // namespace

struct HttpServer::Connection : std::enable_shared_from_this<Connection> {
  Connection(HttpServer& server, std::uint64_t id, tcp::socket socket)
      : server(server), id(id), stream(std::move(socket)), answered(server.io_) {}

  HttpServer& server;
  std::uint64_t id;
  beast::tcp_stream stream;
  asio::steady_timer answered;  // cancelled when the answer is there
  std::optional<Answer> answer;
  bool idle = true;
  bool favoured = false;  // its last request was one that keeps its place

  asio::awaitable<bool> write(Answer out, unsigned version, bool keep) {
    http::response<http::string_body> response{static_cast<http::status>(out.status), version};
    response.set(http::field::content_type, out.text ? "text/plain; version=0.0.4" : "application/json");
    if (out.retry_after_s > 0) response.set(http::field::retry_after, std::to_string(out.retry_after_s));
    keep = keep && !out.close;
    response.keep_alive(keep);
    response.body() = std::move(out.body);
    response.prepare_payload();
    stream.expires_after(milliseconds(constants::kServerWriteTimeoutS));
    const auto [error, bytes] = co_await http::async_write(stream, response, kTuple);
    (void)bytes;
    co_return !error && keep;
  }

  asio::awaitable<void> serve() {
    const auto self = shared_from_this();
    beast::flat_buffer buffer(constants::kRequestHeaderBytesMax + constants::kRequestBodyBytesMax + 1024);
    bool keep = true;
    while (keep) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(constants::kRequestHeaderBytesMax);
      parser.body_limit(constants::kRequestBodyBytesMax);
      idle = true;
      stream.expires_after(milliseconds(constants::kServerIdleTimeoutS));
      if (buffer.size() == 0) {
        // Wait for the first byte with the idle limit, then hold the client to the time of one request.
        auto space = buffer.prepare(2048);
        const auto [error, bytes] = co_await stream.async_read_some(space, kTuple);
        if (error) break;
        buffer.commit(bytes);
      }
      idle = false;
      stream.expires_after(milliseconds(constants::kServerReadTimeoutS));
      const auto [error, bytes] = co_await http::async_read(stream, buffer, parser, kTuple);
      (void)bytes;
      if (error == http::error::body_limit || error == http::error::header_limit ||
          error == http::error::buffer_overflow) {
        // Named, not a temporary: GCC 12 destroys an aggregate temporary in a co_await expression twice.
        Answer refusal{400, 0, "{\"error\":\"request too large\"}", false, true};
        co_await write(std::move(refusal), 11, false);
        break;
      }
      if (error) {
        const bool malformed =
            error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        if (malformed) {
          Answer refusal{400, 0, "{\"error\":\"malformed request\"}", false, true};
          co_await write(std::move(refusal), 11, false);
        }
        break;
      }
      auto request = parser.release();
      keep = request.keep_alive();
      const unsigned version = request.version();
      std::string target(request.target());
      favoured = server.favoured_(target);
      if (!favoured && server.connections_.size() > server.limits_.soft) {
        Answer refusal{503, constants::kRetryAfterS, "{\"error\":\"too many connections\"}", false, true};
        co_await write(std::move(refusal), version, false);
        break;
      }
      const std::uint64_t token = server.next_token_++;
      answer.reset();
      server.waiting_[token] = weak_from_this();
      stream.expires_never();
      server.handler_(token, std::string(request.method_string()), std::move(target),
                      std::move(request.body()));
      while (!answer) {
        answered.expires_at(asio::steady_timer::time_point::max());
        co_await answered.async_wait(kTuple);
        if (!stream.socket().is_open()) break;
      }
      server.waiting_.erase(token);
      if (!answer) break;
      Answer out = std::move(*answer);
      answer.reset();
      keep = co_await write(std::move(out), version, keep);
    }
    close();
  }

  void close() {
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.close();
  }
};

HttpServer::HttpServer(asio::io_context& io, ServerLimits limits, Handler handler, Favoured favoured)
    : io_(io),
      limits_(limits),
      handler_(std::move(handler)),
      favoured_(std::move(favoured)),
      listener_(io, [this](tcp::socket socket) { serve(std::move(socket)); }) {}

HttpServer::~HttpServer() = default;

void HttpServer::serve(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (connections_.size() >= limits_.hard) turn_out_idle();
  if (connections_.size() >= limits_.hard) return;
  const auto id = next_connection_++;
  auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
  connections_[id] = connection;
  asio::co_spawn(io_, connection->serve(), [this, id](const std::exception_ptr&) { connections_.erase(id); });
}

// Workers and peers must get in when users hold all places: the user idle for longest goes.
void HttpServer::turn_out_idle() {
  for (auto& [id, connection] : connections_) {
    if (!connection->idle || connection->favoured) continue;
    connection->close();
    connections_.erase(id);
    return;
  }
}

void HttpServer::reply(std::uint64_t token, Answer answer) {
  const auto found = waiting_.find(token);
  if (found == waiting_.end()) return;
  if (const auto connection = found->second.lock()) {
    connection->answer = std::move(answer);
    connection->answered.cancel();
  }
}

}  // namespace robinford::transport
