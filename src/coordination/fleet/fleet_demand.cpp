// How many machines of which kind are wanted for the work that there is and the work that is expected.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "constants.hpp"
#include "coordination/fleet/fleet.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;

std::vector<Fleet::ForecastGroup> Fleet::forecast_fleet() {
  std::map<std::tuple<std::string, std::string, bool, double, double, double>, int> alike;
  const auto add = [&](const std::string& type, const std::string& zone, bool spot,
                       const Resources& resources, int count) {
    if (resources.cpus > 0)
      alike[{type, zone, spot, resources.cpus, resources.gpus, resources.memory_gb}] += count;
  };
  for (auto& [name, machine] : context_.machines.all())
    if (coming(machine) || takes_work(context_, machine))
      add(machine.type, machine.zone, machine.spot, free_resources(context_, machine), 1);
  for (const auto& provisioning : provisioning_requests_) {
    const auto& [type, zone, spot] = provisioning.pool;
    if (const auto found = context_.types.find(type); found != context_.types.end())
      add(type, zone, spot, {found->second.cpus, found->second.gpus, found->second.memory_gb},
          provisioning.count);
  }
  std::vector<ForecastGroup> fleet;
  for (const auto& [key, count] : alike) {
    const auto& [type, zone, spot, cpus, gpus, memory_gb] = key;
    fleet.push_back({type, zone, spot, {cpus, gpus, memory_gb}, count});
  }
  return fleet;
}

bool Fleet::pool_open(const CapacityPool& pool) const {
  const auto found = refused_until_.find(pool);
  return found == refused_until_.end() || context_.now.steady >= found->second;
}

std::optional<Fleet::CapacityPool> Fleet::cheapest(const JobSpec& spec,
                                                   const std::map<CapacityPool, int>& wanted,
                                                   const std::string& only_zone) const {
  std::optional<CapacityPool> best;
  bool best_out = false;
  double best_price = 0;
  int best_count = 0;
  for (const auto& [name, type] : context_.types) {
    const auto fit = Resources{type.cpus, type.gpus, type.memory_gb}.tasks_of(spec);
    if (fit == 0) continue;
    for (const auto& zone : type.zones) {
      if (!only_zone.empty() && zone != only_zone) continue;
      for (const bool spot : {false, true}) {
        const CapacityPool pool{name, zone, spot};
        if (!kind_allowed(spec, name, zone, spot) || !pool_open(pool)) continue;
        const double price = (spot ? type.spot_price : type.price) / fit;
        // A zone of which nothing is heard comes last: what boots there has nobody to send heartbeats to.
        const bool out = zones_out_.contains(zone);
        // Equal prices: the zone with the fewest machines, so that one zone's trouble does not take all.
        int count = 0;
        if (const auto found = wanted.find(pool); found != wanted.end()) count = found->second;
        if (const auto found = zone_machines_.find(zone); found != zone_machines_.end())
          count += found->second;
        if (best && std::tuple(out, price, count) >= std::tuple(best_out, best_price, best_count)) continue;
        best = pool;
        best_out = out;
        best_price = price;
        best_count = count;
      }
    }
  }
  return best;
}

void Fleet::demand_for_gangs(std::vector<ForecastGroup>& fleet, std::map<CapacityPool, int>& wanted) {
  std::map<std::string, double> team_cpus;
  for (const Job* job : scheduler_.waiting_gangs()) {
    const auto& spec = job->spec;
    const auto* team = context_.settings.team(spec.team);
    // A gang that fails on every machine must not make the fleet grow.
    if (team == nullptr || static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    double& used = team_cpus.try_emplace(spec.team, context_.quota.usage(spec.team).cpus).first->second;
    if (used + spec.cpus * spec.tasks > team->cpus_max) continue;
    used += spec.cpus * spec.tasks;
    std::uint32_t left = spec.tasks;
    // A one-zone gang is helped by capacity in one zone only: where most of it is there or coming.
    std::string zone;
    if (spec.one_zone) {
      std::map<std::string, std::uint32_t> slots;
      for (const auto& machine : fleet)
        if (kind_allowed(spec, machine.type, machine.zone, machine.spot))
          slots[machine.zone] += machine.count * machine.resources.tasks_of(spec);
      std::uint32_t most = 0;
      for (const auto& [name, count] : slots)
        if (count > most) zone = name, most = count;
      if (zone.empty())
        if (const auto pool = cheapest(spec, wanted, "")) zone = std::get<1>(*pool);
    }
    for (std::size_t i = 0; i < fleet.size() && left > 0; ++i) {
      if (!zone.empty() && fleet[i].zone != zone) continue;
      if (fleet[i].count == 0 || !kind_allowed(spec, fleet[i].type, fleet[i].zone, fleet[i].spot)) continue;
      const auto each = fleet[i].resources.tasks_of(spec);
      if (each == 0) continue;
      const int used = std::min<int>(fleet[i].count, static_cast<int>((left + each - 1) / each));
      const auto on_last = std::min(each, left - (used - 1) * each);
      fleet[i].count -= used;
      left -= (used - 1) * each + on_last;
      // Capacity that waiting gangs will take is none for arrays, also while it boots.
      gang_claim_ += ((used - 1) * each + on_last) * spec.cpus;
      // What the last of them has left; the others are taken as full.
      ForecastGroup rest = fleet[i];
      rest.count = 1;
      rest.resources.take(spec, on_last);
      if (rest.resources.cpus > 0) fleet.push_back(rest);
    }
    while (left > 0) {
      const auto pool = cheapest(spec, wanted, zone);
      if (!pool) break;
      const auto& type = context_.types.at(std::get<0>(*pool));
      ForecastGroup machine{
          type.name, std::get<1>(*pool), std::get<2>(*pool), {type.cpus, type.gpus, type.memory_gb}, 1};
      const auto take = std::min(left, machine.resources.tasks_of(spec));
      machine.resources.take(spec, take);
      left -= take;
      ++wanted[*pool];
      fleet.push_back(machine);
    }
  }
  // Machines for the gangs that will come while one boots: as many free ones are kept ready or on their way.
  const auto* typical = scheduler_.typical_gang();
  if (typical == nullptr) return;
  int ready = 0;
  for (const auto& machine : fleet)
    if (kind_allowed(*typical, machine.type, machine.zone, machine.spot) && machine.resources.fits(*typical))
      ready += machine.count;
  // Only as many as are nearly sure to be used: with few arrivals their number scatters too much.
  const double mean = spare_wanted();
  for (int left = static_cast<int>(std::floor(mean - std::sqrt(mean))) - ready; left > 0; --left) {
    const auto pool = cheapest(*typical, wanted, "");
    if (!pool) return;
    ++wanted[*pool];
  }
}

// One that is later than usual for its type is not waited for: another is provisioned for the work, and
// whichever is not needed in the end goes back.
bool Fleet::coming(const Machine& machine) const {
  if (const auto type = context_.types.find(machine.type);
      type != context_.types.end() &&
      context_.now.steady - machine.provisioned_at > context_.boots.late_after(type->second))
    return false;
  return machine.state == MachineState::kBooting && machine.provisioned_at > 0 && !machine.listed_failed &&
         !zones_out_.contains(machine.zone);
}

// What is left of a machine beside the gangs on it.
double Fleet::array_cores(const Machine& machine) { return std::max(0.0, machine.cpus - machine.gang_cpus); }

// A zone that is cut off: most of its machines that should be heard are not. It counts as such until one is
// heard again, or for a while after the last of them was given up. Should hardly anything be heard of any
// zone, the fault is ours, and none counts.
void Fleet::watch_zones() {
  const double now = context_.now.steady;
  const double patience = context_.settings.heartbeat_interval_s * c::kHeartbeatJitter + c::kRoundSlackS;
  struct Count {
    int fresh = 0, quiet = 0;
  };
  std::map<std::string, Count> zones;
  Count all;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone || !(machine.sent_heartbeat || machine.unreconciled)) continue;
    const bool quiet = now - std::max(machine.last_heartbeat, scheduler_.serving_since()) > patience ||
                       (!machine.sent_heartbeat && machine.probe_failures >= c::kProbesEnough);
    ++(quiet ? zones[machine.zone].quiet : zones[machine.zone].fresh);
    ++(quiet ? all.quiet : all.fresh);
  }
  if (all.fresh < all.quiet) {
    zones_out_.clear();
    return;
  }
  for (const auto& [zone, count] : zones) {
    if (count.quiet >= c::kZoneOutLeast && count.quiet > count.fresh) {
      if (!zones_out_.contains(zone)) spdlog::info("zone {} is unresponsive: provisioned in last", zone);
      zones_out_[zone] = now;
    } else if (count.fresh > 0 && zones_out_.erase(zone) > 0) {
      spdlog::info("zone {} responds again", zone);
    }
  }
  std::erase_if(zones_out_, [&](const auto& entry) { return now - entry.second > c::kZoneOutS; });
}

void Fleet::count_capacity() {
  watch_zones();
  zone_machines_.clear();
  have_ = gang_claim_ = 0;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state != MachineState::kGone) ++zone_machines_[machine.zone];
    if (coming(machine) || takes_work(context_, machine)) have_ += array_cores(machine);
  }
  for (const auto& provisioning : provisioning_requests_)
    if (const auto found = context_.types.find(std::get<0>(provisioning.pool)); found != context_.types.end())
      have_ += found->second.cpus * provisioning.count;
}

// The rate at which the arrays' work has to be done to be in time, team by team up to its limit.
double Fleet::array_cores_needed() const {
  const double boot = shortest_boot();
  std::map<std::string, double> teams;
  for (const auto& [id, job] : context_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    if (static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    const double run = std::max(1.0, scheduler_.run_times().expected(*job));
    // The last task should begin a run before the end, so the work has to be under way in what is left. What
    // has no capacity yet has to be under way in what is left once a machine provisioned for it is up. Work
    // that can't be in time any more has no end to meet: it takes what capacity there is, at the pace of its
    // lateness so far.
    const auto pace = [&](double cores, double left, double runs_before) {
      const double window = left > run ? std::max(run, left - runs_before * run) : c::kLateWindowRuns * run;
      return std::min(cores, cores * run / window);
    };
    const double left = scheduler_.time_left(*job);
    const double waiting = pace(job->unplaced() * job->spec.cpus, left - boot, c::kLastTasksRuns);
    const double spread = std::max(pace(job->remaining() * job->spec.cpus, left, 1), waiting);
    // Where all the time allowed is hardly longer than a boot, capacity that is in use now will be wanted
    // again before a new machine would be up: it counts in full.
    const double allowed =
        std::max(1.0, left + std::max(0.0, (context_.now.wall_ms - job->submitted_ms) / 1000.0));
    const double tight = std::min(1.0, c::kTightBoots * boot / allowed);
    teams[job->spec.team] += tight * (job->runs.size() * job->spec.cpus + waiting) + (1 - tight) * spread;
  }
  double needed = 0;
  for (const auto& [name, cores] : teams)
    if (const auto* team = context_.settings.team(name)) needed += std::min(cores, team->cpus_max);
  return needed;
}

// Core seconds of array work that is accepted and not done.
double Fleet::array_backlog() const {
  double work = 0;
  for (const auto& [id, job] : context_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    if (static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    work +=
        (job->unplaced() + 0.5 * job->runs.size()) * job->spec.cpus * scheduler_.run_times().expected(*job);
  }
  return work;
}

void Fleet::demand_for_arrays(std::map<CapacityPool, int>& wanted) {
  // The array with most unplaced work says which machines suit; with all placed, the one with most left.
  const Job* typical = nullptr;
  const auto weight = [](const Job& job) {
    return std::pair(job.unplaced() * job.spec.cpus, job.remaining() * job.spec.cpus);
  };
  for (const auto& [id, job] : context_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive || job->remaining() == 0) continue;
    if (typical == nullptr || weight(*job) > weight(*typical)) typical = job.get();
  }
  if (typical == nullptr) return;
  const auto first = cheapest(typical->spec, wanted, "");
  if (!first) return;
  // Capacity that costs far more than what is to be had does not count: the cheaper is provisioned, and then
  // the dearer is drained.
  const auto& [type, zone, spot] = *first;
  const auto& offered = context_.types.at(type);
  const double dear =
      overpriced_cores((spot ? offered.spot_price : offered.price) / offered.cpus * c::kOverpricedRatio);
  // Waiting gangs take the dear capacity first, as far as it goes.
  const double have = have_ - std::max(dear, gang_claim_);
  if (needed_ <= have) return;
  // A machine that is provisioned now helps only with what is left once it is up, and has to find work for at
  // least as long as it booted. The load of steady arrivals will be there then; a backlog may be gone.
  const double boot = std::max(1.0, offered.boot_s);
  const double left = array_backlog() - have * boot;
  double missing = std::max(std::min(needed_ - have, left / (boot * c::kWorthBoots)),
                            scheduler_.array_load(shortest_boot()) - have);
  while (missing > 0) {
    const auto pool = cheapest(typical->spec, wanted, "");
    if (!pool) return;
    const double cores = context_.types.at(std::get<0>(*pool)).cpus;
    if (missing < cores / 2 && have > 0) return;  // less than half a machine waits for capacity
    ++wanted[*pool];
    missing -= cores;
  }
}

// Array capacity on machines without a gang that cost more a core than that. Beside a gang it costs nothing
// more.
double Fleet::overpriced_cores(double price) const {
  double dear = 0;
  for (const auto& [name, machine] : context_.machines.all())
    if ((coming(machine) || takes_work(context_, machine)) && !scheduler_.has_gang(machine) &&
        price_per_core(machine) > price)
      dear += array_cores(machine);
  return dear;
}

}  // namespace robinford::coordination
