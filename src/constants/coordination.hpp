/// @file
/// Constants of election and request routing.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Leadership
/// @{

/// Unit: ms. Lease of the leader key; short, since it bounds a failover.
inline constexpr std::int64_t kLeaderTtlMs = 2500;
/// Unit: s. Four renewals per lease survive a slow answer or two.
inline constexpr double kLeaderRenewIntervalS = 0.6;
/// Unit: s. A renewal without an answer by then is tried again.
inline constexpr double kLeaderLeaseCallTimeoutS = 1.0;
/// Unit: s. Taken off the leader's own bound of its lease.
inline constexpr double kLeaderLeaseMarginS = 0.3;
/// Unit: s. After its last renewal a leader answers no heartbeat any more.
inline constexpr double kDegradedAnswerMaxS = 90.0;
/// Seconds for an announcement under way, for ticks and for a worker's own steps.
inline constexpr double kCancellationMarginS = 1.5;
/// Seconds between a lease and a cancellation, below which the in-memory state may not lag at all: it does
/// by about 2 s.
inline constexpr double kDegradedAnswerMinS = 6.0;
/// Unit: s. The degraded leader's bound there, since cancellations wait for it; well below 75 s.
inline constexpr double kStrictAnswerMaxS = 45.0;
/// Seconds for which a member's answered probe lets a leader's in-memory state speak for it: two heartbeats
/// and a delay.
inline constexpr double kInMemoryStateFreshS = 2.0;
/// Seconds between two looks at what other controllers wrote.
inline constexpr double kChangeLogReadIntervalS = 1.0;
/// Calls that the key-value store must grant for each read of the change log: with a low limit it is read
/// less often.
inline constexpr double kChangeLogCallsPerRead = 10;
/// Announced cancellations kept for members that missed them.
inline constexpr std::size_t kAnnouncedCancellationsMax = 4096;
/// Announced cancellations in one message.
inline constexpr std::size_t kAnnouncedPerMessageMax = 400;
/// Share of the time that a cancellation has, after which a machine that has not proved it is returned.
inline constexpr double kCancelPatienceShare = 0.5;
/// Seconds before that time ends at which the machine is returned at the latest, so that the cloud can
/// answer.
inline constexpr double kCancelReturnLeadS = 10.0;
/// Seconds before its end at the latest, where a new leader gives machines time to send a heartbeat.
inline constexpr double kNewLeaderCancelReturnLeadS = 5.0;
/// Unit: s. Random wait before a campaign, so that campaigns rarely collide.
inline constexpr double kCampaignJitterS = 0.12;
/// Unit: s. Pause after a failed campaign.
inline constexpr double kCampaignRetryS = 0.4;
/// Unit: s. How long one watch is left open.
inline constexpr double kWatchWaitS = 10.0;
/// Unit: s. After the watch's own time, before it counts as lost.
inline constexpr double kWatchSlackS = 3.0;
/// Unit: s. A state call without an answer by then is unresolved.
inline constexpr double kStateCallTimeoutS = 1.5;
/// Unit: s. A page of the ledger may be half a megabyte.
inline constexpr double kStatePageTimeoutS = 4.0;
/// Bits below the time of day at a process's start, drawn at random.
inline constexpr int kIncarnationRandomBits = 16;

/// @}

/// @name Messages between controllers
/// @{

/// Unit: s. Status to the other controllers.
inline constexpr double kStatusIntervalS = 0.5;
/// Unit: s. A status older than this proves nothing.
inline constexpr double kPeerStatusFreshS = 1.8;
/// Unit: s. A forwarded request without an answer is settled here.
inline constexpr double kForwardTimeoutS = 1.2;
/// Forwarded requests in flight a MB of memory before new ones get 503.
inline constexpr double kForwardedRequestsPerMb = 16;
/// Heartbeats a second, for each core of the quota, that a leader takes itself.
inline constexpr double kOwnHeartbeatRatePerCore = 500;
/// Bytes for another controller that are sent without waiting for the tick.
inline constexpr std::size_t kPeerBatchBytes = std::size_t{32} * 1024;
/// Seconds a heartbeat waits for a leader: its worker gives up after 4 s.
inline constexpr double kHeartbeatParkTimeoutS = 2.5;
/// Heartbeats waiting for a leader, for each MB of memory.
inline constexpr double kParkedHeartbeatsPerMb = 16;
/// Machines whose last heartbeat is kept, for each MB of memory.
inline constexpr double kLastHeartbeatsPerMb = 20;
/// Seconds for a direct call that another controller makes.
inline constexpr double kDelegatedCallTimeoutS = 3.0;
/// Requests are numbered above a random start: answers to an earlier process miss.
inline constexpr int kRequestKeyShiftBits = 24;

/// @}

/// @name User requests
/// @{

/// Unit: s. For a user whose request can't be served just now.
inline constexpr int kRetryAfterS = 1;
/// Polls in progress a MB of memory before new ones get 503; as many submissions and cancellations.
inline constexpr double kUserRequestsPerMb = 5;
/// Unit: s. Users wait 2 s for a poll; later answers are useless.
inline constexpr double kUserRequestTimeoutS = 1.6;
/// Unit: s. The state service counts as reachable this long after an answer.
inline constexpr double kStateReachableS = 2.0;
/// Final job states kept in memory; the rest is read when asked.
inline constexpr std::size_t kFinalCacheMax = 20000;
/// The protocol's limit for the tasks of a job.
inline constexpr std::uint32_t kTasksPerJobMax = 100000;
/// Amounts above this are absurd and refused.
inline constexpr double kAmountMax = 1e9;
/// Each lost against another writer of the same record.
inline constexpr int kCancelWriteAttempts = 4;

/// @}

/// @name Dependencies
/// @{

/// Jobs that one job may name: their ids take 1.6 KB at most, below the smallest value limit known.
inline constexpr std::size_t kDependenciesPerJobMax = 64;
/// Records that one probe about a waiting job may read, before it gets 503.
inline constexpr std::size_t kDependencyWalkReadsMax = 256;
/// Reads of dependencies that a leader has open at once.
inline constexpr std::size_t kDependencyReadsInFlightMax = 16;
/// Seconds between two computations of what jobs inherit.
inline constexpr double kInheritEveryS = 1.0;

/// @}

/// @name Versions of controllers
/// @{

/// Feature level of this program. Level 2, the first that is registered, brings dependencies.
inline constexpr std::uint64_t kFeatureLevel = 2;
/// Seconds between two readings of the registry until all are known.
inline constexpr double kVersionsReadIntervalS = 2.0;

/// @}

}  // namespace robinford::constants
