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
/// Units waiting in the writer's queue at which it refuses each further unit; background units are refused
/// from a quarter of this length on. The quarter has room for the records of a fleet of 4,000 machines, in
/// records of 2 KB that list several machines each.
inline constexpr std::size_t kWriteUnitsMax = 1600;
/// Time for which the writer sends nothing after a transaction was answered with 429 or 503 or its outcome is
/// unknown. The transaction is then sent again.
inline constexpr double kWriteRetryS = 0.2;

/// @}

}  // namespace robinford::constants
