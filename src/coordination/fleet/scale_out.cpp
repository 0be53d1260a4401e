#include "coordination/fleet/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "constants.hpp"
#include "coordination/fleet/fleet_figures.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::CapacityOutlook;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;
using protocol::MachineType;

namespace {

Resources resources_of(const MachineType& type) { return {type.cpus, type.gpus, type.memory_gb}; }

// Whether the job failed on so many machines that the fault is probably its own. Such a job is no reason to
// add machines.
bool fails_everywhere(const Job& job) {
  return static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines;
}

bool is_active_array(const Job& job) { return !job.spec.gang && job.state == JobState::kActive; }

bool allows(const JobSpec& spec, const CapacityPool& pool) {
  return kind_allowed(spec, pool.type, pool.zone, pool.spot);
}

}  // namespace

ScaleOut::ScaleOut(ControllerContext& context, const Scheduler& scheduler, const CloudClient& cloud,
                   const ZoneHealth& zones)
    : context_(context), scheduler_(scheduler), cloud_(cloud), zones_(zones) {}

PoolCounts ScaleOut::plan() {
  count_capacity();
  update_needed_cores();
  const auto exclusions = exclusions_of_waiting_gangs();
  std::set<std::string> singled_out;
  for (const auto& [job, machines] : exclusions) singled_out.insert(machines.begin(), machines.end());
  Plan plan = forecast(singled_out);
  plan_gangs(plan, exclusions);
  plan_spare_machines(plan);
  plan_arrays(plan);
  return plan.missing;
}

void ScaleOut::log_figures() const {
  spdlog::debug(
      "fleet: {} gangs wait and claim {:.0f} cores, arrays have {:.0f} and need {:.0f} (due times {:.0f}, "
      "arrivals {:.0f}), "
      "backlog {:.0f} core seconds, {} spare machines for gangs",
      scheduler_.waiting_gangs().size(), gang_claimed_cores_, array_capacity_cores_, needed_cores_,
      cores_for_due_times(), scheduler_.array_load(shortest_boot_s(context_)), backlog_core_s(),
      spare_gang_machines(context_, scheduler_));
}

// ---------------------------------------------------------------- capacity

void ScaleOut::count_capacity() {
  machines_by_zone_.clear();
  array_capacity_cores_ = 0;
  gang_claimed_cores_ = 0;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state != MachineState::kGone) ++machines_by_zone_[machine.zone];
    if (is_up_or_expected(machine)) array_capacity_cores_ += array_cores(machine);
  }
  for (const auto& request : cloud_.requests()) {
    const auto type = context_.types.find(request.pool.type);
    if (type != context_.types.end()) array_capacity_cores_ += type->second.cpus * request.count;
  }
}

void ScaleOut::update_needed_cores() {
  const double now = context_.now.steady;
  const double needed = std::max(cores_for_due_times(), scheduler_.array_load(shortest_boot_s(context_)));
  const double kept_share =
      needed_updated_at_ > 0 ? std::exp(-(now - needed_updated_at_) / c::kNeedDecayS) : 0;
  needed_cores_ = std::max(needed, needed + (needed_cores_ - needed) * kept_share);
  // The decaying need never quite reaches the new value; without this cutoff its remainder would keep the
  // last machine forever.
  if (needed_cores_ < needed + c::kNeedNegligibleCores) needed_cores_ = needed;
  needed_updated_at_ = now;
}

// Groups the machines of the forecast fleet. Each machine of `singled_out` forms a group of its own.
ScaleOut::Plan ScaleOut::forecast(const std::set<std::string>& singled_out) const {
  Plan plan;
  std::map<std::tuple<CapacityPool, double, double, double>, int> alike;
  const auto add = [&](const CapacityPool& pool, const Resources& free, int count) {
    plan.present[pool] += count;
    if (free.cpus > 0) alike[{pool, free.cpus, free.gpus, free.memory_gb}] += count;
  };
  for (auto& [name, machine] : context_.machines.all()) {
    if (!is_up_or_expected(machine)) continue;
    const Resources& free = available_resources(context_, machine);
    if (!singled_out.contains(name)) {
      add(kind_of(machine), free, 1);
      continue;
    }
    ++plan.present[kind_of(machine)];
    plan.fleet.push_back({kind_of(machine), free, 1, name});
  }
  for (const auto& request : cloud_.requests()) {
    const auto type = context_.types.find(request.pool.type);
    if (type != context_.types.end()) add(request.pool, resources_of(type->second), request.count);
  }
  for (const auto& [key, count] : alike) {
    const auto& [pool, cpus, gpus, memory_gb] = key;
    plan.fleet.push_back({pool, {cpus, gpus, memory_gb}, count, {}});
  }
  return plan;
}

// Whether the machine is booting and can still be counted on. A machine whose boot is late for its type does
// not count: a replacement is provisioned, and whichever of the two is not needed in the end is returned.
bool ScaleOut::is_expected_up(const Machine& machine) const {
  const auto type = context_.types.find(machine.type);
  if (type != context_.types.end() &&
      context_.now.steady - machine.provisioned_at > context_.boots.late_after_s(type->second))
    return false;
  return machine.state == MachineState::kBooting && machine.provisioned_at > 0 && !machine.listed_failed &&
         !zones_.unresponsive(machine.zone);
}

bool ScaleOut::is_up_or_expected(const Machine& machine) const {
  return is_expected_up(machine) || takes_work(context_, machine);
}

// ---------------------------------------------------------------- gangs

std::map<Job*, std::set<std::string>> ScaleOut::exclusions_of_waiting_gangs() {
  std::map<Job*, std::set<std::string>> exclusions;
  for (Job* job : scheduler_.waiting_gangs())
    if (auto machines = excluded_machines(context_, *job); !machines.empty())
      exclusions.emplace(job, std::move(machines));
  return exclusions;
}

void ScaleOut::plan_gangs(Plan& plan, const std::map<Job*, std::set<std::string>>& exclusions) {
  kept_for_waiting_gangs_.clear();
  std::map<std::string, double> used_by_team;
  for (Job* job : scheduler_.waiting_gangs()) {
    const JobSpec& spec = job->spec;
    const auto excluded = exclusions.find(job);
    const GangDemand gang{spec, excluded == exclusions.end() ? std::set<std::string>() : excluded->second};
    job->outlook = outlook_of(gang, plan);
    const auto* team = context_.settings.team(spec.team);
    if (team == nullptr || fails_everywhere(*job) || job->outlook != CapacityOutlook::kPossible) continue;
    const auto entry = used_by_team.try_emplace(spec.team, context_.quota.usage(spec.team).cpus).first;
    double& used = entry->second;
    if (used + spec.cpus * spec.tasks > team->cpus_max) continue;
    used += spec.cpus * spec.tasks;
    plan_gang(gang, plan);
  }
}

// Slots for the gang on the machines of the forecast fleet once no other work is on them.
SlotsByZone ScaleOut::slots_on_present_machines(const GangDemand& gang, const Plan& plan) const {
  PoolCounts usable = plan.present;
  for (const auto& name : gang.excluded) {
    const Machine* machine = context_.machines.find(name);
    if (machine == nullptr || !is_up_or_expected(*machine)) continue;
    --usable[kind_of(*machine)];
  }
  SlotsByZone slots;
  for (const auto& [pool, count] : usable) {
    const auto type = context_.types.find(pool.type);
    if (count <= 0 || type == context_.types.end() || !allows(gang.spec, pool)) continue;
    slots[pool.zone] += count * task_slots(context_.policy, gang.spec, resources_of(type->second));
  }
  return slots;
}

// Whether the gang could run once other work has ended, with further machines as far as the cloud may provide
// them.
CapacityOutlook ScaleOut::outlook_of(const GangDemand& gang, const Plan& plan) const {
  const JobSpec& spec = gang.spec;
  SlotsByZone now = slots_on_present_machines(gang, plan);
  SlotsByZone ever = now;
  const auto offer = [&](const CapacityPool& pool) {
    if (!allows(spec, pool)) return;
    ever[pool.zone] = spec.tasks;
    if (cloud_.may_have_capacity(pool)) now[pool.zone] = spec.tasks;
  };
  for (const auto& [name, type] : context_.types) {
    if (resources_of(type).tasks_that_fit(spec) == 0) continue;
    for (const auto& zone : type.zones) {
      offer({name, zone, false});
      offer({name, zone, true});
    }
  }
  if (placeable_tasks(spec, now) >= spec.tasks) return CapacityOutlook::kPossible;
  return placeable_tasks(spec, ever) >= spec.tasks ? CapacityOutlook::kRefused : CapacityOutlook::kImpossible;
}

void ScaleOut::plan_gang(const GangDemand& gang, Plan& plan) {
  ZoneAllowance zones(gang.spec, gang.spec.one_zone ? zone_for(gang, plan) : std::string());
  const std::uint32_t left = pack_into_forecast(gang, zones, plan);
  add_missing_for(gang.spec, zones, left, plan);
}

// Chooses the zone for a gang that must run in one zone: the zone whose machines in the forecast have room
// for the most tasks of the gang among those in which the others can run, too, or, if none has room, the zone
// of the cheapest pool.
std::string ScaleOut::zone_for(const GangDemand& gang, const Plan& plan) const {
  SlotsByZone slots;
  for (const auto& group : plan.fleet)
    if (allows(gang.spec, group.pool) && !gang.excluded.contains(group.machine))
      slots[group.pool.zone] += group.count * task_slots(context_.policy, gang.spec, group.free);
  SlotsByZone sufficient = slots;
  std::erase_if(sufficient, [&](const auto& zone) {
    return zone.second < gang.spec.tasks &&
           !cheapest_pool(gang.spec, plan.missing, ZoneAllowance(gang.spec, zone.first));
  });
  if (auto zone = zone_with_most_slots(sufficient); !zone.empty()) return zone;
  if (const auto pool = cheapest_pool(gang.spec, plan.missing)) return pool->zone;
  return zone_with_most_slots(slots);
}

// Removes the capacity that the gang will use from the forecast. Returns the tasks that did not fit.
std::uint32_t ScaleOut::pack_into_forecast(const GangDemand& gang, ZoneAllowance& zones, Plan& plan) {
  const JobSpec& spec = gang.spec;
  std::uint32_t left = spec.tasks;
  // Partly used machines are appended as groups of one; the loop visits these too.
  for (std::size_t i = 0; i < plan.fleet.size() && left > 0; ++i) {
    ForecastGroup& group = plan.fleet[i];
    if (group.count == 0 || !allows(spec, group.pool)) continue;
    if (!group.machine.empty() && gang.excluded.contains(group.machine)) continue;
    const std::uint32_t tasks_each = task_slots(context_.policy, spec, group.free);
    const std::uint32_t wanted = std::min(left, zones.left(group.pool.zone));
    if (tasks_each == 0 || wanted == 0) continue;
    const int machines = std::min<int>(group.count, static_cast<int>((wanted + tasks_each - 1) / tasks_each));
    const std::uint32_t on_full = (machines - 1) * tasks_each;
    const std::uint32_t on_last = std::min(tasks_each, wanted - on_full);
    group.count -= machines;
    left -= on_full + on_last;
    zones.take(group.pool.zone, on_full + on_last);
    kept_for_waiting_gangs_[group.pool] += machines;
    // Cores that a waiting gang will take are not available to arrays, even while the machine still boots.
    gang_claimed_cores_ += (on_full + on_last) * spec.cpus;
    ForecastGroup rest_of_last = group;
    rest_of_last.count = 1;
    rest_of_last.free.take(spec, on_last);
    if (rest_of_last.free.cpus > 0) plan.fleet.push_back(rest_of_last);
  }
  return left;
}

void ScaleOut::add_missing_for(const JobSpec& spec, ZoneAllowance& zones, std::uint32_t tasks,
                               Plan& plan) const {
  for (std::uint32_t left = tasks; left > 0;) {
    const auto pool = cheapest_pool(spec, plan.missing, zones);
    if (!pool) return;
    ForecastGroup machine{*pool, resources_of(context_.types.at(pool->type)), 1, {}};
    const std::uint32_t taken =
        std::min({left, task_slots(context_.policy, spec, machine.free), zones.left(pool->zone)});
    machine.free.take(spec, taken);
    zones.take(pool->zone, taken);
    left -= taken;
    ++plan.missing[*pool];
    plan.fleet.push_back(machine);
  }
}

// Plans spare machines for the gangs that are expected to arrive while a machine boots. Machines of the
// forecast with room for a task of the typical gang count as spare.
void ScaleOut::plan_spare_machines(Plan& plan) const {
  const JobSpec* typical = scheduler_.typical_gang();
  if (typical == nullptr) return;
  int ready = 0;
  for (const auto& group : plan.fleet)
    if (allows(*typical, group.pool) && group.free.fits(*typical)) ready += group.count;
  // One standard deviation is subtracted from the mean (also from a number that the policy sets), so that the
  // spare machines are nearly sure to be used. With few arrivals, their number varies too much to keep any.
  const double mean = spare_gang_machines(context_, scheduler_);
  const int wanted = static_cast<int>(std::floor(mean - std::sqrt(mean)));
  for (int left = wanted - ready; left > 0; --left) {
    const auto pool = cheapest_pool(*typical, plan.missing);
    if (!pool) return;
    ++plan.missing[*pool];
  }
}

// ---------------------------------------------------------------- arrays

// The array whose needs decide which pool suits: the one whose unplaced tasks need the most cores; among
// equals, such as when all tasks are placed, the one whose remaining tasks need the most.
const Job* ScaleOut::typical_array() const {
  const Job* typical = nullptr;
  const auto weight = [](const Job& job) {
    return std::tuple(job.unplaced() * job.spec.cpus, job.remaining() * job.spec.cpus);
  };
  for (const auto& [id, job] : context_.jobs.all()) {
    if (!is_active_array(*job) || job->remaining() == 0) continue;
    if (typical == nullptr || weight(*job) > weight(*typical)) typical = job.get();
  }
  return typical;
}

void ScaleOut::plan_arrays(Plan& plan) const {
  const Job* typical = typical_array();
  if (typical == nullptr) return;
  const auto first = cheapest_pool(typical->spec, plan.missing);
  if (!first) return;
  const MachineType& offered = context_.types.at(first->type);
  const double offered_price = first->spot ? offered.spot_price : offered.price;
  // Machines without a gang whose price per core exceeds kOverpricedRatio times that of the offered type do
  // not count as capacity, so that cheaper machines are provisioned before these are drained. Waiting gangs
  // are assumed to use the expensive machines first, so the larger of the two amounts is subtracted and not
  // their sum.
  const double overpriced = overpriced_cores(offered_price / offered.cpus * c::kOverpricedRatio);
  const double have = array_capacity_cores_ - std::max(overpriced, gang_claimed_cores_);
  if (needed_cores_ <= have) return;
  // A machine provisioned now can only do work that is left once it is up, and must then find work for at
  // least kProvisionWorthBoots boot times. Steady arrivals will still supply work by then, but a backlog may
  // be done.
  const double boot_s = std::max(1.0, offered.boot_s);
  const double backlog_after_boot = backlog_core_s() - have * boot_s;
  const double for_backlog =
      std::min(needed_cores_ - have, backlog_after_boot / (boot_s * c::kProvisionWorthBoots));
  const double for_arrivals = scheduler_.array_load(shortest_boot_s(context_)) - have;
  for (double left = std::max(for_backlog, for_arrivals); left > 0;) {
    const auto pool = cheapest_pool(typical->spec, plan.missing);
    if (!pool) return;
    const double cores = context_.types.at(pool->type).cpus;
    if (left < cores / 2 && have > 0) return;  // a shortage below half a machine is left to wait
    ++plan.missing[*pool];
    left -= cores;
  }
}

// Cores that the array needs in order to finish in time.
double ScaleOut::cores_to_finish_in_time(const Job& job, double boot_s) const {
  const double run_s = std::max(1.0, scheduler_.run_times().expected(job));
  // The last task should start one run time before the due time, so all tasks must be started in the window
  // before that. For tasks that have no capacity yet, the window begins only when a machine provisioned for
  // them is up, and ends kLastTasksRuns run times before the due time. Work that can no longer finish in time
  // is spread over kLateWindowRuns run times.
  const auto pace = [&](double cores, double left_s, double runs_before) {
    const double window_s =
        left_s > run_s ? std::max(run_s, left_s - runs_before * run_s) : c::kLateWindowRuns * run_s;
    return std::min(cores, cores * run_s / window_s);
  };
  const double left_s = scheduler_.time_left(job);
  const double waiting = pace(job.unplaced() * job.spec.cpus, left_s - boot_s, c::kLastTasksRuns);
  const double spread = std::max(pace(job.remaining() * job.spec.cpus, left_s, 1), waiting);
  // If the whole time allowed for the job is at most kTightBoots boot times, capacity that it uses now will
  // be needed again before a new machine could be up, so the cores in use count in full. The longer the time,
  // the less they weigh against the cores that suffice to spread the work over the time left.
  const double age_s = (context_.now.wall_ms - job.submitted_ms) / 1000.0;
  const double allowed_s = std::max(1.0, left_s + std::max(0.0, age_s));
  const double tight_share = std::min(1.0, c::kTightBoots * boot_s / allowed_s);
  return tight_share * (job.runs.size() * job.spec.cpus + waiting) + (1 - tight_share) * spread;
}

double ScaleOut::cores_for_due_times() const {
  const double boot_s = shortest_boot_s(context_);
  std::map<std::string, double> cores_by_team;
  for (const auto& [id, job] : context_.jobs.all()) {
    if (!is_active_array(*job) || fails_everywhere(*job)) continue;
    cores_by_team[job->spec.team] += cores_to_finish_in_time(*job, boot_s);
  }
  double needed = 0;
  for (const auto& [name, cores] : cores_by_team)
    if (const auto* team = context_.settings.team(name)) needed += std::min(cores, team->cpus_max);
  return needed;
}

// Expected core seconds of work left in active arrays, without arrays that fail everywhere. Half of each
// placed task counts as done.
double ScaleOut::backlog_core_s() const {
  double work = 0;
  for (const auto& [id, job] : context_.jobs.all()) {
    if (!is_active_array(*job) || fails_everywhere(*job)) continue;
    const double tasks = job->unplaced() + 0.5 * job->runs.size();
    work += tasks * job->spec.cpus * scheduler_.run_times().expected(*job);
  }
  return work;
}

// Cores for arrays on machines without a gang whose price per core exceeds the limit. Machines with a gang
// are left out, since they are paid for anyway and arrays beside the gang cost nothing more.
double ScaleOut::overpriced_cores(double price_per_core_limit) const {
  double cores = 0;
  for (const auto& [name, machine] : context_.machines.all())
    if (is_up_or_expected(machine) && !scheduler_.has_gang(machine) &&
        price_per_core(context_, machine) > price_per_core_limit)
      cores += array_cores(machine);
  return cores;
}

// ---------------------------------------------------------------- pools

// The pool with the lowest price per task, if each machine runs as many tasks as fit on it, among the pools
// that the job allows and that did not recently refuse a request. Unresponsive zones rank last, since
// machines that boot there can't reach this leader. At equal prices, the zone with the fewest machines is
// chosen, so that the loss of one zone does not take all machines.
std::optional<CapacityPool> ScaleOut::cheapest_pool(const JobSpec& spec, const PoolCounts& missing) const {
  return cheapest_pool(spec, missing, ZoneAllowance(spec));
}

// The same among the zones that may take a task.
std::optional<CapacityPool> ScaleOut::cheapest_pool(const JobSpec& spec, const PoolCounts& missing,
                                                    const ZoneAllowance& zones) const {
  std::optional<CapacityPool> best;
  std::tuple<bool, double, int> best_rank;
  const auto consider = [&](const CapacityPool& pool, double price) {
    if (!allows(spec, pool) || !cloud_.may_have_capacity(pool)) return;
    const auto planned = missing.find(pool);
    const auto present = machines_by_zone_.find(pool.zone);
    const int machines = (planned == missing.end() ? 0 : planned->second) +
                         (present == machines_by_zone_.end() ? 0 : present->second);
    const std::tuple rank(zones_.unresponsive(pool.zone), price, machines);
    if (best && rank >= best_rank) return;
    best = pool;
    best_rank = rank;
  };
  for (const auto& [name, type] : context_.types) {
    const std::uint32_t tasks = resources_of(type).tasks_that_fit(spec);
    if (tasks == 0) continue;
    for (const auto& zone : type.zones) {
      if (zones.left(zone) == 0) continue;
      consider({name, zone, false}, type.price / tasks);
      consider({name, zone, true}, type.spot_price / tasks);
    }
  }
  return best;
}

}  // namespace robinford::coordination
