/// @file
/// Accepts the connections of a server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace robinford::transport {

/// Listens on one address and hands over each accepted connection. It goes on after errors, for instance when
/// the process is out of sockets.
class Listener {
 public:
  using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

  /// `io` must outlive this object, and this object its running operations: it is destroyed after `io`
  /// stopped.
  Listener(boost::asio::io_context& io, Accepted accepted);
  /// Begins to accept. Port 0: any free port. Throws boost::system::system_error if the address can't be
  /// used.
  void listen(const std::string& host, unsigned short port);
  /// The port in use, after listen().
  unsigned short port() const { return acceptor_.local_endpoint().port(); }
  /// Accepts no further connections.
  void stop();

 private:
  void accept_next();
  void retry_later();

  boost::asio::io_context& io_;
  Accepted accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace robinford::transport
