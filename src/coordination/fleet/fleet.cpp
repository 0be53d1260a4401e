// The fleet review, and the calls to the cloud that follow from it.
#include "coordination/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::CallResult;

Fleet::Fleet(ControllerContext& context, Election& election, Scheduler& scheduler)
    : context_(context),
      election_(election),
      scheduler_(scheduler),
      budget_(context.settings.cloud_rps * c::kCloudBudgetShare, 1) {}

void Fleet::begin() {
  ++generation_;
  provisioning_requests_.clear();
  refused_until_.clear();
  zones_out_.clear();
  catalog_open_ = list_open_ = returning_ = published_ = false;
  next_return_ = next_review_ = next_list_ = next_catalog_ = 0;
  request_counter_ = 0;
}

void Fleet::end() { ++generation_; }

void Fleet::cloud(const std::string& method, const std::string& target, std::string body,
                  bookkeeping::Answered answered) {
  budget_.take(1);
  context_.metrics.count("cloud_calls");
  context_.calls.send(
      {0, protocol::Service::kCloud, "", method, target, std::move(body), c::kCloudTimeoutS, false},
      [this, generation = generation_, answered = std::move(answered)](const CallResult& result) {
        if (generation == generation_) answered(result);
      });
}

void Fleet::tick() {
  const double now = context_.now.steady;
  budget_.refill(now);
  if (!election_.owns_fencing_token() || scheduler_.phase() == LeaderPhase::kNone ||
      scheduler_.phase() == LeaderPhase::kLoading)
    return;
  if (!election_.valid()) {
    // A degraded leader returns nothing but what may hold cancelled work: those users were promised that it
    // ends.
    return return_machines([](const Machine& machine) {
      return machine.state == MachineState::kReturning && !machine.overdue.empty();
    });
  }
  if (now >= next_review_) {
    next_review_ = now + c::kFleetStepS;
    if (scheduler_.phase() == LeaderPhase::kServing && !context_.types.empty()) review();
  }
  if (!budget_.covers(1)) return;
  if (context_.types.empty() ? now >= next_catalog_ && !catalog_open_
                             : now >= next_catalog_ + c::kCatalogEveryS && !catalog_open_)
    return read_catalog();
  for (auto& provisioning : provisioning_requests_) {
    if (provisioning.open || now < provisioning.next_try) continue;
    provisioning.open = true;
    const auto& [type, zone, spot] = provisioning.pool;
    cloud("POST", n::kPathMachines,
          protocol::provision_json(provisioning.request, type, zone, spot, provisioning.count),
          [this, request = provisioning.request](const CallResult& result) {
            const auto found = std::find_if(
                provisioning_requests_.begin(), provisioning_requests_.end(),
                [&](const ProvisioningRequest& provisioning) { return provisioning.request == request; });
            if (found == provisioning_requests_.end()) return;
            found->open = false;
            const auto pool = found->pool;
            if (result.status == 200) {
              const auto names = protocol::parse_provisioned(result.body);
              for (const auto& name : names.value_or(std::vector<std::string>{})) {
                if (context_.machines.find(name) != nullptr) continue;
                Machine& machine = context_.machines.add(name, context_.now.steady);
                machine.type = std::get<0>(pool);
                machine.zone = std::get<1>(pool);
                machine.spot = std::get<2>(pool);
                machine.provisioned_at = context_.now.steady;
                scheduler_.know_type(machine);
                spdlog::info("machine {} ({} {}{}) provisioned", name, machine.type, machine.zone,
                             machine.spot ? " spot" : "");
                context_.metrics.count("machines_provisioned");
              }
              if (names && static_cast<int>(names->size()) < found->count)
                refused_until_[pool] = context_.now.steady + c::kNoCapacityS;
              provisioning_requests_.erase(found);
            } else if (result.status == 503 && result.body.find("capacity") != std::string::npos) {
              spdlog::info("no capacity for {} {}{}", std::get<0>(pool), std::get<1>(pool),
                           std::get<2>(pool) ? " spot" : "");
              refused_until_[pool] = context_.now.steady + c::kNoCapacityS;
              provisioning_requests_.erase(found);
            } else if (result.status == 400) {
              spdlog::error("the cloud rejects a provisioning request for {} as malformed",
                            std::get<0>(pool));
              refused_until_[pool] = context_.now.steady + c::kNoCapacityS;
              provisioning_requests_.erase(found);
            } else {
              found->next_try =
                  context_.now.steady + c::kProvisionRetryS;  // same name: nothing is provisioned twice
            }
          });
    return;
  }
  if (now >= next_list_ && !list_open_) read_list("");
}

void Fleet::read_catalog() {
  catalog_open_ = true;
  next_catalog_ = context_.now.steady + c::kCatalogRetryS;
  cloud("GET", n::kPathCatalog, "", [this](const CallResult& result) {
    catalog_open_ = false;
    const auto types = result.status == 200 ? protocol::parse_catalog(result.body) : std::nullopt;
    if (!types) return;
    next_catalog_ = context_.now.steady;
    context_.types.clear();
    for (const auto& type : *types) context_.types[type.name] = type;
    for (auto& [name, machine] : context_.machines.all()) scheduler_.know_type(machine);
    if (!published_) publish_catalog();
  });
}

// The other controllers need the machine types to judge submissions, and spare the cloud their calls.
void Fleet::publish_catalog() {
  published_ = true;
  std::vector<protocol::MachineType> types;
  for (const auto& [name, type] : context_.types) types.push_back(type);
  auto value = protocol::parse_json(protocol::catalog_json(types));
  context_.state.read(bookkeeping::kCatalogKey, [this, value = std::move(value), generation = generation_](
                                                    const bookkeeping::StateRead& read) {
    if (generation != generation_ || read.found == bookkeeping::StateRead::Found::kUnknown) {
      published_ = false;
      return;
    }
    context_.writer.submit({{bookkeeping::kCatalogKey, read.mod_revision, value->get_object()}},
                           [](auto, auto) {});
  });
}

void Fleet::read_list(const std::string& after) {
  list_open_ = true;
  next_list_ = context_.now.steady + c::kListEveryS;
  std::string target =
      std::string(n::kPathMachines) + "?" + n::kQueryLimit + "=" + std::to_string(c::kListPage);
  if (!after.empty()) target += std::string("&") + n::kQueryAfter + "=" + after;
  cloud("GET", target, "", [this](const CallResult& result) {
    list_open_ = false;
    const auto list = result.status == 200 ? protocol::parse_machines(result.body) : std::nullopt;
    if (!list) return;
    take_list(*list);
    if (list->more && !list->machines.empty()) read_list(list->machines.back().name);
  });
}

// The list lags and may go back in time: it makes machines known, and frees or ends nothing.
void Fleet::take_list(const protocol::MachineList& list) {
  const double now = context_.now.steady;
  if (list.machines.empty() && context_.machines.all().empty()) scheduler_.cloud_is_empty();
  for (const auto& listed : list.machines) {
    Machine* machine = context_.machines.find(listed.name);
    if (machine == nullptr) {
      machine = &context_.machines.add(listed.name, now);
      machine->type = listed.type;
      machine->zone = listed.zone;
      machine->spot = listed.spot;
      machine->addr = listed.addr;
      machine->provisioned_at = now - listed.age_s - context_.settings.list_lag_s;
      scheduler_.know_type(*machine);
    }
    if (machine->provisioned_at == 0) machine->provisioned_at = now - listed.age_s;
    machine->last_listed = now;
    if (listed.failed) machine->listed_failed = true;
  }
}

bool Fleet::empty(const Machine& machine) const {
  return machine.tasks.empty() && machine.reservations.empty() && machine.unknown_tasks.empty() &&
         !machine.unreconciled;
}

// Machines for the gangs that are expected to come while one would boot for them. Arrays may use them
// meanwhile.
int Fleet::spare_wanted() const {
  if (context_.policy.spare_machines >= 0) return context_.policy.spare_machines;
  double boot = 0;
  for (const auto& [name, type] : context_.types) boot = std::max(boot, type.boot_s);
  return static_cast<int>(std::lround(scheduler_.gang_rate() * boot));
}

double Fleet::shortest_boot() const {
  double boot = 0;
  for (const auto& [name, type] : context_.types)
    if (boot == 0 || type.boot_s < boot) boot = type.boot_s;
  return boot;
}

void Fleet::review() {
  const double now = context_.now.steady;
  count_capacity();
  const double needed = std::max(array_cores_needed(), scheduler_.array_load(shortest_boot()));
  const double keep = needed_at_ > 0 ? std::exp(-(now - needed_at_) / c::kNeedFallS) : 0;
  needed_ = std::max(needed, needed + (needed_ - needed) * keep);
  // What is left of a need that fell must not hold the last machine for ever.
  if (needed_ < needed + c::kNeedLeast) needed_ = needed;
  needed_at_ = now;
  auto fleet = forecast_fleet();
  std::map<CapacityPool, int> wanted;
  demand_for_gangs(fleet, wanted);
  demand_for_arrays(wanted);
  if (now >= next_log_ && spdlog::should_log(spdlog::level::debug)) {
    next_log_ = now + c::kFleetLogEveryS;
    spdlog::debug(
        "fleet: {} gangs wait and claim {:.0f} cores, arrays have {:.0f} and need {:.0f} (due times {:.0f}, "
        "arrivals {:.0f}), "
        "backlog {:.0f} core seconds, {} spare machines for gangs",
        scheduler_.waiting_gangs().size(), gang_claim_, have_, needed_, array_cores_needed(),
        scheduler_.array_load(shortest_boot()), array_backlog(), spare_wanted());
  }
  for (const auto& [pool, count] : wanted) {
    const bool open = std::any_of(
        provisioning_requests_.begin(), provisioning_requests_.end(),
        [&, m = pool](const ProvisioningRequest& provisioning) { return provisioning.pool == m; });
    // Several requests at once for a large need: a request takes 50 machines at most.
    for (int left = open ? 0 : std::min(count, c::kProvisionMax * c::kProvisionsAtOnce); left > 0;
         left -= c::kProvisionMax)
      provision(pool, std::min(left, c::kProvisionMax));
  }
  drain_surplus();
  give_back();
}

void Fleet::provision(const CapacityPool& pool, int count) {
  ProvisioningRequest provisioning;
  // Unique over terms, and so over processes: a term has one leader.
  provisioning.request = "r-" + std::to_string(election_.term()) + "-" + std::to_string(++request_counter_);
  provisioning.pool = pool;
  provisioning.count = count;
  spdlog::info("provisioning {} x {} {}{}", count, std::get<0>(pool), std::get<1>(pool),
               std::get<2>(pool) ? " spot" : "");
  provisioning_requests_.push_back(std::move(provisioning));
}

}  // namespace robinford::coordination
