// What goes into and comes out of the parts that do no I/O of their own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace robinford::protocol {

// The only clock the core knows; main (or a test) passes it in.
struct ClockReading {
  double steady = 0;         // s, never steps
  std::int64_t wall_ms = 0;  // ms since 1970, right within the settings' clock error
};

struct HttpRequest {
  std::uint64_t token = 0;  // names the connection's pending answer
  std::string method;
  std::string target;
  std::string body;
};

struct HttpReply {
  std::uint64_t token = 0;
  int status = 200;
  int retry_after_s = 0;  // 0: no such header
  std::string body;
  bool text = false;  // plain text instead of JSON
};

enum class Service { kState, kCloud, kWorker };

struct Call {
  std::uint64_t id = 0;
  Service service = Service::kState;
  std::string addr;  // for workers
  std::string method;
  std::string target;
  std::string body;
  double timeout_s = 1;
  bool watch = false;  // long wait: gets a connection of its own
  // Carrying it out twice has the effect and the answer of once, so it may be sent again when its connection
  // breaks. Reads need no mark.
  bool idempotent = false;
};

struct CallResult {
  int status = 0;  // 0: no answer, so the call may have been or may yet be carried out
  std::string body;
};

struct PeerSend {
  std::string member;
  std::string frame;
};

// Actions of one step, carried out by main in this order.
struct Outbox {
  std::vector<HttpReply> replies;
  std::vector<Call> calls;
  std::vector<PeerSend> sends;
};

}  // namespace robinford::protocol
