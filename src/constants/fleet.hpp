/// @file
/// Constants of scaling the fleet out and in.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Fleet
/// @{

/// Time between two reads of the catalog, since spot prices change.
inline constexpr double kCatalogReadIntervalS = 60.0;
/// Retry delay while no catalog has been read.
inline constexpr double kCatalogRetryS = 2.0;
/// Time between two reads of the machine list.
inline constexpr double kMachineListIntervalS = 5.0;
/// Machines in one page of the list.
inline constexpr std::size_t kMachineListPageItems = 500;
/// Timeout of a call to the cloud.
inline constexpr double kCloudCallTimeoutS = 4.0;
/// A machine that is not up after this multiple of its nominal boot time plus kBootTimeoutSlackS is returned.
/// A boot counts as late after this multiple of the nominal boot time at the latest.
inline constexpr double kBootTimeoutFactor = 2.5;
/// Time added to kBootTimeoutFactor times the nominal boot time before a machine that is not up is returned.
inline constexpr double kBootTimeoutSlackS = 5.0;
/// Assumed boot time of a machine whose type is not in the catalog.
inline constexpr double kDefaultBootS = 60;
/// Usual boot time as a multiple of the nominal one, according to the protocol. A boot that takes longer is
/// late; this applies until kBootSamplesMin boots of the type were observed.
inline constexpr double kDefaultUsualBootFactor = 1.5;
/// Boot times kept per machine type.
inline constexpr std::size_t kBootSamplesMax = 32;
/// Boot times of a type that must be known before they replace the protocol's estimate.
inline constexpr std::size_t kBootSamplesMin = 8;
/// Quantile of the observed boot times that counts as the usual boot time.
inline constexpr double kBootQuantile = 0.9;
/// Factor on the usual boot time, as observed, above which a boot is late. Boots that take less than this
/// multiple of the nominal boot time are never late.
inline constexpr double kLateBootFactor = 1.15;
/// Time for which no machines of a type, zone and price kind are requested again after the cloud had no or
/// too few of them, or rejected the request as malformed.
inline constexpr double kNoCapacityBackoffS = 20.0;
/// Machines in one provisioning request (the cloud's limit).
inline constexpr int kProvisionRequestMachinesMax = 50;
/// Provisioning requests that one type, zone and price kind (spot or not) may have outstanding. No further
/// ones are made until all of them are answered.
inline constexpr int kProvisionRequestsInFlightMax = 4;
/// Unreconciled machines up to which the unresponsive ones among them are returned early, because they
/// hold up the work of earlier leaders.
inline constexpr std::size_t kFewUnreconciledMax = 3;
/// Share of all machines up to which unreconciled ones also count as few, if it allows more of them than
/// kFewUnreconciledMax. With even more of them a network fault is likely.
inline constexpr double kFewUnreconciledShare = 0.02;
/// Machines in one return request (the cloud's limit).
inline constexpr std::size_t kReturnRequestMachinesMax = 100;
/// Time after which an idle surplus machine is returned, unless the policy sets another, if no arriving work
/// is expected to need it or its type is not in the catalog.
inline constexpr double kIdleReturnS = 3.0;
/// Time since a machine became known or was last listed after which it is forgotten, as a multiple of the
/// list lag, if this leader did not provision it, it has sent no heartbeat and it certainly holds no work.
inline constexpr double kForgetListLags = 6.0;
/// Time for which an idle surplus machine is kept, as a multiple of its type's boot time, while work that
/// could use it still arrives, unless the policy sets another time.
inline constexpr double kIdleReturnBoots = 0.5;
/// Time window of gang arrivals from which the number of spare machines is computed.
inline constexpr double kGangArrivalWindowS = 120.0;
/// Assumed run time of a task without an estimate, while its class has fewer than kLearnCompletionsMin
/// completions.
inline constexpr double kDefaultRunS = 60.0;
/// Minimum weight of a completion in the run-time statistics of its class.
inline constexpr double kLearnWeightMin = 0.03;
/// Completions before the observed run time of a job or class is used. For a class, only completions of jobs
/// with an estimate count. The same number of estimates is needed before a class's estimates are used.
inline constexpr int kLearnCompletionsMin = 3;
/// Weight of a job's own estimate against its class's estimates while the class has fewer than
/// kLearnCompletionsMin completions.
inline constexpr double kEstimateWeight = 0.5;
/// Completions of one job with an estimate that count in the statistics of its class, so that a large array
/// does not dominate them. Completions of jobs without an estimate do not count.
inline constexpr int kLearnTasksPerJobMax = 4;
/// Lower bound of the learned ratio of real to estimated run time.
inline constexpr double kLearnRatioMin = 0.2;
/// Upper bound of the learned ratio of real to estimated run time.
inline constexpr double kLearnRatioMax = 5.0;
/// Machines without recent heartbeats, or that a new leader's probes do not reach, needed for a zone to count
/// as unresponsive. They must also outnumber the other machines of the zone.
inline constexpr int kZoneOutageMachinesMin = 3;
/// Time for which a zone counts as unresponsive after the last review of the fleet that confirmed it, unless
/// the zone responds earlier: a few boot times.
inline constexpr double kZoneOutageS = 60.0;
/// Time between two debug lines with the figures of the fleet plan.
inline constexpr double kFleetLogIntervalS = 10.0;
/// Time between two reviews of the fleet, and minimum time between two return requests.
inline constexpr double kFleetReviewIntervalS = 0.5;
/// Time constant with which the need for array cores decays to a lower computed value.
inline constexpr double kNeedDecayS = 15;
/// Excess of the decaying need over the computed one, in cores, below which the excess is dropped. The
/// decaying need never quite reaches the computed value, and the remainder would keep the last machine
/// forever.
inline constexpr double kNeedNegligibleCores = 2;
/// Limit on a machine's price per core, as a multiple of that of the machines that would be provisioned for
/// arrays now. Machines above it without a gang do not count as array capacity, so that cheaper ones are
/// provisioned before they are drained. Spot prices vary by a third, so smaller differences are tolerated.
inline constexpr double kOverpricedRatio = 1.3;
/// Time for which the backlog must occupy a newly provisioned machine once it is up, as a multiple of its
/// boot time.
inline constexpr double kProvisionWorthBoots = 1;
/// How long before an array's due time the last of its tasks without capacity should be started, as a
/// multiple of the expected run time of one task.
inline constexpr double kLastTasksRuns = 0.5;
/// Longest time allowed for an array, as a multiple of the boot time, for which the capacity that the array
/// uses counts in full towards the need, since a replacement would not be up in time.
inline constexpr double kTightBoots = 2;
/// Time over which the work of a late array is spread, as a multiple of the expected run time of one task.
inline constexpr double kLateWindowRuns = 3;
/// Retry delay for a provisioning request whose outcome is unknown, which is repeated under the same name.
inline constexpr double kProvisionRetryS = 1.0;
/// Time for which the name of a returned machine is kept, so that late messages do not revive it.
inline constexpr double kGoneMachineKeptS = 900;

/// @}

}  // namespace robinford::constants
