/// @file
/// The properties of a machine that job specifications can require.
#pragma once

#include <compare>
#include <string>

#include "bookkeeping/machine_ledger.hpp"

namespace robinford::coordination {

/// A job specification allows either all machines of one kind or none of them (see `kind_allowed`).
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
