/// @file
/// Constants of several layers: clocks, budgets of outside services, metrics.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Clocks and amounts
/// @{

/// Unit: ratio. The protocol's bound on steady clocks (0.05%).
inline constexpr double kClockDrift = 0.0005;
/// Unit: s. How often timers of the controller are looked at.
inline constexpr double kTickIntervalS = 0.05;
/// Unit: s. Scheduling delay added to every computed lease bound.
inline constexpr double kLeaseMarginS = 0.25;
/// Amounts are decimal numbers.
inline constexpr double kAmountRounding = 1e-6;

/// @}

/// @name Budgets
/// @{

/// Share of the state service's limits that the leader uses.
inline constexpr double kLeaderBudgetShare = 0.70;
/// Share that all other controllers use together.
inline constexpr double kMemberBudgetShare = 0.24;
/// Factor on the own budget after a 429 of the key-value store.
inline constexpr double kPaceReductionFactor = 0.8;
/// Seconds between two such reductions.
inline constexpr double kPaceReductionIntervalS = 1.0;
/// Least share of the own budget, however many 429 answers come.
inline constexpr double kPaceMin = 0.25;
/// Seconds without a 429 before the budget grows again.
inline constexpr double kPaceRecoveryIntervalS = 10;
/// Share of itself by which the budget grows in each step of recovery.
inline constexpr double kPaceRecoveryStep = 0.05;
/// Calls waiting for budget before new ones are refused.
inline constexpr std::size_t kStateQueueMax = 512;
/// Share of the cloud's limit: a former leader may still call.
inline constexpr double kCloudBudgetShare = 0.85;
/// Changes in a transaction that every state service takes.
inline constexpr std::size_t kTxnOpsMin = 4;
/// Bytes in one transaction (the service takes 64 KiB).
inline constexpr std::size_t kTxnBytesMax = std::size_t{56} * 1024;
/// Ledger items a page: pages stay small beside 40 MB.
inline constexpr std::size_t kStatePageItems = 200;
/// Bytes kept free below the service's limit for a value: the writer's mark, the mark of a cancellation.
inline constexpr std::size_t kValueSlackBytes = 128;

/// Machines that every bound on their heartbeats leaves room for, however little memory there is.
inline constexpr std::size_t kMachineBoundMin = 4000;

/// @}

/// @name Metrics
/// @{

/// Unit: s. First bucket's lower end.
inline constexpr double kHistogramMinS = 1e-4;
/// Unit: s. Last bucket's upper end.
inline constexpr double kHistogramMaxS = 1e3;
/// Four a decade.
inline constexpr unsigned kHistogramBuckets = 28;

/// @}

}  // namespace robinford::constants
