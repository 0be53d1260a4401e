/// @file
/// Frames to and from other controllers.
#include "transport/peer_link.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "constants.hpp"
#include "transport/durations.hpp"

namespace robinford::transport {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

void put_length(std::string& out, std::size_t size) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((size >> shift) & 0xff));
}

}  // namespace

PeerLink::PeerLink(asio::io_context& io, const std::string& host, unsigned short port, Change change)
    : io_(io), endpoint_(asio::ip::make_address(host), port), change_(std::move(change)), wake_(io) {}

void PeerLink::start() {
  asio::co_spawn(io_, run(), [self = shared_from_this()](const std::exception_ptr&) {});
}

void PeerLink::send(std::string frame) {
  if (!up_ || queue_.size() >= constants::kLinkQueueFramesMax ||
      queued_bytes_ + frame.size() > constants::kLinkQueueBytesMax)
    return;
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  wake_.cancel();
}

asio::awaitable<void> PeerLink::read_until_closed(std::shared_ptr<tcp::socket> socket) {
  // Nothing ever comes back on this link; reading is how its end is noticed.
  std::array<char, 64> scratch{};
  for (;;) {
    const auto [error, bytes] = co_await socket->async_read_some(asio::buffer(scratch), kTuple);
    (void)bytes;
    if (error) break;
  }
  boost::system::error_code ignored;
  socket->close(ignored);
  wake_.cancel();
}

asio::awaitable<void> PeerLink::run() {
  const auto self = shared_from_this();
  for (;;) {
    beast::tcp_stream connecting(io_);
    connecting.expires_after(milliseconds(constants::kConnectTimeoutS));
    const auto [error] = co_await connecting.async_connect(endpoint_, kTuple);
    if (!error) {
      boost::system::error_code ignored;
      connecting.socket().set_option(tcp::no_delay(true), ignored);
      auto socket = std::make_shared<tcp::socket>(connecting.release_socket());
      asio::co_spawn(
          io_, [self, socket]() { return self->read_until_closed(socket); }, asio::detached);
      up_ = true;
      change_(true);
      while (socket->is_open()) {
        if (queue_.empty()) {
          wake_.expires_at(asio::steady_timer::time_point::max());
          co_await wake_.async_wait(kTuple);
          continue;
        }
        std::string batch;
        while (!queue_.empty() && batch.size() < constants::kFrameBytesMax) {
          put_length(batch, queue_.front().size());
          batch += queue_.front();
          queued_bytes_ -= queue_.front().size();
          queue_.pop_front();
        }
        // A peer that reads nothing must not hold the link forever: the guard closes the socket.
        asio::steady_timer guard(io_, milliseconds(constants::kLinkIdleTimeoutS));
        guard.async_wait([socket](boost::system::error_code waited) {
          boost::system::error_code closed;
          if (!waited) socket->close(closed);
        });
        const auto [write_error, bytes] = co_await asio::async_write(*socket, asio::buffer(batch), kTuple);
        (void)bytes;
        guard.cancel();
        if (write_error) break;
      }
      boost::system::error_code closed;
      socket->close(closed);
      up_ = false;
      queue_.clear();
      queued_bytes_ = 0;
      change_(false);
    }
    asio::steady_timer pause(io_, milliseconds(constants::kLinkRetryS));
    co_await pause.async_wait(kTuple);
  }
}

PeerServer::PeerServer(asio::io_context& io, std::size_t links_max, Handler handler)
    : io_(io),
      handler_(std::move(handler)),
      links_max_(links_max),
      listener_(io, [this](tcp::socket socket) { accept(std::move(socket)); }) {}

void PeerServer::accept(tcp::socket socket) {
  if (links_ >= links_max_) return;
  ++links_;
  asio::co_spawn(io_, serve(std::move(socket)), [this](const std::exception_ptr&) { --links_; });
}

asio::awaitable<void> PeerServer::serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  std::string pending;
  std::array<char, std::size_t{16} * 1024> chunk;
  for (;;) {
    stream.expires_after(milliseconds(constants::kLinkIdleTimeoutS));
    const auto [error, bytes] = co_await stream.async_read_some(asio::buffer(chunk), kTuple);
    if (error) break;
    pending.append(chunk.data(), bytes);
    std::size_t at = 0;
    bool good = true;
    while (pending.size() - at >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(pending[at + i]);
      if (size > constants::kFrameBytesMax) good = false;
      if (!good || pending.size() - at - 4 < size) break;
      good = handler_(pending.substr(at + 4, size));
      at += 4 + size;
      if (!good) break;
    }
    pending.erase(0, at);
    if (!good) {
      spdlog::warn("malformed frame on a peer link; link closed");
      break;
    }
  }
}

}  // namespace robinford::transport
