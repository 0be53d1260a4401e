/// @file
/// Which zones are cut off from this leader.
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Judges zones by the heartbeats of their machines. A zone is unresponsive when most of its machines that
/// should send heartbeats do not; it stays so until one of them does, or for `kZoneOutS` after the last of
/// them was given up. When hardly anything arrives from any zone, the fault is on this side and no zone
/// counts.
class ZoneHealth {
 public:
  /// `context` has to outlive it.
  explicit ZoneHealth(ControllerContext& context) : context_(context) {}

  /// Forgets all verdicts, for a new term.
  void clear() { last_unresponsive_at_.clear(); }
  /// Looks at all machines. `serving_since_s`: steady time since which this leader serves; before it, nobody
  /// could send it heartbeats.
  void update(double serving_since_s);
  /// The last update found the zone unresponsive.
  bool unresponsive(const std::string& zone) const { return last_unresponsive_at_.contains(zone); }

 private:
  struct Count {
    int responsive = 0;
    int silent = 0;
  };
  bool is_silent(const bookkeeping::Machine& machine, double serving_since_s) const;

  ControllerContext& context_;
  std::map<std::string, double> last_unresponsive_at_;  ///< zone -> steady time when that was last seen
};

}  // namespace robinford::coordination
