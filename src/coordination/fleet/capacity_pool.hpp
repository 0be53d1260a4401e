/// @file
/// The unit in which the cloud offers machines.
#pragma once

#include <string>

#include "coordination/scheduling/machine_kind.hpp"

namespace robinford::coordination {

/// Price and availability belong to a machine kind: machines of one type, in one zone, spot or ordinary.
using CapacityPool = MachineKind;

/// The pool as log lines name it, for example `g8 a spot`.
inline std::string to_text(const CapacityPool& pool) {
  return pool.type + " " + pool.zone + (pool.spot ? " spot" : "");
}

}  // namespace robinford::coordination
