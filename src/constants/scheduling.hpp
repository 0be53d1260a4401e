/// @file
/// Constants of the leader: heartbeats, direct commands, failures and placement.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Heartbeats and reservations
/// @{

/// Heartbeat intervals after which a reservation expires (the design's).
inline constexpr double kReservationHeartbeats = 3.0;
/// The longest heartbeat interval over the nominal one.
inline constexpr double kHeartbeatJitterFactor = 1.25;
/// Unit: s. For workers whose controller went: retry after 1 s, and a little.
inline constexpr double kHeartbeatRoundSlackS = 1.5;
/// Unit: s. Shortest time between two rounds.
inline constexpr double kPlacementRoundIntervalS = 0.2;
/// Unit: s. Between two direct stops of the same task.
inline constexpr double kDirectStopRetryS = 1.0;
/// Unit: s. A direct command without an answer.
inline constexpr double kDirectCallTimeoutS = 2.0;
/// Unit: s. How often the finished tasks of an array become durable.
inline constexpr double kProgressWriteIntervalS = 10.0;
/// Units waiting below which progress may be written.
inline constexpr std::size_t kBackgroundWriteQueueMax = 4;
/// Machines in one record by number, as the first versions write and read them: some 6 KB.
inline constexpr std::uint64_t kMachinesPerRecord = 64;
/// Bytes in a machine record beside its entries.
inline constexpr std::size_t kMachineRecordOverheadBytes = 48;
/// Bytes of an entry beside names: the longest address, quotes, and a part of an unanswered entry.
inline constexpr std::size_t kMachineEntryOverheadBytes = 60;
/// Bytes of an unanswered entry beside its name and what each entry sets aside for it.
inline constexpr std::size_t kUnansweredEntryOverheadBytes = 24;
/// Share of a leader's writes for machine records: above it they wait, and more changes share a write.
inline constexpr double kMachineRecordWriteShare = 0.5;
/// Unit: s. Between two writings of a record whose machines wait for it.
inline constexpr double kUrgentRecordWriteIntervalS = 0.8;
/// Unit: s. Between two writings of a record that is only outdated.
inline constexpr double kOutdatedRecordWriteIntervalS = 3.0;
/// Answers with our token after which a worker should show it.
inline constexpr int kUnprovenAnswersMax = 4;
/// Commands that a machine did not take before it is asked directly.
inline constexpr int kUndeliveredCommandsMax = 2;
/// Unanswered probes after which a machine counts as unresponsive.
inline constexpr int kProbeFailureThreshold = 2;
/// Heartbeats kept a MB of memory while the ledger is read.
inline constexpr double kEarlyHeartbeatsPerMb = 40;
/// Seconds between tries to read the ledger.
inline constexpr double kLedgerReadRetryS = 0.3;
/// Unit: s. The worker did not know the job yet.
inline constexpr double kUnknownJobBackoffS = 2.0;
/// Unit: s. Our picture of a machine's capacity was wrong.
inline constexpr double kInsufficientResourcesBackoffS = 1.0;
/// Seconds that a leader with no machine on record waits for any to send a heartbeat.
inline constexpr double kEmptyFleetReconcileS = 2.0;
/// Seconds between two looks at whether the round is full.
inline constexpr double kReconcileCheckIntervalS = 0.2;
/// Share of a lease after which an unresponsive machine is put on record as not answered any more.
inline constexpr double kUnansweredLeaseShare = 0.75;
/// Seconds between two looks at unresponsive machines.
inline constexpr double kLivenessCheckIntervalS = 0.25;
/// Seconds between two looks at jobs that end or have progress to write.
inline constexpr double kJobSweepIntervalS = 0.2;
/// Seconds between two lines of why a job waits.
inline constexpr double kWaitReasonLogIntervalS = 1.0;
/// Seconds between two probes to a doubtful machine.
inline constexpr double kSuspectProbeIntervalS = 2.0;

/// @}

/// @name Direct commands
/// @{

/// Share of the shortest expected start above which two heartbeats are too long.
inline constexpr double kDirectLaunchWaitShare = 0.25;
/// Unit: s. The shortest expected start where no aim names a shorter one.
inline constexpr double kDefaultStartObjectiveS = 20.0;
/// Direct calls a second for each core of the quota.
inline constexpr double kDirectCallRatePerCore = 800;
/// A second, in any case.
inline constexpr double kDirectCallRateMin = 5;
/// One socket in so many may be a direct call.
inline constexpr int kDirectSocketDivisor = 8;
/// Attempts that stay listed on a machine before heartbeats carry launches.
inline constexpr std::size_t kListedDirectAttemptsMax = 64;
/// Unit: s. An unanswered launch of cancelled work, before its machine goes.
inline constexpr double kUnansweredLaunchTimeoutS = 6.0;
/// Attempts are term << 24 | counter: never used twice.
inline constexpr std::uint64_t kAttemptCounterBits = 24;
/// Commands in one answer: stays far below 64 KiB.
inline constexpr std::size_t kCommandsPerAnswerMax = 200;
/// Above this share of unreachable machines the fault is on our side.
inline constexpr double kUnreachableShareMax = 0.05;
/// Unreachable machines that may be cordoned whatever their share.
inline constexpr std::size_t kUnreachableBaseAllowance = 3;
/// Unit: s. A worker that hears no answer sends another heartbeat 5 s later, elsewhere.
inline constexpr double kUnreachableHeartbeatSlackS = 6;
/// Unit: s. A worker that heard a higher token sends another heartbeat within half a second.
inline constexpr double kTokenEchoWaitS = 1.0;
/// Probes to a machine of an earlier leader that stays unresponsive.
inline constexpr int kReconcileProbesMax = 3;
/// Seconds between them.
inline constexpr double kReconcileProbeIntervalS = 0.5;
/// Direct calls to one machine at a time.
inline constexpr int kOpenDirectCallsMax = 2;

/// @}

/// @name Failures
/// @{

/// Unit: s. After a job's first failure.
inline constexpr double kBackoffInitialS = 2.0;
/// Unit: s. A job that fails everywhere is tried this rarely.
inline constexpr double kBackoffMaxS = 60.0;
/// Machines on which a job failed before it is tried narrowly.
inline constexpr int kJobSuspectMachines = 3;
/// Failed jobs in a row before a machine is cordoned.
inline constexpr int kMachineSuspectErrors = 2;
/// Unit: s. A job stays away from a machine where it failed.
inline constexpr double kAvoidMachineS = 120.0;
/// Heartbeat intervals without a heartbeat before a machine is unresponsive.
inline constexpr double kGiveUpHeartbeats = 4.0;
/// Seconds before which no machine is unresponsive: a worker needs 4 s + 1 s for each dead controller.
inline constexpr double kGiveUpMinS = 11.0;
/// Above this share of unresponsive machines the network is at fault.
inline constexpr double kNetworkFaultShare = 0.35;

/// @}

/// @name Placement
/// @{

/// Seconds that capacity being emptied is kept for its gang.
inline constexpr double kPreemptionHoldS = 8.0;
/// An array without any aim may take this many run times.
inline constexpr double kDefaultAllowedRuns = 2;
/// Share of a pace that is reached, since fetches, stops and changes of task take time.
inline constexpr double kAttainableRateShare = 0.85;
/// Seconds between two sortings of the late.
inline constexpr double kArrayTierIntervalS = 1.0;
/// Share of a run: the last tasks of a job overlap with other jobs' first.
inline constexpr double kLastRunShare = 0.7;
/// Arrivals kept to tell the load.
inline constexpr std::size_t kRecentArraysMax = 256;
/// Work due within this many boots needs its capacity ready when it comes.
inline constexpr double kReadyCapacityBoots = 2;
/// Share of a steady load that capacity is kept for in any case.
inline constexpr double kReadyCapacityShareMin = 0.7;
/// Seconds of arrivals that the load is computed from.
inline constexpr double kArrayLoadWindowS = 90;
/// Arrivals kept to tell which machines gangs want, and their rate over its window.
inline constexpr std::size_t kRecentGangsMax = 512;
/// Tasks of a gang that a machine takes at most, for machines to be kept ready for such gangs.
inline constexpr std::uint32_t kMachineFillingGangTasksMax = 3;
/// Seconds that a gang waits before it keeps others from the capacity it needs.
inline constexpr double kGangClaimAfterS = 40;
/// Gangs that do so in one round.
inline constexpr int kGangClaimsPerRoundMax = 8;
/// Seconds after which an array of which nothing ran goes before all others.
inline constexpr double kArrayOverdueWaitS = 100;
/// Seconds between two sortings of the queues.
inline constexpr double kQueueSortIntervalS = 0.25;
/// Seconds between two counts of the fleet's capacity.
inline constexpr double kCapacitySurveyIntervalS = 0.5;
/// Seconds between two searches for capacity to free, for one gang.
inline constexpr double kPreemptSearchIntervalS = 1.0;
/// Searches for capacity to preempt in one round.
inline constexpr int kPreemptSearchesPerRoundMax = 4;
/// Seconds for which the kinds that suit gangs are remembered.
inline constexpr double kGangUseCacheS = 1.0;

/// @}

}  // namespace robinford::constants
