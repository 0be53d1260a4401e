#include "coordination/fleet/zone_health.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using bookkeeping::MachineState;

bool ZoneHealth::is_silent(const Machine& machine, double serving_since_s) const {
  const double silence_limit_s =
      context_.settings.heartbeat_interval_s * c::kHeartbeatJitterFactor + c::kHeartbeatRoundSlackS;
  if (context_.now.steady - std::max(machine.last_heartbeat, serving_since_s) > silence_limit_s) return true;
  return !machine.sent_heartbeat && machine.probe_failures >= c::kProbeFailureThreshold;
}

void ZoneHealth::update(double serving_since_s) {
  const double now = context_.now.steady;
  std::map<std::string, MachineCounts> zones;
  MachineCounts all;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone || !(machine.sent_heartbeat || machine.unreconciled)) continue;
    MachineCounts& zone = zones[machine.zone];
    const bool silent = is_silent(machine, serving_since_s);
    ++(silent ? zone.silent : zone.responsive);
    ++(silent ? all.silent : all.responsive);
  }
  if (all.responsive < all.silent) {
    last_unresponsive_at_.clear();
    return;
  }
  for (const auto& [zone, count] : zones) {
    if (count.silent >= c::kZoneOutageMachinesMin && count.silent > count.responsive) {
      if (!unresponsive(zone))
        spdlog::info("zone {} is unresponsive: machines are provisioned in other zones first", zone);
      last_unresponsive_at_[zone] = now;
    } else if (count.responsive > 0 && last_unresponsive_at_.erase(zone) > 0) {
      spdlog::info("zone {} responds again", zone);
    }
  }
  std::erase_if(last_unresponsive_at_,
                [&](const auto& entry) { return now - entry.second > c::kZoneOutageS; });
}

}  // namespace robinford::coordination
