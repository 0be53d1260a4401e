/// @file
/// Constants of scaling the fleet out and in.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Fleet
/// @{

/// Unit: s. How often the fleet is reviewed.
inline constexpr double kFleetEveryS = 1.0;
/// Unit: s. Spot prices move.
inline constexpr double kCatalogReadIntervalS = 60.0;
/// Unit: s. While no catalog is known.
inline constexpr double kCatalogRetryS = 2.0;
/// Unit: s. Between two readings of the machine list.
inline constexpr double kMachineListIntervalS = 5.0;
/// Machines in one page of the list.
inline constexpr std::size_t kMachineListPageItems = 500;
/// Unit: s. A cloud call without an answer.
inline constexpr double kCloudCallTimeoutS = 4.0;
/// Factor on the nominal boot time after which a machine that is not up is given up.
inline constexpr double kBootTimeoutFactor = 2.5;
/// Seconds added to that time.
inline constexpr double kBootTimeoutSlackS = 5.0;
/// Unit: s. Assumed boot time of a machine whose type is not in the catalog.
inline constexpr double kDefaultBootS = 60;
/// Times the nominal boot time that the protocol calls usual.
inline constexpr double kDefaultUsualBootFactor = 1.5;
/// Boots of a type that its usual time is known by.
inline constexpr std::size_t kBootSamplesMax = 32;
/// Boots of a type that must be known before they replace the nominal time of the protocol.
inline constexpr std::size_t kBootSamplesMin = 8;
/// Quantile of the known boots that counts as the usual time.
inline constexpr double kBootQuantile = 0.9;
/// Factor over the usual or the nominal time above which a boot is late.
inline constexpr double kLateBootFactor = 1.15;
/// Unit: s. A type and zone that refused is asked again after this.
inline constexpr double kNoCapacityBackoffS = 20.0;
/// Machines in one provisioning request (the cloud's limit).
inline constexpr int kProvisionRequestMachinesMax = 50;
/// Provisioning requests in flight at once for one type, zone and kind.
inline constexpr int kProvisionRequestsInFlightMax = 4;
/// Unresponsive machines of an earlier leader that are given up early.
inline constexpr std::size_t kFewUnreconciledMax = 3;
/// Share of all machines up to which they are given up early as well.
inline constexpr double kFewUnreconciledShare = 0.02;
/// Machines in one return request (the cloud's limit).
inline constexpr std::size_t kReturnRequestMachinesMax = 100;
/// Unit: s. An idle machine nobody is expected to need goes back.
inline constexpr double kIdleReturnS = 3.0;
/// List lags after which a machine that is in no list is forgotten.
inline constexpr double kForgetListLags = 6.0;
/// Boot times that an idle machine is kept while work still arrives.
inline constexpr double kIdleReturnBoots = 0.5;
/// Seconds of gang arrivals that the spare machines are computed from.
inline constexpr double kGangArrivalWindowS = 120.0;
/// Unit: s. A class's run time before anything is known of it.
inline constexpr double kDefaultRunS = 60.0;
/// Least weight of one completion in what a class is known by.
inline constexpr double kLearnWeightMin = 0.03;
/// Completions before a job's or class's own run time is believed.
inline constexpr int kLearnCompletionsMin = 3;
/// Weight of one estimate beside its class's while nothing has run.
inline constexpr double kEstimateWeight = 0.5;
/// Completions of one job that its class learns from.
inline constexpr int kLearnTasksPerJobMax = 4;
/// Lower bound of the learned ratio of real to estimated run time.
inline constexpr double kLearnRatioMin = 0.2;
/// Upper bound of the learned ratio of real to estimated run time.
inline constexpr double kLearnRatioMax = 5.0;
/// Machines that must be quiet before their zone counts as cut off.
inline constexpr int kZoneOutageMachinesMin = 3;
/// Seconds that a zone counts as cut off after the last sign of it: some boot times.
inline constexpr double kZoneOutageS = 60.0;
/// Seconds between two debug lines about what the fleet should be.
inline constexpr double kFleetLogIntervalS = 10.0;
/// Seconds between two looks at what the cloud should be asked.
inline constexpr double kFleetReviewIntervalS = 0.5;
/// Unit: s. Time constant with which the computed need for cores falls.
inline constexpr double kNeedDecayS = 15;
/// Unit: cores. A rest of a fallen need that counts as none.
inline constexpr double kNeedNegligibleCores = 2;
/// Times the price a core of what is offered: dearer capacity is replaced; spot prices move by a third.
inline constexpr double kOverpricedRatio = 1.3;
/// Boot times of work that a machine provisioned for a backlog must find.
inline constexpr double kProvisionWorthBoots = 1;
/// Runs before the end at which the last tasks should be under way.
inline constexpr double kLastTasksRuns = 0.5;
/// Boots within which work is due whose capacity should stay.
inline constexpr double kTightBoots = 2;
/// Run times over which late work is spread.
inline constexpr double kLateWindowRuns = 3;
/// Seconds before an unanswered provisioning request is repeated under its name.
inline constexpr double kProvisionRetryS = 1.0;
/// Seconds that a returned machine's name is kept, against late messages.
inline constexpr double kGoneMachineKeptS = 900;

/// @}

}  // namespace robinford::constants
