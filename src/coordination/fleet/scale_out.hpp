/// @file
/// Computes how many machines of each pool to add for waiting and expected work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/fleet/capacity_pool.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/zone_health.hpp"
#include "coordination/scheduling/eligibility.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Plans scale-out once per review of the fleet. It makes no cloud calls and changes no machine.
///
/// Gangs are bin-packed, under their zone rules, into the free capacity of machines that are up, booting or
/// requested and that they may use; machines are missing for the tasks that do not fit. A gang that cannot
/// get all the machines that it needs at present takes no part (`bookkeeping::CapacityOutlook`). The need of
/// arrays is a number of cores: enough for all of them to finish in time, capped at each team's limit, or the
/// cores that recent arrivals need on average if those are more. It rises at once and falls slowly, so that a
/// short lull does not return machines that would soon have to boot again.
class ScaleOut {
 public:
  /// The arguments must outlive this object.
  ScaleOut(ControllerContext& context, const Scheduler& scheduler, const CloudClient& cloud,
           const ZoneHealth& zones);

  /// Computes the machines to provision now, and the outlook of each waiting gang.
  PoolCounts plan();
  /// Machines on which waiting gangs will run by the last plan. So many idle ones are not to be returned.
  const PoolCounts& kept_for_waiting_gangs() const { return kept_for_waiting_gangs_; }
  /// Cores that arrays need, as of the last plan.
  double array_cores_needed() const { return needed_cores_; }
  /// Logs the figures of the last plan at debug level.
  void log_figures() const;

 private:
  /// Machines that are up, expected, requested or planned for gangs, with equal pool and free capacity. They
  /// are counted as a group, so that the cost of planning does not grow with the number of machines.
  struct ForecastGroup {
    CapacityPool pool;
    Resources free;
    int count = 0;
    std::string machine;  ///< the only machine of the group, if a waiting gang is excluded from it
  };
  /// A waiting gang, with the machines that it must not use.
  struct GangDemand {
    const protocol::JobSpec& spec;
    std::set<std::string> excluded;
  };
  /// The forecast fleet of one plan, and the machines to provision. Those planned for gangs are in both.
  struct Plan {
    std::vector<ForecastGroup> fleet;
    PoolCounts present;  ///< machines that are up, expected or requested
    PoolCounts missing;
  };

  void count_capacity();
  void update_needed_cores();
  Plan forecast(const std::set<std::string>& singled_out) const;
  bool is_expected_up(const bookkeeping::Machine& machine) const;
  bool is_up_or_expected(const bookkeeping::Machine& machine) const;

  std::map<bookkeeping::Job*, std::set<std::string>> exclusions_of_waiting_gangs();
  void plan_gangs(Plan& plan, const std::map<bookkeeping::Job*, std::set<std::string>>& exclusions);
  bookkeeping::CapacityOutlook outlook_of(const GangDemand& gang, const Plan& plan) const;
  SlotsByZone slots_on_present_machines(const GangDemand& gang, const Plan& plan) const;
  void plan_gang(const GangDemand& gang, Plan& plan);
  std::string zone_for(const GangDemand& gang, const Plan& plan) const;
  std::uint32_t pack_into_forecast(const GangDemand& gang, ZoneAllowance& zones, Plan& plan);
  void add_missing_for(const protocol::JobSpec& spec, ZoneAllowance& zones, std::uint32_t tasks,
                       Plan& plan) const;
  void plan_spare_machines(Plan& plan) const;

  void plan_arrays(Plan& plan) const;
  const bookkeeping::Job* typical_array() const;
  double cores_to_finish_in_time(const bookkeeping::Job& job, double boot_s) const;
  double cores_for_due_times() const;
  double backlog_core_s() const;
  double overpriced_cores(double price_per_core_limit) const;

  std::optional<CapacityPool> cheapest_pool(const protocol::JobSpec& spec, const PoolCounts& missing,
                                            const ZoneAllowance& zones) const;
  std::optional<CapacityPool> cheapest_pool(const protocol::JobSpec& spec, const PoolCounts& missing) const;

  ControllerContext& context_;
  const Scheduler& scheduler_;
  const CloudClient& cloud_;
  const ZoneHealth& zones_;
  double needed_cores_ = 0;
  double needed_updated_at_ = 0;     ///< steady time of the last update; 0: none yet
  double array_capacity_cores_ = 0;  ///< cores for arrays on machines up, expected or requested; last plan
  double gang_claimed_cores_ = 0;    ///< part of `array_capacity_cores_` that waiting gangs will take
  std::map<std::string, int> machines_by_zone_;
  PoolCounts kept_for_waiting_gangs_;
};

}  // namespace robinford::coordination
