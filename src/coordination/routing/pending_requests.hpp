/// @file
/// Requests that wait for their answer, and the state that each of them is in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Names a pending request towards the parts that answer it, and in the messages to the leader.
using RequestKey = std::uint64_t;

/// A request that waits for its answer. Its state changes only through PendingRequests.
struct PendingRequest {
  enum class Kind : std::uint8_t {
    kHeartbeat,
    kPoll,    ///< a user's query of a job's state
    kChange,  ///< a submission or cancellation
  };
  enum class State : std::uint8_t {
    kLocal,      ///< this controller works on the answer
    kForwarded,  ///< the leader does
    kParked,     ///< a heartbeat that waits for a leader to appear
  };
  /// The controller that forwarded the request to this one, and its number there.
  struct PeerOrigin {
    std::string member;
    std::uint64_t request = 0;
  };

  Kind kind = Kind::kChange;
  std::string method;  ///< of users' requests only, like the next two
  std::string target;  ///< path, without a query
  std::string body;
  protocol::Heartbeat heartbeat;         ///< of heartbeats that came here by HTTP, read and checked
  bool full_heartbeat_required = false;  ///< the leader needs the heartbeat in full
  std::uint64_t token = 0;               ///< the HTTP connection, unless it came from a peer
  std::optional<PeerOrigin> peer;
  double deadline = 0;  ///< steady s: answered with 503 from then on

  State state = State::kLocal;
  std::string forwarded_to;     ///< the member, while kForwarded
  double forward_deadline = 0;  ///< steady s, while kForwarded: from then on a user's request is settled here

  bool is_heartbeat() const { return kind == Kind::kHeartbeat; }
};

/// Owns the pending requests and counts them by kind and state.
///
/// Invariant: `parked()` and `forwarded()` are the numbers of requests in those states, and
/// `in_progress(kind)` that of users' requests of the kind. Keys grow and are never used twice. The bounds
/// themselves are the caller's, who also knows the answer to a request that exceeds them.
class PendingRequests {
 public:
  /// Why a request can't wait any longer.
  enum class Overdue : std::uint8_t {
    kNo,
    kAnswer,   ///< its deadline passed
    kForward,  ///< it is a user's, and the leader did not answer in time
  };

  /// Keys are numbered from `first`. Starts drawn at random keep an answer to an earlier process from being
  /// taken for one to a request of this process.
  explicit PendingRequests(RequestKey first) : next_(first) {}

  RequestKey add(PendingRequest request);
  /// The request, which must not be answered yet.
  const PendingRequest& at(RequestKey key) const { return requests_.at(key); }
  /// The request, if it waits for that member's answer; otherwise null, and the answer came too late.
  const PendingRequest* find_forwarded(RequestKey key, const std::string& member) const;

  /// This controller answers the request itself.
  void mark_local(RequestKey key);
  /// The heartbeat waits for a leader.
  void park(RequestKey key);
  /// The request waits for `member`, until `forward_deadline` in steady seconds.
  void forward(RequestKey key, const std::string& member, double forward_deadline);
  /// The leader does not know the heartbeat that a forwarded one refers to.
  void require_full_heartbeat(RequestKey key) { requests_.at(key).full_heartbeat_required = true; }
  /// Moves the heartbeat out of a request that this controller answers.
  protocol::Heartbeat take_heartbeat(RequestKey key) { return std::move(requests_.at(key).heartbeat); }
  /// Takes the request out, to be answered; nothing if it was answered before.
  std::optional<PendingRequest> remove(RequestKey key);

  std::size_t size() const { return requests_.size(); }
  std::size_t parked() const { return parked_; }
  std::size_t forwarded() const { return forwarded_; }
  /// Users' requests of the kind that are in progress, also those that others forwarded.
  std::size_t in_progress(PendingRequest::Kind kind) const {
    return kind == PendingRequest::Kind::kPoll ? polls_ : changes_;
  }
  std::vector<RequestKey> parked_keys() const;
  std::vector<RequestKey> keys_forwarded_to(const std::string& member) const;
  /// Requests that are overdue at `now`, in steady seconds, in the order in which they came.
  std::vector<RequestKey> overdue_keys(double now) const;
  /// The same of one request; kNo if it was answered.
  Overdue overdue(RequestKey key, double now) const;

 private:
  static Overdue overdue(const PendingRequest& request, double now);
  void change_state(PendingRequest& request, PendingRequest::State state);
  std::size_t& count_of(PendingRequest::Kind kind) {
    return kind == PendingRequest::Kind::kPoll ? polls_ : changes_;
  }

  std::map<RequestKey, PendingRequest> requests_;
  RequestKey next_;
  std::size_t polls_ = 0;
  std::size_t changes_ = 0;
  std::size_t parked_ = 0;
  std::size_t forwarded_ = 0;
};

}  // namespace robinford::coordination
