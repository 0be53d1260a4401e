// The fleet review, and the calls to the cloud that follow from it.
#include "coordination/fleet.hpp"

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

Fleet::Fleet(Core& core, Election& election, Scheduler& scheduler)
    : core_(core),
      election_(election),
      scheduler_(scheduler),
      budget_(core.settings.cloud_rps * c::kCloudBudgetShare, 1) {}

void Fleet::begin() {
  ++generation_;
  rentals_.clear();
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
  core_.metrics.count("cloud_calls");
  core_.calls.send(
      {0, protocol::Service::kCloud, "", method, target, std::move(body), c::kCloudTimeoutS, false},
      [this, generation = generation_, answered = std::move(answered)](const CallResult& result) {
        if (generation == generation_) answered(result);
      });
}

void Fleet::tick() {
  const double now = core_.now.steady;
  budget_.refill(now);
  if (!election_.owns_fencing_token() || scheduler_.phase() == LeaderPhase::kNone ||
      scheduler_.phase() == LeaderPhase::kLoading)
    return;
  if (!election_.valid()) {
    // A caretaker returns nothing but what may hold cancelled work: those users were promised that it ends.
    return return_machines([](const Machine& machine) {
      return machine.state == MachineState::kReturning && !machine.overdue.empty();
    });
  }
  if (now >= next_review_) {
    next_review_ = now + c::kFleetStepS;
    if (scheduler_.phase() == LeaderPhase::kServing && !core_.types.empty()) review();
  }
  if (!budget_.covers(1)) return;
  if (core_.types.empty() ? now >= next_catalog_ && !catalog_open_
                          : now >= next_catalog_ + c::kCatalogEveryS && !catalog_open_)
    return read_catalog();
  for (auto& rental : rentals_) {
    if (rental.open || now < rental.next_try) continue;
    rental.open = true;
    const auto& [type, zone, spot] = rental.market;
    cloud("POST", n::kPathMachines, protocol::rent_json(rental.request, type, zone, spot, rental.count),
          [this, request = rental.request](const CallResult& result) {
            const auto found = std::find_if(rentals_.begin(), rentals_.end(),
                                            [&](const Rental& rental) { return rental.request == request; });
            if (found == rentals_.end()) return;
            found->open = false;
            const auto market = found->market;
            if (result.status == 200) {
              const auto names = protocol::parse_rented(result.body);
              for (const auto& name : names.value_or(std::vector<std::string>{})) {
                if (core_.machines.find(name) != nullptr) continue;
                Machine& machine = core_.machines.add(name, core_.now.steady);
                machine.type = std::get<0>(market);
                machine.zone = std::get<1>(market);
                machine.spot = std::get<2>(market);
                machine.rented_at = core_.now.steady;
                scheduler_.know_type(machine);
                spdlog::info("machine {} ({} {}{}) rented", name, machine.type, machine.zone,
                             machine.spot ? " spot" : "");
                core_.metrics.count("machines_rented");
              }
              if (names && static_cast<int>(names->size()) < found->count)
                refused_until_[market] = core_.now.steady + c::kNoCapacityS;
              rentals_.erase(found);
            } else if (result.status == 503 && result.body.find("capacity") != std::string::npos) {
              spdlog::info("no capacity for {} {}{}", std::get<0>(market), std::get<1>(market),
                           std::get<2>(market) ? " spot" : "");
              refused_until_[market] = core_.now.steady + c::kNoCapacityS;
              rentals_.erase(found);
            } else if (result.status == 400) {
              spdlog::error("the cloud calls a rental of {} malformed", std::get<0>(market));
              refused_until_[market] = core_.now.steady + c::kNoCapacityS;
              rentals_.erase(found);
            } else {
              found->next_try = core_.now.steady + c::kRentRetryS;  // same name: nothing is rented twice
            }
          });
    return;
  }
  if (now >= next_list_ && !list_open_) read_list("");
}

void Fleet::read_catalog() {
  catalog_open_ = true;
  next_catalog_ = core_.now.steady + c::kCatalogRetryS;
  cloud("GET", n::kPathCatalog, "", [this](const CallResult& result) {
    catalog_open_ = false;
    const auto types = result.status == 200 ? protocol::parse_catalog(result.body) : std::nullopt;
    if (!types) return;
    next_catalog_ = core_.now.steady;
    core_.types.clear();
    for (const auto& type : *types) core_.types[type.name] = type;
    for (auto& [name, machine] : core_.machines.all()) scheduler_.know_type(machine);
    if (!published_) publish_catalog();
  });
}

// The other controllers need the machine types to judge submissions, and spare the cloud their calls.
void Fleet::publish_catalog() {
  published_ = true;
  std::vector<protocol::MachineType> types;
  for (const auto& [name, type] : core_.types) types.push_back(type);
  auto value = protocol::parse_json(protocol::catalog_json(types));
  core_.state.read(
      "cat", [this, value = std::move(value), generation = generation_](const bookkeeping::StateRead& read) {
        if (generation != generation_ || read.found == bookkeeping::StateRead::Found::kUnknown) {
          published_ = false;
          return;
        }
        core_.writer.submit({{"cat", read.mod_revision, value->get_object()}}, [](auto, auto) {});
      });
}

void Fleet::read_list(const std::string& after) {
  list_open_ = true;
  next_list_ = core_.now.steady + c::kListEveryS;
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
  const double now = core_.now.steady;
  if (list.machines.empty() && core_.machines.all().empty()) scheduler_.cloud_is_empty();
  for (const auto& listed : list.machines) {
    Machine* machine = core_.machines.find(listed.name);
    if (machine == nullptr) {
      machine = &core_.machines.add(listed.name, now);
      machine->type = listed.type;
      machine->zone = listed.zone;
      machine->spot = listed.spot;
      machine->addr = listed.addr;
      machine->rented_at = now - listed.age_s - core_.settings.list_lag_s;
      scheduler_.know_type(*machine);
    }
    if (machine->rented_at == 0) machine->rented_at = now - listed.age_s;
    machine->last_listed = now;
    if (listed.failed) machine->listed_failed = true;
  }
}

bool Fleet::empty(const Machine& machine) const {
  return machine.tasks.empty() && machine.holds.empty() && machine.strays.empty() && !machine.unseen;
}

// Machines for the gangs that are expected to come while one would boot for them. Arrays may use them
// meanwhile.
int Fleet::spare_wanted() const {
  if (core_.policy.spare_machines >= 0) return core_.policy.spare_machines;
  double boot = 0;
  for (const auto& [name, type] : core_.types) boot = std::max(boot, type.boot_s);
  return static_cast<int>(std::lround(scheduler_.gang_rate() * boot));
}

double Fleet::shortest_boot() const {
  double boot = 0;
  for (const auto& [name, type] : core_.types)
    if (boot == 0 || type.boot_s < boot) boot = type.boot_s;
  return boot;
}

void Fleet::review() {
  const double now = core_.now.steady;
  count_capacity();
  const double needed = std::max(array_cores_needed(), scheduler_.array_load(shortest_boot()));
  const double keep = needed_at_ > 0 ? std::exp(-(now - needed_at_) / c::kNeedFallS) : 0;
  needed_ = std::max(needed, needed + (needed_ - needed) * keep);
  // What is left of a need that fell must not hold the last machine for ever.
  if (needed_ < needed + c::kNeedLeast) needed_ = needed;
  needed_at_ = now;
  auto fleet = virtual_fleet();
  std::map<Market, int> wanted;
  want_for_gangs(fleet, wanted);
  want_for_arrays(wanted);
  if (now >= next_tell_ && spdlog::should_log(spdlog::level::debug)) {
    next_tell_ = now + c::kFleetTellS;
    spdlog::debug(
        "fleet: {} gangs wait and claim {:.0f} cores, arrays have {:.0f} and need {:.0f} (due times {:.0f}, "
        "arrivals {:.0f}), "
        "backlog {:.0f} core seconds, {} spare machines for gangs",
        scheduler_.waiting_gangs().size(), gang_claim_, have_, needed_, array_cores_needed(),
        scheduler_.array_load(shortest_boot()), array_backlog(), spare_wanted());
  }
  for (const auto& [market, count] : wanted) {
    const bool open = std::any_of(rentals_.begin(), rentals_.end(),
                                  [&, m = market](const Rental& rental) { return rental.market == m; });
    // Several requests at once for a large need: a request takes 50 machines at most.
    for (int left = open ? 0 : std::min(count, c::kRentMax * c::kRentsAtOnce); left > 0; left -= c::kRentMax)
      rent(market, std::min(left, c::kRentMax));
  }
  wind_down();
  give_back();
}

void Fleet::rent(const Market& market, int count) {
  Rental rental;
  // Unique over terms, and so over processes: a term has one leader.
  rental.request = "r-" + std::to_string(election_.term()) + "-" + std::to_string(++request_counter_);
  rental.market = market;
  rental.count = count;
  spdlog::info("renting {} x {} {}{}", count, std::get<0>(market), std::get<1>(market),
               std::get<2>(market) ? " spot" : "");
  rentals_.push_back(std::move(rental));
}

}  // namespace robinford::coordination
