#include "coordination/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using protocol::CallResult;
using protocol::JobSpec;

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
  if (!election_.holds_token() || scheduler_.phase() == LeaderPhase::kNone ||
      scheduler_.phase() == LeaderPhase::kLoading)
    return;
  if (!election_.valid()) {
    // A caretaker returns nothing but what may hold withdrawn work: those users were promised that it ends.
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
        core_.writer.submit({{"cat", read.stamp, value->get_object()}}, [](auto, auto) {});
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

// ---------------------------------------------------------------- renting

std::vector<Fleet::Virtual> Fleet::virtual_fleet() {
  std::map<std::tuple<std::string, std::string, bool, double, double, double>, int> alike;
  const auto add = [&](const std::string& type, const std::string& zone, bool spot, const Room& room,
                       int count) {
    if (room.cpus > 0) alike[{type, zone, spot, room.cpus, room.gpus, room.memory_gb}] += count;
  };
  for (auto& [name, machine] : core_.machines.all())
    if (coming(machine) || takes_work(core_, machine))
      add(machine.type, machine.zone, machine.spot, free_room(core_, machine), 1);
  for (const auto& rental : rentals_) {
    const auto& [type, zone, spot] = rental.market;
    if (const auto found = core_.types.find(type); found != core_.types.end())
      add(type, zone, spot, {found->second.cpus, found->second.gpus, found->second.memory_gb}, rental.count);
  }
  std::vector<Virtual> fleet;
  for (const auto& [key, count] : alike) {
    const auto& [type, zone, spot, cpus, gpus, memory_gb] = key;
    fleet.push_back({type, zone, spot, {cpus, gpus, memory_gb}, count});
  }
  return fleet;
}

bool Fleet::market_open(const Market& market) const {
  const auto found = refused_until_.find(market);
  return found == refused_until_.end() || core_.now.steady >= found->second;
}

std::optional<Fleet::Market> Fleet::cheapest(const JobSpec& spec, const std::map<Market, int>& wanted,
                                             const std::string& only_zone) const {
  std::optional<Market> best;
  bool best_out = false;
  double best_price = 0;
  int best_count = 0;
  for (const auto& [name, type] : core_.types) {
    const auto fit = Room{type.cpus, type.gpus, type.memory_gb}.tasks_of(spec);
    if (fit == 0) continue;
    for (const auto& zone : type.zones) {
      if (!only_zone.empty() && zone != only_zone) continue;
      for (const bool spot : {false, true}) {
        const Market market{name, zone, spot};
        if (!kind_allowed(spec, name, zone, spot) || !market_open(market)) continue;
        const double price = (spot ? type.spot_price : type.price) / fit;
        // A zone of which nothing is heard comes last: what boots there reports to nobody.
        const bool out = zones_out_.contains(zone);
        // Equal prices: the zone with the fewest machines, so that one zone's trouble does not take all.
        int count = 0;
        if (const auto found = wanted.find(market); found != wanted.end()) count = found->second;
        if (const auto found = zone_machines_.find(zone); found != zone_machines_.end())
          count += found->second;
        if (best && std::tuple(out, price, count) >= std::tuple(best_out, best_price, best_count)) continue;
        best = market;
        best_out = out;
        best_price = price;
        best_count = count;
      }
    }
  }
  return best;
}

void Fleet::want_for_gangs(std::vector<Virtual>& fleet, std::map<Market, int>& wanted) {
  std::map<std::string, double> team_cpus;
  for (const Job* job : scheduler_.waiting_gangs()) {
    const auto& spec = job->spec;
    const auto* team = core_.settings.team(spec.team);
    // A gang that fails on every machine must not make the fleet grow.
    if (team == nullptr || static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    double& used = team_cpus.try_emplace(spec.team, core_.quota.usage(spec.team).cpus).first->second;
    if (used + spec.cpus * spec.tasks > team->cpus_max) continue;
    used += spec.cpus * spec.tasks;
    std::uint32_t left = spec.tasks;
    // A one-zone gang is helped by room in one zone only: where most of it is there or coming.
    std::string zone;
    if (spec.one_zone) {
      std::map<std::string, std::uint32_t> slots;
      for (const auto& machine : fleet)
        if (kind_allowed(spec, machine.type, machine.zone, machine.spot))
          slots[machine.zone] += machine.count * machine.room.tasks_of(spec);
      std::uint32_t most = 0;
      for (const auto& [name, count] : slots)
        if (count > most) zone = name, most = count;
      if (zone.empty())
        if (const auto market = cheapest(spec, wanted, "")) zone = std::get<1>(*market);
    }
    for (std::size_t i = 0; i < fleet.size() && left > 0; ++i) {
      if (!zone.empty() && fleet[i].zone != zone) continue;
      if (fleet[i].count == 0 || !kind_allowed(spec, fleet[i].type, fleet[i].zone, fleet[i].spot)) continue;
      const auto each = fleet[i].room.tasks_of(spec);
      if (each == 0) continue;
      const int used = std::min<int>(fleet[i].count, static_cast<int>((left + each - 1) / each));
      const auto on_last = std::min(each, left - (used - 1) * each);
      fleet[i].count -= used;
      left -= (used - 1) * each + on_last;
      // Room that waiting gangs will take is none for arrays, also while it boots.
      gang_claim_ += ((used - 1) * each + on_last) * spec.cpus;
      // What the last of them has left; the others are taken as full.
      Virtual rest = fleet[i];
      rest.count = 1;
      rest.room.take(spec, on_last);
      if (rest.room.cpus > 0) fleet.push_back(rest);
    }
    while (left > 0) {
      const auto market = cheapest(spec, wanted, zone);
      if (!market) break;
      const auto& type = core_.types.at(std::get<0>(*market));
      Virtual machine{
          type.name, std::get<1>(*market), std::get<2>(*market), {type.cpus, type.gpus, type.memory_gb}, 1};
      const auto take = std::min(left, machine.room.tasks_of(spec));
      machine.room.take(spec, take);
      left -= take;
      ++wanted[*market];
      fleet.push_back(machine);
    }
  }
  // Machines for the gangs that will come while one boots: as many free ones are kept ready or on their way.
  const auto* typical = scheduler_.typical_gang();
  if (typical == nullptr) return;
  int ready = 0;
  for (const auto& machine : fleet)
    if (kind_allowed(*typical, machine.type, machine.zone, machine.spot) && machine.room.fits(*typical))
      ready += machine.count;
  // Only as many as are nearly sure to be used: with few arrivals their number scatters too much.
  const double mean = spare_wanted();
  for (int left = static_cast<int>(std::floor(mean - std::sqrt(mean))) - ready; left > 0; --left) {
    const auto market = cheapest(*typical, wanted, "");
    if (!market) return;
    ++wanted[*market];
  }
}

// One that is later than usual for its type is not waited for: another is rented for the work, and whichever
// is not needed in the end goes back.
bool Fleet::coming(const Machine& machine) const {
  if (const auto type = core_.types.find(machine.type);
      type != core_.types.end() &&
      core_.now.steady - machine.rented_at > core_.boots.late_after(type->second))
    return false;
  return machine.state == MachineState::kBooting && machine.rented_at > 0 && !machine.listed_failed &&
         !zones_out_.contains(machine.zone);
}

// What is left of a machine beside the gangs on it.
double Fleet::array_cores(const Machine& machine) { return std::max(0.0, machine.cpus - machine.gang_cpus); }

// A zone that is cut off: most of its machines that should be heard are not. It counts as such until one is
// heard again, or for a while after the last of them was given up. Should hardly anything be heard of any
// zone, the fault is ours, and none counts.
void Fleet::watch_zones() {
  const double now = core_.now.steady;
  const double patience = core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  struct Count {
    int fresh = 0, quiet = 0;
  };
  std::map<std::string, Count> zones;
  Count all;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kGone || !(machine.reported || machine.unseen)) continue;
    const bool quiet = now - std::max(machine.last_report, scheduler_.serving_since()) > patience ||
                       (!machine.reported && machine.ask_failures >= c::kAsksEnough);
    ++(quiet ? zones[machine.zone].quiet : zones[machine.zone].fresh);
    ++(quiet ? all.quiet : all.fresh);
  }
  if (all.fresh < all.quiet) {
    zones_out_.clear();
    return;
  }
  for (const auto& [zone, count] : zones) {
    if (count.quiet >= c::kZoneOutLeast && count.quiet > count.fresh) {
      if (!zones_out_.contains(zone)) spdlog::info("zone {} is out: nothing is rented there first", zone);
      zones_out_[zone] = now;
    } else if (count.fresh > 0 && zones_out_.erase(zone) > 0) {
      spdlog::info("zone {} is heard again", zone);
    }
  }
  std::erase_if(zones_out_, [&](const auto& entry) { return now - entry.second > c::kZoneOutS; });
}

void Fleet::count_capacity() {
  watch_zones();
  zone_machines_.clear();
  have_ = gang_claim_ = 0;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (machine.state != MachineState::kGone) ++zone_machines_[machine.zone];
    if (coming(machine) || takes_work(core_, machine)) have_ += array_cores(machine);
  }
  for (const auto& rental : rentals_)
    if (const auto found = core_.types.find(std::get<0>(rental.market)); found != core_.types.end())
      have_ += found->second.cpus * rental.count;
}

// The rate at which the arrays' work has to be done to be in time, team by team up to its limit.
double Fleet::array_cores_needed() const {
  const double boot = shortest_boot();
  std::map<std::string, double> teams;
  for (const auto& [id, job] : core_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    if (static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    const double run = std::max(1.0, scheduler_.expected_run(*job));
    // The last task should begin a run before the end, so the work has to be under way in what is left. What
    // has no room yet has to be under way in what is left once a machine rented for it is up. Work that can't
    // be in time any more has no end to meet: it takes what room there is, at the pace of its lateness so
    // far.
    const auto pace = [&](double cores, double left, double runs_before) {
      const double window = left > run ? std::max(run, left - runs_before * run) : c::kLateWindowRuns * run;
      return std::min(cores, cores * run / window);
    };
    const double left = scheduler_.time_left(*job);
    const double waiting = pace(job->unplaced() * job->spec.cpus, left - boot, c::kLastTasksRuns);
    const double spread = std::max(pace(job->remaining() * job->spec.cpus, left, 1), waiting);
    // Where all the time allowed is hardly longer than a boot, room that is in use now will be wanted again
    // before a new machine would be up: it counts in full.
    const double allowed =
        std::max(1.0, left + std::max(0.0, (core_.now.wall_ms - job->submitted_ms) / 1000.0));
    const double tight = std::min(1.0, c::kTightBoots * boot / allowed);
    teams[job->spec.team] += tight * (job->runs.size() * job->spec.cpus + waiting) + (1 - tight) * spread;
  }
  double needed = 0;
  for (const auto& [name, cores] : teams)
    if (const auto* team = core_.settings.team(name)) needed += std::min(cores, team->cpus_max);
  return needed;
}

// Core seconds of array work that is accepted and not done.
double Fleet::array_backlog() const {
  double work = 0;
  for (const auto& [id, job] : core_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    if (static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines) continue;
    work += (job->unplaced() + 0.5 * job->runs.size()) * job->spec.cpus * scheduler_.expected_run(*job);
  }
  return work;
}

void Fleet::want_for_arrays(std::map<Market, int>& wanted) {
  // The array with most unplaced work says which machines suit; with all placed, the one with most left.
  const Job* typical = nullptr;
  const auto weight = [](const Job& job) {
    return std::pair(job.unplaced() * job.spec.cpus, job.remaining() * job.spec.cpus);
  };
  for (const auto& [id, job] : core_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive || job->remaining() == 0) continue;
    if (typical == nullptr || weight(*job) > weight(*typical)) typical = job.get();
  }
  if (typical == nullptr) return;
  const auto first = cheapest(typical->spec, wanted, "");
  if (!first) return;
  // Room that costs far more than what is to be had does not count: the cheaper is rented, and then the
  // dearer winds down.
  const auto& [type, zone, spot] = *first;
  const auto& offered = core_.types.at(type);
  const double dear =
      overpriced_cores((spot ? offered.spot_price : offered.price) / offered.cpus * c::kOverpricedRatio);
  // Waiting gangs take the dear room first, as far as it goes.
  const double have = have_ - std::max(dear, gang_claim_);
  if (needed_ <= have) return;
  // A machine that is rented now helps only with what is left once it is up, and has to find work for at
  // least as long as it booted. The load of steady arrivals will be there then; a backlog may be gone.
  const double boot = std::max(1.0, offered.boot_s);
  const double left = array_backlog() - have * boot;
  double missing = std::max(std::min(needed_ - have, left / (boot * c::kWorthBoots)),
                            scheduler_.array_load(shortest_boot()) - have);
  while (missing > 0) {
    const auto market = cheapest(typical->spec, wanted, "");
    if (!market) return;
    const double cores = core_.types.at(std::get<0>(*market)).cpus;
    if (missing < cores / 2 && have > 0) return;  // less than half a machine waits for room
    ++wanted[*market];
    missing -= cores;
  }
}

// Array room on machines without a gang that cost more a core than that. Beside a gang it costs nothing more.
double Fleet::overpriced_cores(double price) const {
  double dear = 0;
  for (const auto& [name, machine] : core_.machines.all())
    if ((coming(machine) || takes_work(core_, machine)) && !scheduler_.has_gang(machine) &&
        price_per_core(machine) > price)
      dear += array_cores(machine);
  return dear;
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

// ---------------------------------------------------------------- giving back

double Fleet::price_per_core(const Machine& machine) const {
  const auto found = core_.types.find(machine.type);
  if (found == core_.types.end()) return 0.0;
  return (machine.spot ? found->second.spot_price : found->second.price) / std::max(1.0, machine.cpus);
}

// More room than the arrays need: the dearest machines take no new array tasks, so that they empty and can
// go.
void Fleet::wind_down() {
  std::vector<Machine*> machines;
  double have = 0;
  int gang_rooms = 0;
  for (auto& [name, machine] : core_.machines.all()) {
    machine.winding_down = false;
    if (!takes_work(core_, machine)) continue;
    machines.push_back(&machine);
    have += array_cores(machine);
    if (scheduler_.suits_gangs(machine) && !scheduler_.has_gang(machine)) ++gang_rooms;
  }
  std::sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
    return std::tuple(-price_per_core(*a), a->tasks.size(), a->name) <
           std::tuple(-price_per_core(*b), b->tasks.size(), b->name);
  });
  const int spare = spare_wanted();
  for (auto* machine : machines) {
    const double cores = array_cores(*machine);
    if (have - cores < needed_) continue;
    // A machine with a gang stays anyway. Marked already now, it takes no arrays in the moment its gang ends:
    // their tasks would hold the dearest machines for as long as the longest of them runs.
    if (scheduler_.has_gang(*machine)) {
      machine->winding_down = true;
      continue;
    }
    if (scheduler_.suits_gangs(*machine)) {
      if (gang_rooms <= spare) continue;
      --gang_rooms;
    }
    machine->winding_down = true;
    have -= cores;
  }
}

void Fleet::return_machines(const std::function<bool(const Machine&)>& which) {
  if (returning_ || !budget_.covers(1) || core_.now.steady < next_return_) return;
  std::vector<std::string> names;
  for (const auto& [name, machine] : core_.machines.all())
    if (names.size() < c::kReturnMax && which(machine)) names.push_back(name);
  if (names.empty()) return;
  returning_ = true;
  next_return_ = core_.now.steady + c::kFleetStepS;
  cloud("POST", n::kPathReturn, protocol::return_json(names), [this, names](const CallResult& result) {
    returning_ = false;
    if (result.status != 200) return;  // asked again at the next review
    for (const auto& name : names) {
      Machine* machine = core_.machines.find(name);
      if (machine == nullptr) continue;
      scheduler_.machine_gone(*machine);
      machine->known_at = core_.now.steady;
      core_.metrics.count("machines_returned");
    }
  });
}

void Fleet::give_back() {
  const double now = core_.now.steady;
  std::size_t silent = 0, known = 0;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kGone) continue;
    ++known;
    if (machine.state == MachineState::kSilent) ++silent;
  }
  // When many are silent at once the network is the likelier cause, and returning them would cost all their
  // work.
  const bool network_trouble = silent > 2 && silent > known * c::kSilentShareMax;
  // A few machines that nobody hears of hold up the work of earlier leaders; many are a network that will be
  // back.
  const bool few_unseen =
      scheduler_.unseen_machines() <= std::max<std::size_t>(c::kFewUnseen, known * c::kFewUnseenShare);
  // To keep an idle machine for as long as its successor would boot costs at most twice what hindsight would
  // pay.
  const bool gangs_come = scheduler_.gang_rate() > 0,
             arrays_come = scheduler_.array_load(shortest_boot()) > 0;
  const auto idle_limit = [&](const Machine& machine) {
    if (core_.policy.idle_return_s >= 0) return core_.policy.idle_return_s;
    const auto found = core_.types.find(machine.type);
    const bool wanted = scheduler_.suits_gangs(machine) ? gangs_come : arrays_come;
    return found != core_.types.end() && wanted ? c::kIdleBoots * found->second.boot_s : c::kIdleReturnS;
  };
  std::vector<Machine*> idle;
  for (auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kGone || machine.state == MachineState::kReturning) continue;
    const double boot = machine.type.empty() || !core_.types.contains(machine.type)
                            ? 60
                            : core_.types.at(machine.type).boot_s;
    const char* why = nullptr;
    if (machine.listed_failed)
      why = "it failed";
    else if (machine.state == MachineState::kBooting && machine.rented_at > 0 && !machine.reported &&
             !machine.unseen && now - machine.rented_at > boot * c::kBootFactor + c::kBootSlackS)
      why = "it does not come up";
    else if (scheduler_.give_up(machine) && (!network_trouble || machine.notice_until))
      why = "it is silent";
    else if (machine.unseen && scheduler_.phase() == LeaderPhase::kServing && few_unseen &&
             machine.ask_failures >= c::kAsksEnough)
      why = "it stays silent since an earlier leader's time, and work waits for proof of what is on it";
    else if (machine.set_aside && (empty(machine) || !machine.saw_term))
      why = "it was set aside";
    if (why != nullptr) {
      spdlog::info("machine {} is given back: {}", machine.name, why);
      MachineLedger::set_state(machine, MachineState::kReturning);
      continue;
    }
    if (machine.state == MachineState::kUp && empty(machine)) idle.push_back(&machine);
  }
  for (auto* machine : idle) {
    if (!machine->winding_down || now - machine->idle_since < idle_limit(*machine)) continue;
    spdlog::info("machine {} is given back: idle", machine->name);
    MachineLedger::set_state(*machine, MachineState::kReturning);
  }
  return_machines([](const Machine& machine) { return machine.state == MachineState::kReturning; });
  // What no list, report or record has shown for long does not exist.
  std::vector<std::string> forgotten;
  for (const auto& [name, machine] : core_.machines.all()) {
    const bool never = machine.state == MachineState::kBooting && machine.rented_at == 0 && !machine.unseen &&
                       now - std::max(machine.known_at, machine.last_listed) >
                           c::kForgetListLags * core_.settings.list_lag_s;
    if (never || (machine.state == MachineState::kGone && now - machine.known_at > c::kGoneKeptS))
      forgotten.push_back(name);
  }
  for (const auto& name : forgotten) core_.machines.erase(name);
}

}  // namespace robinford::coordination
