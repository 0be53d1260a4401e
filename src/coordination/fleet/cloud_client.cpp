#include "coordination/fleet/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::kCatalogKey;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using bookkeeping::StateRead;
using protocol::CallResult;

namespace {

// The cloud answers 503 in an outage and for a pool without free machines; only the body tells them apart.
bool is_out_of_capacity(const CallResult& result) {
  return result.status == 503 && result.body.find("capacity") != std::string::npos;
}

}  // namespace

CloudClient::CloudClient(ControllerContext& context, const Election& election, Scheduler& scheduler)
    : context_(context),
      election_(election),
      scheduler_(scheduler),
      budget_(context.settings.cloud_rps * c::kCloudBudgetShare, 1) {}

void CloudClient::begin_term() {
  ++generation_;
  request_counter_ = 0;
  requests_.clear();
  refused_until_.clear();
  next_return_ = 0;
  next_catalog_ = 0;
  next_list_ = 0;
  catalog_in_flight_ = false;
  list_in_flight_ = false;
  return_in_flight_ = false;
  catalog_published_ = false;
}

void CloudClient::end_term() { ++generation_; }

void CloudClient::call(const std::string& method, const std::string& target, std::string body,
                       bookkeeping::ResultCallback answered) {
  budget_.take(1);
  context_.metrics.count("cloud_calls");
  context_.calls.send(
      {0, protocol::Service::kCloud, "", method, target, std::move(body), c::kCloudCallTimeoutS, false},
      [this, generation = generation_, answered = std::move(answered)](const CallResult& result) {
        if (generation == generation_) answered(result);
      });
}

void CloudClient::send_due_call() {
  if (!budget_.covers(1)) return;
  if (catalog_is_due()) return read_catalog();
  const double now = context_.now.steady;
  const auto due = std::find_if(requests_.begin(), requests_.end(), [&](const ProvisioningRequest& request) {
    return !request.in_flight && now >= request.next_try_s;
  });
  if (due != requests_.end()) return send(*due);
  if (now >= next_list_ && !list_in_flight_) read_machine_list("");
}

bool CloudClient::catalog_is_due() const {
  if (catalog_in_flight_) return false;
  const double pause_s = context_.types.empty() ? 0 : c::kCatalogReadIntervalS;
  return context_.now.steady >= next_catalog_ + pause_s;
}

void CloudClient::read_catalog() {
  catalog_in_flight_ = true;
  next_catalog_ = context_.now.steady + c::kCatalogRetryS;
  call("GET", n::kPathCatalog, "", [this](const CallResult& result) {
    catalog_in_flight_ = false;
    const auto types = result.status == 200 ? protocol::parse_catalog(result.body) : std::nullopt;
    if (!types) return;
    next_catalog_ = context_.now.steady;
    context_.types.clear();
    for (const auto& type : *types) context_.types[type.name] = type;
    for (auto& [name, machine] : context_.machines.all()) scheduler_.set_capacity_from_catalog(machine);
    if (!catalog_published_) publish_catalog();
  });
}

// Writes the machine types to the key-value store. The other controllers check submissions against them and
// so need no calls to the cloud.
void CloudClient::publish_catalog() {
  catalog_published_ = true;
  std::vector<protocol::MachineType> types;
  for (const auto& [name, type] : context_.types) types.push_back(type);
  auto value = protocol::parse_json(protocol::catalog_json(types));
  context_.state.read(
      kCatalogKey, [this, value = std::move(value), generation = generation_](const StateRead& read) {
        if (generation != generation_ || read.found == StateRead::Found::kUnknown) {
          catalog_published_ = false;
          return;
        }
        context_.writer.submit({{kCatalogKey, read.mod_revision, value->get_object()}}, [](auto, auto) {});
      });
}

void CloudClient::read_machine_list(const std::string& after) {
  list_in_flight_ = true;
  next_list_ = context_.now.steady + c::kMachineListIntervalS;
  std::string target =
      std::string(n::kPathMachines) + "?" + n::kQueryLimit + "=" + std::to_string(c::kMachineListPageItems);
  if (!after.empty()) target += std::string("&") + n::kQueryAfter + "=" + after;
  call("GET", target, "", [this](const CallResult& result) {
    list_in_flight_ = false;
    const auto list = result.status == 200 ? protocol::parse_machines(result.body) : std::nullopt;
    if (!list) return;
    apply_machine_list(*list);
    if (list->more && !list->machines.empty()) read_machine_list(list->machines.back().name);
  });
}

// The machine list lags, and a later list may show an older state. So it only adds machines and facts about
// them; it neither releases capacity nor ends tasks.
void CloudClient::apply_machine_list(const protocol::MachineList& list) {
  const double now = context_.now.steady;
  if (list.machines.empty() && context_.machines.all().empty()) scheduler_.on_cloud_empty();
  for (const auto& listed : list.machines) {
    Machine* machine = context_.machines.find(listed.name);
    if (machine == nullptr) {
      machine = &context_.machines.add(listed.name, now);
      machine->type = listed.type;
      machine->zone = listed.zone;
      machine->spot = listed.spot;
      machine->addr = listed.addr;
      machine->provisioned_at = now - listed.age_s - context_.settings.list_lag_s;
      scheduler_.set_capacity_from_catalog(*machine);
    }
    if (machine->provisioned_at == 0) machine->provisioned_at = now - listed.age_s;
    machine->last_listed = now;
    if (listed.failed) machine->listed_failed = true;
  }
}

void CloudClient::provision(const CapacityPool& pool, int count) {
  for (int left = count; left > 0; left -= c::kProvisionRequestMachinesMax) {
    ProvisioningRequest request;
    // The term makes the name unique across processes, since each term has only one leader.
    request.name = "r-" + std::to_string(election_.term()) + "-" + std::to_string(++request_counter_);
    request.pool = pool;
    request.count = std::min(left, c::kProvisionRequestMachinesMax);
    spdlog::info("provisioning {} machines of pool {}", request.count, to_text(pool));
    requests_.push_back(std::move(request));
  }
}

bool CloudClient::has_request(const CapacityPool& pool) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const ProvisioningRequest& request) { return request.pool == pool; });
}

bool CloudClient::may_have_capacity(const CapacityPool& pool) const {
  const auto found = refused_until_.find(pool);
  return found == refused_until_.end() || context_.now.steady >= found->second;
}

void CloudClient::send(ProvisioningRequest& request) {
  request.in_flight = true;
  call("POST", n::kPathMachines,
       protocol::provision_json(request.name, request.pool.type, request.pool.zone, request.pool.spot,
                                request.count),
       [this, name = request.name](const CallResult& result) { on_provisioning_answer(name, result); });
}

void CloudClient::on_provisioning_answer(const std::string& name, const CallResult& result) {
  const auto request =
      std::find_if(requests_.begin(), requests_.end(),
                   [&](const ProvisioningRequest& candidate) { return candidate.name == name; });
  if (request == requests_.end()) return;
  request->in_flight = false;
  const CapacityPool pool = request->pool;
  if (result.status == 200) {
    const auto names = protocol::parse_provisioned(result.body);
    add_machines(pool, names.value_or(std::vector<std::string>{}));
    if (names && static_cast<int>(names->size()) < request->count) mark_refused(pool);
  } else if (is_out_of_capacity(result)) {
    spdlog::info("no capacity for {}", to_text(pool));
    mark_refused(pool);
  } else if (result.status == 400) {
    spdlog::error("the cloud rejected a provisioning request for {} as malformed", pool.type);
    mark_refused(pool);
  } else {
    // The request may have been carried out. A retry under the same name provisions nothing twice.
    request->next_try_s = context_.now.steady + c::kProvisionRetryS;
    return;
  }
  requests_.erase(request);
}

void CloudClient::add_machines(const CapacityPool& pool, const std::vector<std::string>& names) {
  for (const auto& name : names) {
    if (context_.machines.find(name) != nullptr) continue;
    Machine& machine = context_.machines.add(name, context_.now.steady);
    machine.type = pool.type;
    machine.zone = pool.zone;
    machine.spot = pool.spot;
    machine.provisioned_at = context_.now.steady;
    scheduler_.set_capacity_from_catalog(machine);
    spdlog::info("machine {} ({}) provisioned", name, to_text(pool));
    context_.metrics.count("machines_provisioned");
  }
}

void CloudClient::mark_refused(const CapacityPool& pool) {
  refused_until_[pool] = context_.now.steady + c::kNoCapacityBackoffS;
}

void CloudClient::return_machines(ReturnScope scope) {
  if (return_in_flight_ || !budget_.covers(1) || context_.now.steady < next_return_) return;
  std::vector<std::string> names;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (names.size() >= c::kReturnRequestMachinesMax) break;
    if (machine.state != MachineState::kReturning) continue;
    if (scope == ReturnScope::kCancelledWorkOnly && machine.overdue.empty()) continue;
    names.push_back(name);
  }
  if (names.empty()) return;
  return_in_flight_ = true;
  next_return_ = context_.now.steady + c::kFleetReviewIntervalS;
  call("POST", n::kPathReturn, protocol::return_json(names), [this, names](const CallResult& result) {
    return_in_flight_ = false;
    if (result.status != 200) return;  // the next call of return_machines retries it
    for (const auto& name : names) {
      Machine* machine = context_.machines.find(name);
      if (machine == nullptr) continue;
      scheduler_.on_machine_gone(*machine);
      machine->known_at = context_.now.steady;
      context_.metrics.count("machines_returned");
    }
  });
}

}  // namespace robinford::coordination
