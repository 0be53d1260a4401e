#include "loopback/breaking_proxy.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/names.hpp"

namespace robinford::loopback {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 16384;
}  // namespace

struct BreakingProxy::Connection {
  Connection(tcp::socket accepted, asio::io_context& io) : client(std::move(accepted)), service(io) {}
  // With `reset` the client sees a broken connection instead of an orderly end.
  void close(bool reset) {
    boost::system::error_code ignored;
    if (reset) client.set_option(asio::socket_base::linger(true, 0), ignored);
    client.close(ignored);
    service.close(ignored);
  }

  tcp::socket client, service;
  bool loses_next_answer = false;
};

BreakingProxy::BreakingProxy(asio::io_context& io, unsigned short service_port)
    : io_(io),
      service_(asio::ip::make_address("127.0.0.1"), service_port),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  asio::co_spawn(io_, accept_all(), asio::detached);
}

unsigned short BreakingProxy::port() const { return acceptor_.local_endpoint().port(); }

asio::awaitable<void> BreakingProxy::accept_all() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) co_return;
    auto connection = std::make_shared<Connection>(std::move(socket), io_);
    asio::co_spawn(io_, pass_requests(connection), asio::detached);
  }
}

// A request begins a chunk, since a client sends none before the last was answered.
asio::awaitable<void> BreakingProxy::pass_requests(std::shared_ptr<Connection> connection) {
  const auto [refused] = co_await connection->service.async_connect(service_, kTuple);
  if (refused) co_return;
  boost::system::error_code ignored;
  connection->client.set_option(tcp::no_delay(true), ignored);
  connection->service.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(io_, pass_answers(connection), asio::detached);
  const std::string transaction = std::string("POST ") + names::kPathTxn;
  std::array<char, kChunkBytes> chunk;
  for (;;) {
    const auto [error, bytes] = co_await connection->client.async_read_some(asio::buffer(chunk), kTuple);
    if (error) break;
    if (std::string_view(chunk.data(), bytes).starts_with(transaction))
      connection->loses_next_answer = std::uniform_real_distribution<double>(0, 1)(random_) < share_;
    const auto [broken, written] =
        co_await asio::async_write(connection->service, asio::buffer(chunk.data(), bytes), kTuple);
    (void)written;
    if (broken) break;
  }
  connection->close(false);
}

asio::awaitable<void> BreakingProxy::pass_answers(std::shared_ptr<Connection> connection) {
  std::array<char, kChunkBytes> chunk;
  for (;;) {
    const auto [error, bytes] = co_await connection->service.async_read_some(asio::buffer(chunk), kTuple);
    if (error) break;
    if (connection->loses_next_answer) {
      ++lost_;
      connection->close(true);
      co_return;
    }
    const auto [broken, written] =
        co_await asio::async_write(connection->client, asio::buffer(chunk.data(), bytes), kTuple);
    (void)written;
    if (broken) break;
  }
  connection->close(false);
}

}  // namespace robinford::loopback
