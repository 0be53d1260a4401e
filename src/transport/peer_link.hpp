/// @file
/// Links between controllers: frames with a length in front, one outgoing link to each member, any number
/// coming in.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "transport/listener.hpp"

namespace robinford::transport {

/// Keeps one connection to a member alive; what can't be sent is dropped, never kept without bound.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  using Change = std::function<void(bool up)>;
  PeerLink(boost::asio::io_context& io, const std::string& host, unsigned short port, Change change);
  void start();
  void send(std::string frame);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> read_until_closed(std::shared_ptr<boost::asio::ip::tcp::socket> socket);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Change change_;
  boost::asio::steady_timer wake_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool up_ = false;
};

/// Receives the frames of other controllers.
class PeerServer {
 public:
  /// Returns false if the frame can't be decoded; the link that it came on is then closed.
  using Handler = std::function<bool(const std::string& frame)>;
  /// `links_max`: incoming links at once. A member needs one, and more until those of its earlier processes
  /// are noticed as gone.
  PeerServer(boost::asio::io_context& io, std::size_t links_max, Handler handler);
  /// Begins to accept. Throws boost::system::system_error if the address can't be used.
  void listen(const std::string& host, unsigned short port) { listener_.listen(host, port); }
  /// Accepts no further links.
  void stop() { listener_.stop(); }

 private:
  void accept(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  Handler handler_;
  std::size_t links_ = 0;
  const std::size_t links_max_;
  Listener listener_;
};

}  // namespace robinford::transport
