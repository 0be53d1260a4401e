// A proxy on loopback in front of the stand-in of the state service. It resets the connection of some
// transactions after the service has carried them out, so that only their answers are lost.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <random>

namespace robinford::loopback {

class BreakingProxy {
 public:
  // Listens on a free port and passes all bytes to and from the service at this port, on the same io_context.
  BreakingProxy(boost::asio::io_context& io, unsigned short service_port);
  unsigned short port() const;
  // From now on loses the answers of this share of the transactions; 0: of none.
  void lose_answers(double share) { share_ = share; }
  std::size_t lost() const { return lost_; }

 private:
  struct Connection;
  boost::asio::awaitable<void> accept_all();
  boost::asio::awaitable<void> pass_requests(std::shared_ptr<Connection> connection);
  boost::asio::awaitable<void> pass_answers(std::shared_ptr<Connection> connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint service_;
  boost::asio::ip::tcp::acceptor acceptor_;
  double share_ = 0;
  std::size_t lost_ = 0;
  std::mt19937_64 random_{1};
};

}  // namespace robinford::loopback
