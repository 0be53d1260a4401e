/// @file
/// Constants of election and request routing.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Leadership
/// @{

/// TTL of the lease on the leader key. It bounds the failover time, so it is short.
inline constexpr std::int64_t kLeaderTtlMs = 2500;
/// Time between two renewals of the leader's lease. Four renewals per TTL tolerate one or two slow
/// answers.
inline constexpr double kLeaderRenewIntervalS = 0.6;
/// Timeout of the calls that grant, use, renew and revoke the lease of the leader key.
inline constexpr double kLeaderLeaseCallTimeoutS = 1.0;
/// Safety margin subtracted from the leader's own computed end of its lease.
inline constexpr double kLeaderLeaseMarginS = 0.3;
/// Time after its last renewal at which a degraded leader stops answering heartbeats at the latest.
inline constexpr double kDegradedAnswerMaxS = 90.0;
/// Part of the difference between the time allowed for a cancellation and the length of a worker's lease that
/// is reserved for an announcement in flight, for ticks and for a worker's own steps.
inline constexpr double kCancellationMarginS = 1.5;
/// Minimum of the time allowed for a cancellation, less the length of a worker's lease and
/// kCancellationMarginS, at which all controllers may announce cancellations while the leader answers
/// heartbeats from its in-memory state, which lags by about 2 s. Below this bound the strict mode applies, in
/// which only the leader announces them.
inline constexpr double kDegradedAnswerMinS = 6.0;
/// Time after its last renewal for which a degraded leader answers heartbeats in strict mode. A new leader
/// announces cancellations only once this time of its predecessor has passed, so it is well below 75 s.
inline constexpr double kStrictAnswerMaxS = 45.0;
/// Time after the leader sent the last probe that a member has answered for which the leader's in-memory
/// state counts as current for the cancellations announced by that member: two status messages and a delay.
inline constexpr double kInMemoryStateFreshS = 2.0;
/// Minimum time between two regular reads of the change log of the other controllers. Requested reads may
/// follow earlier, as may all reads until the leader knows all announced cancellations.
inline constexpr double kChangeLogReadIntervalS = 1.0;
/// Regular reads of the change log are at least as far apart as the time in which the state service's rate
/// limit allows this number of calls, so with a low limit the log is read less often.
inline constexpr double kChangeLogCallsPerRead = 10;
/// Announced cancellations kept for members that missed them.
inline constexpr std::size_t kAnnouncedCancellationsMax = 4096;
/// Announced cancellations in one message.
inline constexpr std::size_t kAnnouncedPerMessageMax = 400;
/// Share of the time allowed for a cancellation after which a machine is returned unless it has shown that
/// the work is gone. The time is extended to the length of a lease and limited by kCancelReturnLeadS, but is
/// at least half of this share.
inline constexpr double kCancelPatienceShare = 0.5;
/// Time before the end of the time allowed for a cancellation at which a machine that has not shown that the
/// cancelled work is gone is returned at the latest, unless half of kCancelPatienceShare ends later. The
/// cloud needs this time to confirm the return.
inline constexpr double kCancelReturnLeadS = 10.0;
/// Replaces kCancelReturnLeadS where a new leader first gives an unreconciled or unanswered machine time for
/// two heartbeats. If less than this is left of the time allowed for the cancellation, the machine gets the
/// whole time for two heartbeats.
inline constexpr double kNewLeaderCancelReturnLeadS = 5.0;
/// Upper bound on the random delay before a campaign. The delay makes collisions between candidates rare.
inline constexpr double kCampaignJitterS = 0.12;
/// Delay after a campaign that failed for another reason than losing to another candidate and after a failed
/// watch of the leader key, and time between two reads of the key while they fail.
inline constexpr double kCampaignRetryS = 0.4;
/// Time for which the state service holds a watch open.
inline constexpr double kWatchWaitS = 10.0;
/// Time added to kWatchWaitS before an unanswered watch counts as lost.
inline constexpr double kWatchSlackS = 3.0;
/// Timeout of a read or transaction at the state service, except for list calls and the leader's lease, and
/// longest wait of a call in the normal queue. The outcome of a write that times out is unknown.
inline constexpr double kStateCallTimeoutS = 1.5;
/// Timeout of a list call at the state service. It is longer than that of other calls, because a page of
/// records may take half a megabyte.
inline constexpr double kStatePageTimeoutS = 4.0;
/// Random bits of an incarnation, below the wall-clock time of the process's start in ms.
inline constexpr int kIncarnationRandomBits = 16;

/// @}

/// @name Messages between controllers
/// @{

/// Time between two status messages to the other controllers.
inline constexpr double kStatusIntervalS = 0.5;
/// Age above which the status of another controller is disregarded.
inline constexpr double kPeerStatusFreshS = 1.8;
/// Time after which a follower itself serves a user request that it forwarded and the leader has not
/// answered. The leader answers a forwarded request within the same time, with 503 if it has no other answer.
inline constexpr double kForwardTimeoutS = 1.2;
/// Forwarded requests in flight per MB of memory before new ones are answered with 503.
inline constexpr double kForwardedRequestsPerMb = 16;
/// Heartbeats per second that a leader takes itself, for each core of the process's CPU quota; further ones
/// are redirected to followers.
inline constexpr double kOwnHeartbeatRatePerCore = 500;
/// Bytes queued for another controller at which they are sent without waiting for the tick.
inline constexpr std::size_t kPeerBatchBytes = std::size_t{32} * 1024;
/// Time for which a heartbeat may wait for a leader or a leader's answer. Its worker gives up after 4 s.
inline constexpr double kHeartbeatParkTimeoutS = 2.5;
/// Heartbeats that may wait for a leader, per MB of memory, before new ones are answered with 503.
inline constexpr double kParkedHeartbeatsPerMb = 16;
/// Maximum number of machines, per MB of memory, whose last forwarded heartbeat is kept. Heartbeats of
/// further machines are always forwarded in full.
inline constexpr double kLastHeartbeatsPerMb = 20;
/// Time for which the leader waits for the result of a direct call that it delegated to a follower. Longer
/// than kDirectCallTimeoutS, the timeout of the call itself.
inline constexpr double kDelegatedCallTimeoutS = 3.0;
/// Bits by which a random number is shifted to give the first request key. With a random start, answers
/// meant for an earlier process match no request.
inline constexpr int kRequestKeyShiftBits = 24;

/// @}

/// @name User requests
/// @{

/// Retry-After of answers to users whose request cannot be served at present.
inline constexpr int kRetryAfterS = 1;
/// Polls in progress per MB of memory before new ones are answered with 503. Submissions and
/// cancellations together have a second limit of the same size.
inline constexpr double kUserRequestsPerMb = 5;
/// Time within which a user request is answered. Users wait 2 s for a poll, so a later answer is useless.
inline constexpr double kUserRequestTimeoutS = 1.6;
/// Time after an answer for which the state service counts as reachable.
inline constexpr double kStateReachableS = 2.0;
/// Final job states cached in memory. Others are read on demand.
inline constexpr std::size_t kFinalCacheMax = 20000;
/// The protocol's limit on the tasks of a job.
inline constexpr std::uint32_t kTasksPerJobMax = 100000;
/// Upper bound on the CPUs, GPUs and GB of memory that a job may request per task; submissions above it are
/// rejected as implausible. It is also the CPU and GPU limit of a team for which the settings give neither,
/// and then means "unlimited".
inline constexpr double kAmountMax = 1e9;
/// Maximum number of attempts to write a cancellation. A new attempt is made only if another write changed
/// the job's records after the previous attempt had read them.
inline constexpr int kCancelWriteAttempts = 4;

/// @}

/// @name Dependencies
/// @{

/// Jobs that a job may depend on. Their ids take 1.6 KB at most, which is below the smallest known limit
/// for a value.
inline constexpr std::size_t kDependenciesPerJobMax = 64;
/// Jobs that a poll of a waiting job may follow through its dependencies before it is answered with 503,
/// so that a poll cannot cost the state service an unbounded number of reads.
inline constexpr std::size_t kDependencyWalkReadsMax = 256;
/// Reads of dependencies that a leader has in flight.
inline constexpr std::size_t kDependencyReadsInFlightMax = 16;

/// @}

/// @name Versions of controllers
/// @{

/// Feature level of this program. Level 2 is the first that is registered; it adds dependencies.
inline constexpr std::uint64_t kFeatureLevel = 2;
/// Time between two reads of the version registry until all members are registered. It is also the retry
/// delay for a dependency without a record.
inline constexpr double kVersionsReadIntervalS = 2.0;

/// @}

}  // namespace robinford::constants
