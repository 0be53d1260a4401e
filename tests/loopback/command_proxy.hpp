// A proxy on loopback in front of the stand-in of a worker. It passes direct commands on and keeps those that
// launch, so that a test can deliver them once more.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace robinford::loopback {

class CommandProxy {
 public:
  // Listens on a free port for commands to the worker at this port.
  CommandProxy(boost::asio::io_context& io, unsigned short worker_port);
  unsigned short port() const { return server_->port(); }
  // Delivers all launches so far once more, in order; nobody gets the answers.
  void repeat();
  std::size_t launches() const { return launches_.size(); }

 private:
  struct Request {
    std::string method, target, body;
  };

  std::shared_ptr<transport::HttpClient> worker_;
  std::unique_ptr<transport::HttpServer> server_;
  std::vector<Request> launches_;
};

}  // namespace robinford::loopback
