/// @file
/// The properties of a machine that job specifications can require.
#pragma once

#include <compare>
#include <string>

#include "bookkeeping/machine_ledger.hpp"

namespace robinford::coordination {

/// Machines of one kind are interchangeable for every job: `kind_allowed` accepts all of them or none.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
  auto operator<=>(const MachineKind&) const = default;
};

inline MachineKind kind_of(const bookkeeping::Machine& machine) {
  return {machine.type, machine.zone, machine.spot};
}

}  // namespace robinford::coordination
