/// @file
/// Implementation of Listener.
#include "transport/listener.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "constants.hpp"
#include "transport/durations.hpp"

namespace robinford::transport {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

Listener::Listener(asio::io_context& io, Accepted accepted)
    : io_(io), accepted_(std::move(accepted)), acceptor_(io) {}

void Listener::listen(const std::string& host, unsigned short port) {
  const tcp::endpoint endpoint(asio::ip::make_address(host), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept_next();
}

void Listener::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void Listener::accept_next() {
  acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return retry_later();
    accepted_(std::move(socket));
    accept_next();
  });
}

void Listener::retry_later() {
  auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(constants::kAcceptRetryS));
  timer->async_wait([this, timer](boost::system::error_code error) {
    if (!error) accept_next();
  });
}

}  // namespace robinford::transport
