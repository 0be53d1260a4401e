/// @file
/// HTTP/1.1 server: one coroutine a connection, bounded in connections, body, header and time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/listener.hpp"

namespace robinford::transport {

/// Numbers of connections.
struct ServerLimits {
  std::size_t soft = 350;  ///< above this only favoured requests are taken
  std::size_t hard = 450;  ///< above this an idle client is disconnected
};

/// An answer to a request.
struct Answer {
  int status = 200;
  int retry_after_s = 0;  ///< 0: no such header
  std::string body;
  bool text = false;   ///< plain text instead of JSON
  bool close = false;  ///< the connection is closed afterwards
};

/// Serves the requests of users, workers and health checks on one address.
class HttpServer {
 public:
  /// Called for each request; the answer follows through reply(token), now or later.
  using Handler =
      std::function<void(std::uint64_t token, std::string method, std::string target, std::string body)>;
  /// Whether a request keeps its place when connections run short (heartbeats, health checks).
  using Favoured = std::function<bool(const std::string& target)>;

  HttpServer(boost::asio::io_context& io, ServerLimits limits, Handler handler, Favoured favoured);
  ~HttpServer();
  /// Begins to serve. Port 0: any free port. Throws boost::system::system_error if the address can't be used.
  void listen(const std::string& host, unsigned short port) { listener_.listen(host, port); }
  unsigned short port() const { return listener_.port(); }
  /// Answers the request with this token. No effect if its connection has ended.
  void reply(std::uint64_t token, Answer answer);
  std::size_t connections() const { return connections_.size(); }
  /// Accepts no further connections; those that are open go on.
  void stop() { listener_.stop(); }

 private:
  struct Connection;
  void serve(boost::asio::ip::tcp::socket socket);
  void turn_out_idle();

  boost::asio::io_context& io_;
  ServerLimits limits_;
  Handler handler_;
  Favoured favoured_;
  Listener listener_;
  std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by accept order
  std::map<std::uint64_t, std::weak_ptr<Connection>> waiting_;        // by token
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_token_ = 1;
};

}  // namespace robinford::transport
