/// @file
/// The unit in which the cloud offers machines.
#pragma once

#include <compare>
#include <string>

namespace robinford::coordination {

/// Machines of one type, in one zone, either spot or ordinary. Price and availability belong to a pool.
struct CapacityPool {
  std::string type;
  std::string zone;
  bool spot = false;
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
  auto operator<=>(const CapacityPool&) const = default;
};

/// The pool as log lines name it, for example `g8 a spot`.
inline std::string to_text(const CapacityPool& pool) {
  return pool.type + " " + pool.zone + (pool.spot ? " spot" : "");
}

}  // namespace robinford::coordination
