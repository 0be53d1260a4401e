/// @file
/// Detects zones that are cut off from this leader.
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Judges zones by the heartbeats of their machines, and by failed probes of machines that have sent this
/// leader none. A zone becomes unresponsive when most of its machines that should send heartbeats, and at
/// least `kZoneOutageMachinesMin`, do not. This verdict ends when one of its machines responds and too few
/// are silent to confirm it, or `kZoneOutageS` after it was last confirmed, for example because the silent
/// machines were given up. When most machines of all zones are silent, the fault is taken to be on this
/// controller's side, and no zone counts as unresponsive.
class ZoneHealth {
 public:
  /// `context` must outlive this object.
  explicit ZoneHealth(ControllerContext& context) : context_(context) {}

  /// Marks all zones as responsive, for a new term.
  void clear() { last_unresponsive_at_.clear(); }
  /// Judges all zones by the machines in the ledger. `serving_since_s`: steady time at which this leader
  /// began to serve; the time before it does not count as silence.
  void update(double serving_since_s);
  /// Whether the zone is unresponsive by the verdict of the last update.
  bool unresponsive(const std::string& zone) const { return last_unresponsive_at_.contains(zone); }

 private:
  struct MachineCounts {
    int responsive = 0;
    int silent = 0;
  };
  bool is_silent(const bookkeeping::Machine& machine, double serving_since_s) const;

  ControllerContext& context_;
  std::map<std::string, double> last_unresponsive_at_;  ///< by zone, steady time
};

}  // namespace robinford::coordination
