// HTTP/1.1 server: one coroutine a connection, bounded in connections, body, header and time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace robinford::transport {

struct ServerLimits {
  std::size_t soft = 350;  // connections above which only favoured requests are taken
  std::size_t hard = 450;  // connections above which an idle client is turned out
};

struct Answer {
  int status = 200;
  int retry_after_s = 0;
  std::string body;
  bool text = false;
  bool close = false;
};

class HttpServer {
 public:
  // Called for each request; the answer follows through reply(token), now or later.
  using Handler =
      std::function<void(std::uint64_t token, std::string method, std::string target, std::string body)>;
  // Whether a request keeps its place when connections run short (heartbeats, health checks).
  using Favoured = std::function<bool(const std::string& target)>;

  HttpServer(boost::asio::io_context& io, ServerLimits limits, Handler handler, Favoured favoured);
  ~HttpServer();
  void listen(const std::string& host, unsigned short port);
  unsigned short port() const { return acceptor_.local_endpoint().port(); }
  void reply(std::uint64_t token, Answer answer);
  std::size_t connections() const { return connections_.size(); }
  void stop();

 private:
  struct Connection;
  void accept_next();
  void turn_out_idle();

  boost::asio::io_context& io_;
  ServerLimits limits_;
  Handler handler_;
  Favoured favoured_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by accept order
  std::map<std::uint64_t, std::weak_ptr<Connection>> waiting_;        // by token
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_token_ = 1;
};

}  // namespace robinford::transport
