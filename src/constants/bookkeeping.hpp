/// @file
/// Constants of durable writes.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Durable writes
/// @{

/// Transactions at once, on keys apart: one slow answer must not stop all.
inline constexpr std::size_t kTxnsInFlightMax = 3;
/// Units waiting before new ones are refused; what only tidies up gets a quarter: the records of 4,000
/// machines at 2 KB each.
inline constexpr std::size_t kWriteUnitsMax = 1600;
/// Seconds after a refusal or a missing answer.
inline constexpr double kWriteRetryS = 0.2;

/// @}

}  // namespace robinford::constants
