// The fleet: what to provision, what to give back, and the cloud's own word about its machines.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

class Fleet {
 public:
  Fleet(ControllerContext& context, Election& election, Scheduler& scheduler);
  void begin();
  void end();
  void tick();

 private:
  using CapacityPool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
  // Machines alike in kind and free capacity, there or coming: counted together, so that thousands cost no
  // more than a few.
  struct ForecastGroup {
    std::string type, zone;
    bool spot = false;
    Resources resources;
    int count = 0;
  };
  void cloud(const std::string& method, const std::string& target, std::string body,
             bookkeeping::Answered answered);
  void read_catalog();
  void read_list(const std::string& after);
  void take_list(const protocol::MachineList& list);
  void publish_catalog();
  void review();
  std::vector<ForecastGroup> forecast_fleet();
  void demand_for_gangs(std::vector<ForecastGroup>& fleet, std::map<CapacityPool, int>& wanted);
  void demand_for_arrays(std::map<CapacityPool, int>& wanted);
  double overpriced_cores(double price) const;
  double array_cores_needed() const;
  double array_backlog() const;
  static double array_cores(const bookkeeping::Machine& machine);
  void watch_zones();
  void count_capacity();
  bool coming(const bookkeeping::Machine& machine) const;
  double price_per_core(const bookkeeping::Machine& machine) const;
  bool pool_open(const CapacityPool& pool) const;
  // The cheapest open capacity pool for tasks like this one, price for each task that fits.
  std::optional<CapacityPool> cheapest(const protocol::JobSpec& spec,
                                       const std::map<CapacityPool, int>& wanted,
                                       const std::string& only_zone) const;
  void provision(const CapacityPool& pool, int count);
  void drain_surplus();
  void give_back();
  void return_machines(const std::function<bool(const bookkeeping::Machine&)>& which);
  bool empty(const bookkeeping::Machine& machine) const;
  int spare_wanted() const;
  double shortest_boot() const;

  ControllerContext& context_;
  Election& election_;
  Scheduler& scheduler_;
  bookkeeping::TokenBucket budget_;
  std::uint64_t generation_ = 0;
  double needed_ = 0, needed_at_ = 0;         // array cores, quick to rise and slow to fall
  std::map<std::string, double> zones_out_;   // cut off, and when that was last seen
  std::map<std::string, int> zone_machines_;  // as of the present review
  double have_ = 0;                           // cores for arrays, there or coming, as of the present review
  double gang_claim_ = 0;                     // of them, what waiting gangs will take
  double next_log_ = 0, next_return_ = 0, next_review_ = 0, next_catalog_ = 0, next_list_ = 0;
  bool catalog_open_ = false, list_open_ = false, returning_ = false, published_ = false;
  std::uint64_t request_counter_ = 0;
  struct ProvisioningRequest {
    std::string request;
    CapacityPool pool;
    int count = 0;
    bool open = false;
    double next_try = 0;
  };
  std::vector<ProvisioningRequest> provisioning_requests_;
  std::map<CapacityPool, double> refused_until_;
};

}  // namespace robinford::coordination
