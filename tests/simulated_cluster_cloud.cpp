// The stand-in of the cloud, and questions about its machines.
#include <algorithm>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
using protocol::TaskId;
using protocol::TaskPhase;

void SimulatedCluster::machines(int count, const std::string& type, const std::string& zone, bool spot) {
  for (int i = 0; i < count; ++i) {
    char name[32];
    std::snprintf(name, sizeof name, "host-%06d", next_machine_++);
    Worker worker;
    worker.name = name;
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    worker.addr = "10.1.0." + std::to_string(next_machine_) + ":9000";
    worker.provisioned_at = now_;
    double boot = 0.5;
    for (const auto& known : options_.types)
      if (known.name == type && now_ > 0) boot = known.boot_s;
    if (now_ > 0 && failing_boots_ > 0 && failing_boots_-- > 0) boot = 1e6;
    worker.boots_at = now_ + boot;
    worker.node = static_cast<int>(random_() % nodes_.size());
    workers_[name] = worker;
    after(boot, [this, key = std::string(name)] { worker_step(workers_.at(key)); });
  }
}

std::pair<int, std::string> SimulatedCluster::cloud_call(const std::string& method, const std::string& target,
                                                         const std::string& body) {
  if (target == n::kPathCatalog) return {200, protocol::catalog_json(options_.types)};
  if (target == n::kPathReturn) {
    const auto names = protocol::parse_provisioned(body);
    for (const auto& name : *names) {
      const auto found = workers_.find(name);
      // With this injected violation nothing ends cancelled work, neither the return of its machine nor its
      // lease.
      if (found == workers_.end() || injected_violation_ == "never_stops") continue;
      clear_worker(found->second);
      found->second.gone = true;
    }
    return {200, "{}"};
  }
  if (method == "POST") {
    const auto request = json::parse(body).as_object();
    const std::string key(request.at(n::kRequest).as_string()), type(request.at(n::kType).as_string()),
        zone(request.at(n::kZone).as_string());
    if (const auto was = provisioning_requests_.find(key); was != provisioning_requests_.end())
      return {200, was->second};
    const bool spot = request.at(n::kSpot).as_bool();
    int used = 0;
    for (const auto& [name, worker] : workers_)
      if (!worker.gone && worker.type == type && worker.zone == zone && worker.spot == spot) ++used;
    const auto of_zone = options_.capacity_of_zone.find(zone);
    const int capacity = of_zone == options_.capacity_of_zone.end() ? options_.capacity : of_zone->second;
    const int count =
        std::min<int>(capacity - used, static_cast<int>(request.at(n::kCount).to_number<int>()));
    if (count <= 0) return {503, "{\"error\":\"no capacity\"}"};
    json::array hosts;
    const int first = next_machine_;
    machines(count, type, zone, spot);
    for (int i = first; i < next_machine_; ++i) {
      char name[32];
      std::snprintf(name, sizeof name, "host-%06d", i);
      hosts.emplace_back(name);
    }
    json::object answer;
    answer[n::kMachines] = hosts;
    return {200, provisioning_requests_[key] = json::serialize(answer)};
  }
  json::array list;
  for (const auto& [name, worker] : workers_) {
    if (worker.gone || now_ - worker.provisioned_at < options_.list_lag_s) continue;
    json::object entry;
    entry[n::kMachineName] = name;
    entry[n::kAddr] = worker.addr;
    entry[n::kType] = worker.type;
    entry[n::kZone] = worker.zone;
    entry[n::kSpot] = worker.spot;
    entry[n::kState] = now_ < worker.boots_at ? n::kBooting : "running";
    entry[n::kAgeS] = now_ - worker.provisioned_at;
    list.emplace_back(entry);
  }
  json::object answer;
  answer[n::kMachines] = list;
  answer[n::kMore] = false;
  return {200, json::serialize(answer)};
}

std::string SimulatedCluster::nth_machine(int index) const {
  int i = 0;
  for (const auto& [name, worker] : workers_)
    if (i++ == index) return name;
  return {};
}

std::string SimulatedCluster::machine_of(const TaskId& task) const {
  for (const auto& [name, worker] : workers_)
    if (const auto found = worker.tasks.find(task);
        !worker.gone && found != worker.tasks.end() && found->second.phase != TaskPhase::kExited)
      return name;
  return {};
}

int SimulatedCluster::spot_provisioned() const {
  return static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) { return entry.second.spot; }));
}

int SimulatedCluster::machines_up() const {
  return static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) { return !entry.second.gone; }));
}

}  // namespace robinford::simulation
