// HTTP/1.1 client of one endpoint: a bounded pool of kept connections, a bounded queue, a timeout for each
// call.
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

struct ClientCall {
  std::string method, target, body;
  double timeout_s = 1;
  bool own_connection = false;  // long waits must not take a place in the pool
};

class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Done = std::function<void(int status, std::string body)>;  // status 0: no answer

  HttpClient(boost::asio::io_context& io, const std::string& host, unsigned short port,
             std::size_t connections);
  void call(ClientCall call, Done done);
  std::size_t waiting() const { return queue_.size() + active_; }

 private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  struct Pending {
    ClientCall call;
    Done done;
    std::chrono::steady_clock::time_point deadline;
  };
  void pump();
  void launch(Pending pending);
  boost::asio::awaitable<void> run(Pending pending);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  std::size_t connections_;
  std::size_t active_ = 0;
  std::vector<Stream> kept_;
  std::deque<Pending> queue_;
};

}  // namespace robinford::transport
