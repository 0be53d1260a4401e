/// @file
/// Requests that wait for an answer, with their states.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Identifies a pending request to the components that answer it and in messages to the leader.
using RequestKey = std::uint64_t;

/// A request that waits for an answer. Only PendingRequests changes its state.
struct PendingRequest {
  enum class Kind : std::uint8_t {
    kHeartbeat,
    kPoll,    ///< a user's query of a job's state
    kChange,  ///< a submission or cancellation
  };
  enum class State : std::uint8_t {
    kLocal,      ///< not routed yet, or served by this controller
    kForwarded,  ///< sent to the leader for an answer
    kParked,     ///< a heartbeat that waits for a leader to appear
  };
  /// The controller that forwarded the request to this one, and the request's key there.
  struct PeerOrigin {
    std::string member;
    std::uint64_t request = 0;
  };

  Kind kind = Kind::kChange;
  std::string method;  ///< like `target` and `body`, only for users' requests
  std::string target;  ///< path, without a query
  std::string body;
  protocol::Heartbeat heartbeat;         ///< parsed heartbeat, only if it arrived by HTTP
  bool full_heartbeat_required = false;  ///< the leader has asked for the full heartbeat
  std::uint64_t token = 0;               ///< of the HTTP request, unless a peer forwarded it
  std::optional<PeerOrigin> peer;
  double deadline = 0;  ///< steady s; when it passes, the request is answered with 503

  State state = State::kLocal;
  std::string forwarded_to;     ///< member, while kForwarded
  double forward_deadline = 0;  ///< steady s, while kForwarded; after it a user's request is served here

  bool is_heartbeat() const { return kind == Kind::kHeartbeat; }
};

/// Owns the pending requests and counts them by kind and state.
///
/// Invariant: `parked()` and `forwarded()` are the numbers of requests in those states, and
/// `in_progress(kind)` is the number of users' requests of that kind. Keys increase and are never reused. The
/// caller enforces limits on these numbers, because it has to answer a request that exceeds them.
class PendingRequests {
 public:
  /// Whether a request is overdue, and which of its deadlines has passed.
  enum class OverdueReason : std::uint8_t {
    kNo,
    kAnswer,   ///< the request's `deadline` has passed: it is answered with 503
    kForward,  ///< a user's request was not answered by the leader before its `forward_deadline`
  };

  /// Numbers the keys from `first`. A random `first` makes it unlikely that an answer to an earlier process
  /// is mistaken for the answer to a request of this process.
  explicit PendingRequests(RequestKey first) : next_(first) {}

  RequestKey add(PendingRequest request);
  /// Returns the request, which must not have been answered.
  const PendingRequest& at(RequestKey key) const { return requests_.at(key); }
  /// Returns the request if it waits for that member's answer; null otherwise.
  const PendingRequest* find_forwarded(RequestKey key, const std::string& member) const;

  /// Marks the request as served by this controller.
  void mark_local(RequestKey key);
  /// Marks the heartbeat as waiting for a leader.
  void park(RequestKey key);
  /// Marks the request as forwarded to `member`, until `forward_deadline` in steady seconds.
  void forward(RequestKey key, const std::string& member, double forward_deadline);
  /// Makes the router send the heartbeat in full, because the leader could not use the reference to an
  /// earlier heartbeat that was forwarded in its place.
  void require_full_heartbeat(RequestKey key) { requests_.at(key).full_heartbeat_required = true; }
  /// Moves the heartbeat out of a request that this controller answers.
  protocol::Heartbeat take_heartbeat(RequestKey key) { return std::move(requests_.at(key).heartbeat); }
  /// Removes and returns the request to be answered; empty if it has been answered already.
  std::optional<PendingRequest> remove(RequestKey key);

  std::size_t size() const { return requests_.size(); }
  std::size_t parked() const { return parked_; }
  std::size_t forwarded() const { return forwarded_; }
  /// Returns the number of users' requests of the kind in progress, including those that peers forwarded.
  std::size_t in_progress(PendingRequest::Kind kind) const {
    return kind == PendingRequest::Kind::kPoll ? polls_ : changes_;
  }
  std::vector<RequestKey> parked_keys() const;
  std::vector<RequestKey> keys_forwarded_to(const std::string& member) const;
  /// Returns the requests that are overdue at `now`, in steady seconds, in order of arrival.
  std::vector<RequestKey> overdue_keys(double now) const;
  /// Returns why the request is overdue at `now`; kNo if it is not overdue or has been answered.
  OverdueReason overdue_reason(RequestKey key, double now) const;

 private:
  static OverdueReason overdue_reason(const PendingRequest& request, double now);
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
