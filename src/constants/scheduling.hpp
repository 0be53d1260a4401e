/// @file
/// Constants of the leader: heartbeats, direct commands, failures and placement.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Heartbeats and reservations
/// @{

/// Heartbeat intervals after which a reservation that is not confirmed expires, as the design specifies.
inline constexpr double kReservationHeartbeats = 3.0;
/// Longest interval between two heartbeats of a worker, as a multiple of the nominal interval.
inline constexpr double kHeartbeatJitterFactor = 1.25;
/// Time added to the longest heartbeat interval before a heartbeat counts as missing. A worker whose
/// controller has failed retries after 1 s; the rest covers delays.
inline constexpr double kHeartbeatRoundSlackS = 1.5;
/// Minimum time between two placement rounds.
inline constexpr double kPlacementRoundIntervalS = 0.2;
/// Minimum time between two direct stop commands for the same task.
inline constexpr double kDirectStopRetryS = 1.0;
/// Timeout of a direct command to a worker.
inline constexpr double kDirectCallTimeoutS = 2.0;
/// Minimum time between two writes of the completed tasks of an array to its durable record.
inline constexpr double kProgressWriteIntervalS = 10.0;
/// Time after the end of a job after which a final state that is not durable is reported.
inline constexpr double kFinalStateOverdueS = 10.0;
/// Minimum time between two such reports.
inline constexpr double kOverdueWarningIntervalS = 10.0;
/// Progress of arrays is written, and failed deletions of change log entries are retried, only while fewer
/// units than this wait in the writer.
inline constexpr std::size_t kBackgroundWriteQueueMax = 4;
/// Machines per record in the layout by number, which the first versions read and write. Such a record
/// takes about 6 KB. The value is part of the stored format.
inline constexpr std::uint64_t kMachinesPerRecord = 64;
/// Bytes of a machine record apart from its entries.
inline constexpr std::size_t kMachineRecordOverheadBytes = 48;
/// Bytes of a machine entry apart from its names: the longest address, quotes, and part of the entry that
/// marks the machine as unanswered.
inline constexpr std::size_t kMachineEntryOverheadBytes = 60;
/// Bytes of an entry that marks a machine as unanswered, apart from the machine's name and from what
/// kMachineEntryOverheadBytes already includes.
inline constexpr std::size_t kUnansweredEntryOverheadBytes = 24;
/// Share of the leader's write budget that urgent machine records may use. When more records are pending,
/// each is written less often, so that more changes share a write and job records still get through.
inline constexpr double kMachineRecordWriteShare = 0.5;
/// Minimum time between two writes of a machine record that launches wait for.
inline constexpr double kUrgentRecordWriteIntervalS = 0.8;
/// Minimum time between two writes of a machine record that is only outdated, with no launch waiting for
/// it.
inline constexpr double kOutdatedRecordWriteIntervalS = 3.0;
/// Consecutive answered heartbeats without this leader's fencing token at which their worker is probed: the
/// answers, which carry the token, probably do not reach it. The first of these heartbeats follows no answer
/// of this leader.
inline constexpr int kUnprovenAnswersMax = 4;
/// Number of lost commands, which newer heartbeats show as never received, at which a machine is probed
/// directly.
inline constexpr int kUndeliveredCommandsMax = 2;
/// Failed probes in a row at which an unreconciled machine is treated as unresponsive, and below which no
/// machine is cordoned as unreachable.
inline constexpr int kProbeFailureThreshold = 2;
/// Heartbeats that a new leader may hold, per MB of memory, while it reads the ledger, before it answers new
/// ones with 503.
inline constexpr double kEarlyHeartbeatsPerMb = 40;
/// Delay before a failed read of the ledger, of a dependency or of the change log is retried, and time
/// between two reads of the change log until the leader knows all announced cancellations.
inline constexpr double kLedgerReadRetryS = 0.3;
/// Backoff of a job whose task ended with the reason "unknown": the worker did not know the job yet.
inline constexpr double kUnknownJobBackoffS = 2.0;
/// Backoff of a job that a worker rejected for lack of resources: the leader's view of the machine's
/// capacity was wrong.
inline constexpr double kInsufficientResourcesBackoffS = 1.0;
/// Upper bound on the time that a new leader without any machine on record waits for heartbeats.
inline constexpr double kEmptyFleetReconcileS = 2.0;
/// Minimum time between two checks of whether every machine on record has reported its tasks or failed to
/// answer a probe, which ends the reconciling phase.
inline constexpr double kReconcileCheckIntervalS = 0.2;
/// Share of a lease after which an unresponsive machine is recorded as unanswered. A machine that returns
/// earlier must be answered at once, because its tasks end with its lease.
inline constexpr double kUnansweredLeaseShare = 0.75;
/// Time between two checks for unresponsive machines.
inline constexpr double kLivenessCheckIntervalS = 0.25;
/// Time between two passes over the jobs that end or have progress to write.
inline constexpr double kJobSweepIntervalS = 0.2;
/// Time between two passes over the jobs that log why they wait, where the reason has changed.
inline constexpr double kWaitReasonLogIntervalS = 1.0;
/// Minimum time between two probes of a machine that may be unreachable.
inline constexpr double kSuspectProbeIntervalS = 2.0;

/// @}

/// @name Direct commands
/// @{

/// Direct launches are used where two heartbeat intervals of maximum length take more than this share of the
/// shortest start objective: a gang that is launched through heartbeats waits for two of them.
inline constexpr double kDirectLaunchWaitShare = 0.25;
/// Upper bound on the shortest start objective; the value used when no objective sets a shorter one.
inline constexpr double kDefaultStartObjectiveS = 20.0;
/// Direct calls per second for each core of the process's CPU quota.
inline constexpr double kDirectCallRatePerCore = 800;
/// Lower bound on the rate of direct calls, in calls per second.
inline constexpr double kDirectCallRateMin = 5;
/// The number of open direct calls is limited to the connection limit divided by this value.
inline constexpr int kDirectSocketDivisor = 8;
/// Directly launched attempts listed on a machine after which new tasks on it are launched through
/// heartbeats only.
inline constexpr std::size_t kListedDirectAttemptsMax = 64;
/// Time after which a machine with an unanswered direct launch of a cancelled job is returned, because
/// the launch may still be carried out.
inline constexpr double kUnansweredLaunchTimeoutS = 6.0;
/// Bits of the counter in an attempt number (term << 24 | counter), so that no leader reuses a number.
/// Epochs of quota leases are composed in the same way.
inline constexpr std::uint64_t kAttemptCounterBits = 24;
/// Commands in one answer to a heartbeat or one direct call. It keeps both far below 64 KiB.
inline constexpr std::size_t kCommandsPerAnswerMax = 200;
/// Share of all machines that may be cordoned as unreachable, in addition to kUnreachableBaseAllowance.
/// When more machines are unreachable, the fault is probably on this side.
inline constexpr double kUnreachableShareMax = 0.05;
/// Machines that may be cordoned as unreachable regardless of the size of the fleet.
inline constexpr std::size_t kUnreachableBaseAllowance = 3;
/// Time added to two heartbeat intervals for the age of the last heartbeat of an unreachable machine: a
/// worker without an answer sends the next heartbeat 5 s later, to another controller.
inline constexpr double kUnreachableHeartbeatSlackS = 6;
/// Time for which an unreconciled machine that was just answered with this leader's fencing token is not
/// probed: its worker sends another heartbeat within half a second.
inline constexpr double kTokenEchoWaitS = 1.0;
/// Failed probes in a row after which a new leader stops probing an unreconciled machine.
inline constexpr int kReconcileProbesMax = 3;
/// Minimum time between two probes of an unreconciled machine.
inline constexpr double kReconcileProbeIntervalS = 0.5;
/// Open direct calls to one machine at which no further stop command is sent to it directly.
inline constexpr int kOpenDirectCallsMax = 2;

/// @}

/// @name Failures
/// @{

/// Base of the backoff of a job that has failed on at least kJobSuspectMachines machines since its last
/// success. The backoff is twice the base at three machines, 4 s, and doubles with each further one.
inline constexpr double kBackoffInitialS = 2.0;
/// Maximum backoff of a job that fails on several machines.
inline constexpr double kBackoffMaxS = 60.0;
/// Machines on which a job must have failed for the failure to be attributed to the job.
inline constexpr int kJobSuspectMachines = 3;
/// Different jobs that must have failed on a machine since its last success for it to be cordoned. More
/// failures than this in a row suffice if other tasks of the job run or have succeeded.
inline constexpr int kMachineSuspectErrors = 2;
/// Time for which a job is not placed on a machine where it failed.
inline constexpr double kAvoidMachineS = 120.0;
/// Launches of a task in a row, without progress, that follow one another without a pause.
inline constexpr std::uint32_t kLaunchesWithoutBackoff = 3;
/// Pause after the last of these launches. It doubles with each further one.
inline constexpr double kRelaunchBackoffS = 4.0;
/// Maximum of that pause. A job must not wait beside free capacity for much longer.
inline constexpr double kRelaunchBackoffMaxS = 30.0;
/// Time between two launches of a task after which the second is not counted with the first. It exceeds the
/// longest pause, so that a task that is launched in vain for ever stays in its row.
inline constexpr double kLaunchRowGapS = 60.0;
/// Minimum time between two log lines about repeated launches of the same job.
inline constexpr double kRepeatedLaunchLogIntervalS = 10.0;
/// Heartbeat intervals without a heartbeat, counted from the beginning of the leader's term at the earliest,
/// after which an unresponsive machine is given up and returned, unless kNetworkFaultShare applies.
inline constexpr double kGiveUpHeartbeats = 4.0;
/// Minimum time without a heartbeat before an unresponsive machine is given up: a worker needs 4 s and 1
/// s more for each failed controller to reach another one.
inline constexpr double kGiveUpMinS = 11.0;
/// Share of unresponsive machines above which a network fault is assumed, if there are more than two of them.
/// Then a machine that has been unresponsive for too long is returned only if the cloud has announced its
/// interruption, since returning the others would lose all their work.
inline constexpr double kNetworkFaultShare = 0.35;

/// @}

/// @name Placement
/// @{

/// Minimum time for which preempted machine capacity is kept for the gang, and time between two preemptions
/// that free quota for the same gang.
inline constexpr double kPreemptionHoldS = 8.0;
/// Time within which a job without a deadline or objective should be finished, as a multiple of its expected
/// run time. kDefaultRunS is added.
inline constexpr double kDefaultAllowedRuns = 2;
/// Share of an array's nominal rate that is attainable: image fetches, stops and changes of task take
/// time.
inline constexpr double kAttainableRateShare = 0.85;
/// Time between two assignments of arrays to urgency tiers, which include the computation of inherited
/// priorities and due times.
inline constexpr double kArrayTierIntervalS = 1.0;
/// Share of a run time counted for the last tasks of an array: they overlap with the first tasks of other
/// jobs.
inline constexpr double kLastRunShare = 0.7;
/// Array arrivals kept for the load estimate.
inline constexpr std::size_t kRecentArraysMax = 256;
/// Arrays that must finish within this many boot times count in full towards the load estimate: capacity
/// for them must be ready when they arrive.
inline constexpr double kReadyCapacityBoots = 2;
/// Minimum share with which an array counts towards the load estimate, however much time it is allowed.
inline constexpr double kReadyCapacityShareMin = 0.7;
/// Time window of array arrivals for the load estimate.
inline constexpr double kArrayLoadWindowS = 90;
/// Gang arrivals kept for the arrival rate of gangs and for the choice of the machines that suit them.
inline constexpr std::size_t kRecentGangsMax = 512;
/// Maximum number of tasks of a gang that fit a machine for the gang to count as filling it. Machines are
/// kept ready for such gangs.
inline constexpr std::uint32_t kMachineFillingGangTasksMax = 3;
/// Waiting time after which a gang is placed ahead of the fair-share order of its priority and claims
/// machines, which gangs considered later in the same round can't use, so that gangs with fewer tasks do not
/// starve it.
inline constexpr double kGangClaimAfterS = 40;
/// Gangs that may claim machines in one placement round.
inline constexpr int kGangClaimsPerRoundMax = 8;
/// Waiting time after which an array without any started task is placed ahead of the fair-share order of its
/// priority, so that it does not starve.
inline constexpr double kArrayOverdueWaitS = 100;
/// Minimum time between two sorts of the queues.
inline constexpr double kQueueSortIntervalS = 0.25;
/// Minimum time between two counts of the fleet's capacity.
inline constexpr double kCapacitySurveyIntervalS = 0.5;
/// Minimum time between two searches for preemptible capacity for the same gang.
inline constexpr double kPreemptSearchIntervalS = 1.0;
/// Maximum number of searches for preemptible capacity in one placement round.
inline constexpr int kPreemptSearchesPerRoundMax = 4;
/// Time for which the answers about which kinds of machine suit gangs are cached.
inline constexpr double kGangUseCacheS = 1.0;

/// @}

}  // namespace robinford::constants
