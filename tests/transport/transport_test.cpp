// The HTTP server on loopback, on whatever port is free: what it refuses, and that it goes on afterwards.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "constants.hpp"
#include "transport/http_server.hpp"

namespace robinford::transport {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct Bench {
  explicit Bench(ServerLimits limits = {8, 16})
      : server(
            io, limits,
            [this](std::uint64_t token, const std::string&, std::string target, const std::string&) {
              server.reply(token, {200, 0, std::move(target), true, false});
            },
            [](const std::string& target) { return target == "/favoured"; }) {
    server.listen("127.0.0.1", 0);
    thread = std::thread([this] { io.run(); });
  }
  ~Bench() {
    io.stop();
    thread.join();
  }
  // Sends the bytes and reads until the server closes.
  std::string talk(const std::string& bytes) {
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  asio::io_context io{1};
  HttpServer server;
  std::thread thread;
};

std::string get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
}

// Each refusal ended the process once: a temporary in a co_await expression was destroyed twice.
TEST(Server, RefusesAndGoesOn) {
  Bench bench;
  for (int i = 0; i < 3; ++i) {
    const std::string too_long = std::to_string(constants::kRequestBodyBytesMax + 1);
    EXPECT_NE(
        bench.talk("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + too_long + "\r\n\r\n").find(" 400 "),
        std::string::npos);
    EXPECT_NE(bench.talk("GARBAGE\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(bench.talk(get("/fine")).find("/fine"), std::string::npos);
  }
}

TEST(Server, ShedsUsersFirstWhenConnectionsRunShort) {
  Bench bench({0, 16});
  const auto shed = bench.talk(get("/user"));
  EXPECT_NE(shed.find(" 503 "), std::string::npos);
  EXPECT_NE(shed.find("Retry-After"), std::string::npos);
  EXPECT_NE(bench.talk(get("/favoured")).find(" 200 "), std::string::npos);
}

}  // namespace
}  // namespace robinford::transport
