/// @file
/// Connections, attempts and repetition of calls.
#include "transport/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <tuple>
#include <utility>

#include "constants.hpp"
#include "transport/durations.hpp"

namespace robinford::transport {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;

bool may_repeat(const ClientCall& call) {
  return call.idempotent || call.method == "GET" || call.method == "DELETE";
}

// Whether a kept connection is open with nothing to read. On one that the other side has closed or broken, a
// request would be lost without a clear answer.
bool is_idle(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  if (error) return false;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

http::request<http::string_body> make_request(const ClientCall& call, const std::string& host) {
  http::request<http::string_body> request{http::string_to_verb(call.method), call.target, kHttp11};
  request.set(http::field::host, host);
  if (!call.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = call.body;
  }
  if (call.method != "GET") request.prepare_payload();
  return request;
}

}  // namespace

HttpClient::HttpClient(asio::io_context& io, const std::string& host, unsigned short port,
                       std::size_t connections)
    : io_(io),
      endpoint_(asio::ip::make_address(host), port),
      host_(host + ":" + std::to_string(port)),
      connections_(connections) {}

void HttpClient::call(ClientCall call, Done done) {
  if (queue_.size() >= constants::kClientQueueMax) {
    asio::post(io_, [done = std::move(done)] { done(0, ""); });
    return;
  }
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(call.timeout_s);
  if (call.own_connection) {
    launch({std::move(call), std::move(done), deadline});
    return;
  }
  queue_.push_back({std::move(call), std::move(done), deadline});
  pump();
}

void HttpClient::pump() {
  while (active_ < connections_ && !queue_.empty()) {
    Pending next = std::move(queue_.front());
    queue_.pop_front();
    ++active_;
    launch(std::move(next));
  }
}

void HttpClient::launch(Pending pending) {
  asio::co_spawn(io_, run(std::move(pending)), [self = shared_from_this()](const std::exception_ptr&) {});
}

HttpClient::Stream HttpClient::take_kept() {
  while (!kept_.empty()) {
    Stream stream = std::move(kept_.back());
    kept_.pop_back();
    if (is_idle(stream->socket())) return stream;
  }
  return nullptr;
}

asio::awaitable<HttpClient::Stream> HttpClient::connect(std::chrono::steady_clock::time_point deadline) {
  auto stream = std::make_unique<beast::tcp_stream>(io_);
  stream->expires_at(
      std::min(deadline, std::chrono::steady_clock::now() + milliseconds(constants::kConnectTimeoutS)));
  const auto [error] = co_await stream->async_connect(endpoint_, kTuple);
  if (error) co_return nullptr;
  boost::system::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  co_return stream;
}

// Sends the request on the connection and waits for the answer.
asio::awaitable<HttpClient::Attempt> HttpClient::attempt(const Pending& pending, Stream stream) {
  const auto request = make_request(pending.call, host_);
  http::response_parser<http::string_body> parser;
  parser.body_limit(constants::kResponseBodyBytesMax);
  beast::flat_buffer buffer;
  stream->expires_at(pending.deadline);
  Attempt result;
  auto [error, bytes] = co_await http::async_write(*stream, request, kTuple);
  if (!error) std::tie(error, bytes) = co_await http::async_read(*stream, buffer, parser, kTuple);
  if (error) {
    result.timed_out = error == beast::error::timeout;
    co_return result;
  }
  result.status = static_cast<int>(parser.get().result_int());
  result.body = std::move(parser.get().body());
  if (parser.get().keep_alive()) result.stream = std::move(stream);
  co_return result;
}

asio::awaitable<void> HttpClient::run(Pending pending) {
  const bool pooled = !pending.call.own_connection;
  Attempt last;
  bool again = true;
  for (bool first = true; again && std::chrono::steady_clock::now() < pending.deadline; first = false) {
    Stream stream = first && pooled ? take_kept() : nullptr;
    const bool reused = stream != nullptr;
    if (!reused) stream = co_await connect(pending.deadline);
    if (!stream) break;
    last = co_await attempt(pending, std::move(stream));
    again = last.status == 0 && !last.timed_out && reused && may_repeat(pending.call);
  }
  if (pooled) {
    if (last.stream) {
      last.stream->expires_never();
      kept_.push_back(std::move(last.stream));
    }
    --active_;
  }
  pending.done(last.status, std::move(last.body));
  if (pooled) pump();
}

}  // namespace robinford::transport
