/// @file
/// HTTP/1.1 client of one endpoint: a bounded pool of kept connections, a bounded queue, a timeout for each
/// call.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace robinford::transport {

/// A request and how to send it.
struct ClientCall {
  std::string method, target, body;
  double timeout_s = 1;
  /// For long waits, which must not take a place in the pool.
  bool own_connection = false;
  /// The caller knows that carrying the request out twice has the effect and the answer of once.
  bool idempotent = false;
};

/// Sends requests to one endpoint and reports one result for each.
///
/// A request is sent at most once, so that a caller that gets no answer knows that there was one attempt,
/// which may have been carried out. There is one exception: when a kept connection breaks before the answer,
/// a call that is safe to repeat (RFC 9110, section 9.2.2: GET, DELETE, or marked as idempotent) is sent once
/// more on a new connection. For any other call the second answer could contradict the first, as a
/// conditional transaction conflicts with its own earlier copy; only the caller can resolve that.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  /// Receives the answer. Status 0: no answer came, and the request may have been or may yet be carried out.
  using Done = std::function<void(int status, std::string body)>;

  HttpClient(boost::asio::io_context& io, const std::string& host, unsigned short port,
             std::size_t connections);
  /// Calls `done` once, never before this returns; with status 0 at once if the queue is full.
  void call(ClientCall call, Done done);
  /// Number of calls in the queue or in flight on pooled connections.
  std::size_t waiting() const { return queue_.size() + active_; }

 private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  struct Pending {
    ClientCall call;
    Done done;
    std::chrono::steady_clock::time_point deadline;
  };
  // The result of one attempt to get an answer.
  struct Attempt {
    int status = 0;
    std::string body;
    Stream stream;  // set if the connection may be used again
    bool timed_out = false;
  };
  void pump();
  void launch(Pending pending);
  boost::asio::awaitable<void> run(Pending pending);
  // Takes a kept connection that is still open; empty if there is none.
  Stream take_kept();
  // Empty if the connection was not established in time.
  boost::asio::awaitable<Stream> connect(std::chrono::steady_clock::time_point deadline);
  boost::asio::awaitable<Attempt> attempt(const Pending& pending, Stream stream);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  std::size_t connections_;
  std::size_t active_ = 0;
  std::vector<Stream> kept_;
  std::deque<Pending> queue_;
};

}  // namespace robinford::transport
