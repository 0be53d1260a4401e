/// @file
/// Constants of durable writes.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Durable writes
/// @{

/// Transactions in flight, on disjoint keys, so that one slow answer does not block all writes.
inline constexpr std::size_t kTxnsInFlightMax = 3;
/// Units waiting before new ones are refused; low-priority ones may fill only a quarter of the queue. It
/// allows for the records of 4,000 machines at 2 KB each.
inline constexpr std::size_t kWriteUnitsMax = 1600;
/// Delay before a transaction that was rejected or not answered is sent again.
inline constexpr double kWriteRetryS = 0.2;

/// @}

}  // namespace robinford::constants
