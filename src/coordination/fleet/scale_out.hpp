/// @file
/// How many machines of which pool are missing for the work that waits and the work that is expected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/fleet/capacity_pool.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/zone_health.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Machines to provision, by pool.
using PoolCounts = std::map<CapacityPool, int>;

/// Plans scale-out, once for each review of the fleet. It asks nothing of the cloud and changes no machine.
///
/// Gangs are bin-packed into the free capacity that is there, booting or requested; what does not fit is
/// missing. Arrays need a rate of work: the cores with which all of them are in time, team by team up to its
/// limit. That need rises at once and falls slowly, since a short lull must not cost boots.
class ScaleOut {
 public:
  /// The arguments have to outlive it.
  ScaleOut(ControllerContext& context, const Scheduler& scheduler, const CloudClient& cloud,
           const ZoneHealth& zones);

  /// What is missing now.
  PoolCounts plan();
  /// Cores that arrays need, as of the last plan.
  double array_cores_needed() const { return needed_cores_; }
  /// A line for the debug log with the figures of the last plan.
  void log_figures() const;

 private:
  /// Machines alike in pool and free capacity, there or coming: counted together, so that thousands cost no
  /// more than a few.
  struct ForecastGroup {
    CapacityPool pool;
    Resources free;
    int count = 0;
  };
  /// The forecast of one plan, and what it lacks.
  struct Plan {
    std::vector<ForecastGroup> fleet;
    PoolCounts missing;
  };

  void count_capacity();
  void update_needed_cores();
  std::vector<ForecastGroup> forecast_fleet() const;
  bool is_expected_up(const bookkeeping::Machine& machine) const;
  bool is_usable(const bookkeeping::Machine& machine) const;

  void plan_gangs(Plan& plan);
  void plan_gang(const protocol::JobSpec& spec, Plan& plan);
  std::string zone_for(const protocol::JobSpec& spec, const Plan& plan) const;
  std::uint32_t pack_into_forecast(const protocol::JobSpec& spec, const std::string& only_zone, Plan& plan);
  void add_missing_for(const protocol::JobSpec& spec, const std::string& only_zone, std::uint32_t tasks,
                       Plan& plan) const;
  void plan_spare_machines(Plan& plan) const;

  void plan_arrays(Plan& plan) const;
  const bookkeeping::Job* typical_array() const;
  double cores_to_finish_in_time(const bookkeeping::Job& job, double boot_s) const;
  double cores_for_due_times() const;
  double backlog_core_s() const;
  double overpriced_cores(double price_per_core_limit) const;

  std::optional<CapacityPool> cheapest_pool(const protocol::JobSpec& spec, const PoolCounts& missing,
                                            const std::string& only_zone) const;

  ControllerContext& context_;
  const Scheduler& scheduler_;
  const CloudClient& cloud_;
  const ZoneHealth& zones_;
  double needed_cores_ = 0;
  double needed_updated_at_ = 0;     ///< steady time of the last update; 0: none yet
  double array_capacity_cores_ = 0;  ///< cores for arrays, there or coming, as of the last plan
  double gang_claimed_cores_ = 0;    ///< of them, what waiting gangs will take
  std::map<std::string, int> machines_by_zone_;
};

}  // namespace robinford::coordination
