/// @file
/// Identifies a unit of durable writes.
#pragma once

#include <cstdint>

namespace robinford::bookkeeping {

/// Identifies a unit within one TxnWriter; never reused. 0: no unit.
using WriteId = std::uint64_t;

}  // namespace robinford::bookkeeping
