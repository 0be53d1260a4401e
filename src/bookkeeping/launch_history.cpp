/// @file
/// Implements LaunchHistory.
#include "bookkeeping/launch_history.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::bookkeeping {
namespace c = constants;

std::uint32_t LaunchHistory::record_launch(std::uint32_t task, double now) {
  Row& row = rows_[task];
  if (now - row.last_launch_at > c::kLaunchRowGapS) row.launches = 0;
  row.last_launch_at = now;
  return ++row.launches;
}

double LaunchHistory::next_launch_at(std::uint32_t task) const {
  const auto found = rows_.find(task);
  if (found == rows_.end() || found->second.launches < c::kLaunchesWithoutBackoff) return 0;
  const double doublings = found->second.launches - c::kLaunchesWithoutBackoff;
  const double pause_s = std::min(c::kRelaunchBackoffMaxS, c::kRelaunchBackoffS * std::exp2(doublings));
  return found->second.last_launch_at + pause_s;
}

}  // namespace robinford::bookkeeping
