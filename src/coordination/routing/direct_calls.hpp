/// @file
/// Direct calls to workers, made by the leader or delegated to a follower: docs/design.md, "Direct launches".
#pragma once

#include <cstdint>
#include <map>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/routing/peer_frames.hpp"
#include "coordination/routing/peer_table.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Tracks the direct calls that this leader has delegated to followers, and counts the calls that this
/// controller itself has in flight. Each call costs a connection, so a leader delegates the calls to its
/// followers in turn and makes a call itself only if there is no follower. The scheduler receives exactly one
/// result for each call; its status is 0 or its heartbeat is null if there was no usable answer.
class DirectCalls {
 public:
  DirectCalls(ControllerContext& context, const Election& election, Scheduler& scheduler, PeerTable& peers,
              PeerFrames& frames);

  /// Starts a call of this leader, through a follower if there is one.
  void start(const DirectCall& call);
  /// Makes the call that a message of kind kProbe requests, for another controller or for this leader itself.
  /// For another controller, reports at once that there was no answer if too many calls are in flight.
  void execute_call(const protocol::PeerMessage& probe);
  /// Handles a follower's result of a delegated call, a message of kind kProbeResult.
  void on_peer_result(const protocol::PeerMessage& result);
  /// Reports delegated calls whose deadline has passed as unanswered.
  void tick();

 private:
  /// Reports a worker's answer to the controller that requested the call. A null heartbeat means that there
  /// was no usable answer.
  void finish(const std::string& requester, std::uint64_t id, int status,
              const protocol::Heartbeat* heartbeat);

  ControllerContext& context_;
  const Election& election_;
  Scheduler& scheduler_;
  PeerTable& peers_;
  PeerFrames& frames_;
  std::map<std::uint64_t, double> delegated_;  ///< deadlines (steady s) of delegated calls, by call id
  std::size_t open_calls_ = 0;                 ///< calls that this controller itself has in flight
};

}  // namespace robinford::coordination
