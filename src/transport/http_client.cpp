#include "transport/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "constants.hpp"

namespace robinford::transport {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
}

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
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<long>(call.timeout_s * 1000));
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

asio::awaitable<void> HttpClient::run(Pending pending) {
  const bool pooled = !pending.call.own_connection;
  Stream stream;
  bool reused = false;
  int status = 0;
  std::string body;
  // A kept connection may have been closed by the other side in the meantime: then once more on a new one.
  // All that is sent this way may be repeated (conditional transactions, named requests), so that is safe.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (std::chrono::steady_clock::now() >= pending.deadline) break;
    if (attempt == 0 && pooled && !kept_.empty()) {
      stream = std::move(kept_.back());
      kept_.pop_back();
      reused = true;
    } else {
      reused = false;
      stream = std::make_unique<beast::tcp_stream>(io_);
      stream->expires_at(std::min(
          pending.deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<long>(
                                                                   constants::kConnectTimeoutS * 1000))));
      const auto [error] = co_await stream->async_connect(endpoint_, kTuple);
      if (error) {
        stream.reset();
        break;
      }
      boost::system::error_code ignored;
      stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    stream->expires_at(pending.deadline);
    http::request<http::string_body> request{http::string_to_verb(pending.call.method), pending.call.target,
                                             11};
    request.set(http::field::host, host_);
    if (!pending.call.body.empty()) {
      request.set(http::field::content_type, "application/json");
      request.body() = pending.call.body;
    }
    if (pending.call.method != "GET") request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(constants::kResponseBodyBytesMax);
    beast::flat_buffer buffer;
    auto [write_error, written] = co_await http::async_write(*stream, request, kTuple);
    (void)written;
    boost::system::error_code read_error;
    if (!write_error) {
      auto [error, bytes] = co_await http::async_read(*stream, buffer, parser, kTuple);
      (void)bytes;
      read_error = error;
    }
    if (!write_error && !read_error) {
      status = static_cast<int>(parser.get().result_int());
      body = std::move(parser.get().body());
      if (!parser.get().keep_alive() || !pooled) stream.reset();
      break;
    }
    stream.reset();
    if (!reused || write_error == beast::error::timeout || read_error == beast::error::timeout) break;
  }
  if (pooled) {
    if (stream) {
      stream->expires_never();
      kept_.push_back(std::move(stream));
    }
    --active_;
  }
  pending.done(status, std::move(body));
  if (pooled) pump();
}

}  // namespace robinford::transport
