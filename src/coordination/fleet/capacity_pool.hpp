/// @file
/// The unit in which the cloud offers machines.
#pragma once

#include <map>
#include <string>

#include "coordination/scheduling/machine_kind.hpp"

namespace robinford::coordination {

/// The cloud sets price and availability per machine kind: one type in one zone, spot or on-demand.
using CapacityPool = MachineKind;

/// Numbers of machines by pool.
using PoolCounts = std::map<CapacityPool, int>;

/// Name of the pool in log lines, for example `g8 a spot`.
inline std::string to_text(const CapacityPool& pool) {
  return pool.type + " " + pool.zone + (pool.spot ? " spot" : "");
}

}  // namespace robinford::coordination
