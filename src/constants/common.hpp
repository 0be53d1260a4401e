/// @file
/// Constants of several layers: clocks, budgets of outside services, metrics.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Clocks and amounts
/// @{

/// The protocol's bound on the drift of steady clocks, as a ratio (0.05%).
inline constexpr double kClockDrift = 0.0005;
/// Time between two ticks, which check the controller's timers.
inline constexpr double kTickIntervalS = 0.05;
/// Allowance for scheduling delays in the computed ends of quota leases and of workers' leases and after
/// kInMemoryStateFreshS. The holder of a quota lease subtracts it; all other users add it.
inline constexpr double kLeaseMarginS = 0.25;
/// Tolerance for comparisons of amounts, which are decimal numbers.
inline constexpr double kAmountRounding = 1e-6;

/// @}

/// @name Budgets
/// @{

/// Share of the state service's limits that the leader uses.
inline constexpr double kLeaderBudgetShare = 0.70;
/// Share of the state service's limits that all other controllers use together.
inline constexpr double kMemberBudgetShare = 0.24;
/// Factor on the budget of this controller after a 429 of the state service.
inline constexpr double kPaceReductionFactor = 0.8;
/// Minimum time between two reductions of the budget by kPaceReductionFactor, and between a step of recovery
/// and a reduction. A 429 within this time does not count.
inline constexpr double kPaceReductionIntervalS = 1.0;
/// Lower bound on the share of the budget that stays in use, however many 429 answers arrive.
inline constexpr double kPaceMin = 0.25;
/// Time after a 429 that counts or an earlier step of recovery before the budget is raised by one step.
inline constexpr double kPaceRecoveryIntervalS = 10;
/// Share of the full budget by which each recovery step raises it.
inline constexpr double kPaceRecoveryStep = 0.05;
/// Calls waiting for budget in a queue before new ones are refused.
inline constexpr std::size_t kStateQueueMax = 512;
/// Share of the cloud's rate limit that is used: a former leader may still make calls.
inline constexpr double kCloudBudgetShare = 0.85;
/// Changes in a transaction that every state service accepts.
inline constexpr std::size_t kTxnOpsMin = 4;
/// Bytes up to which several units share one transaction (the state service accepts 64 KiB). A larger unit is
/// sent in a transaction of its own.
inline constexpr std::size_t kTxnBytesMax = std::size_t{56} * 1024;
/// Ledger items per page, so that pages are small compared with the 40 MB of memory that the process may
/// have.
inline constexpr std::size_t kStatePageItems = 200;
/// Bytes kept free below the state service's limit for a value: TxnWriter adds to each value a random mark
/// that identifies the write, and a cancellation adds its time to the record of a live job.
inline constexpr std::size_t kValueSlackBytes = 128;

/// Lower bound on every limit with one entry per machine, however little memory there is: the largest
/// fleet that is served.
inline constexpr std::size_t kMachineBoundMin = 4000;

/// @}

/// @name Metrics
/// @{

/// Lower end of the first bucket of a histogram.
inline constexpr double kHistogramMinS = 1e-4;
/// Upper end of the last bucket of a histogram.
inline constexpr double kHistogramMaxS = 1e3;
/// Number of buckets of a histogram, four per decade.
inline constexpr unsigned kHistogramBuckets = 28;

/// @}

}  // namespace robinford::constants
