// What the cloud sends and hears: catalog, list of machines, provisioning requests, returns.
#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::protocol {
namespace json = boost::json;
namespace n = names;
using json_fields::amount;
using json_fields::field;
using json_fields::flag;
using json_fields::word;
using json_fields::words;
namespace {

// Sorts the names and removes repeated ones.
void make_set(std::vector<std::string>& names) {
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
}

// Sorts the entries by `key`, which begins with their name, and keeps the first of each name.
template <typename Entry, typename Key>
void keep_first_of_each_name(std::vector<Entry>& entries, const Key& key) {
  std::sort(entries.begin(), entries.end(),
            [&](const Entry& left, const Entry& right) { return key(left) < key(right); });
  const auto same_name = [](const Entry& left, const Entry& right) { return left.name == right.name; };
  entries.erase(std::unique(entries.begin(), entries.end(), same_name), entries.end());
}

auto catalog_key(const MachineType& type) {
  return std::tie(type.name, type.cpus, type.gpus, type.memory_gb, type.cache_gb, type.fetch_gb_per_s,
                  type.price, type.spot_price, type.boot_s, type.zones);
}

// A machine listed as failed has failed, and one listed with an address or as running is that far.
auto listing_key(const ListedMachine& machine) {
  return std::tuple(machine.name, !machine.failed, machine.booting, machine.addr.empty(), machine.addr,
                    machine.type, machine.zone, machine.spot, -machine.age_s);
}

}  // namespace

std::optional<std::vector<MachineType>> parse_catalog(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto* list = field(value->get_object(), n::kTypes);
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<MachineType> result;
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    MachineType type;
    const auto name = word(entry, n::kTypeName);
    const auto cpus = amount(entry, n::kCpus), memory = amount(entry, n::kMemoryGb);
    if (!name || !cpus || !memory) return std::nullopt;
    type.name = *name;
    type.cpus = *cpus;
    type.memory_gb = *memory;
    type.gpus = amount(entry, n::kGpus).value_or(0);
    type.cache_gb = amount(entry, n::kCacheGb).value_or(0);
    type.fetch_gb_per_s = amount(entry, n::kFetchGbPerS).value_or(0);
    type.price = amount(entry, n::kPrice).value_or(0);
    type.spot_price = amount(entry, n::kSpotPrice).value_or(0);
    type.boot_s = amount(entry, n::kBootS).value_or(0);
    if (const auto* zones = field(entry, n::kZones)) {
      auto parsed = words(*zones);
      if (!parsed) return std::nullopt;
      type.zones = std::move(*parsed);
      make_set(type.zones);
    }
    result.push_back(std::move(type));
  }
  keep_first_of_each_name(result, catalog_key);
  return result;
}

std::string catalog_json(const std::vector<MachineType>& types) {
  json::array list;
  for (const auto& type : types) {
    json::object entry;
    entry[n::kTypeName] = type.name;
    entry[n::kCpus] = type.cpus;
    entry[n::kGpus] = type.gpus;
    entry[n::kMemoryGb] = type.memory_gb;
    entry[n::kCacheGb] = type.cache_gb;
    entry[n::kFetchGbPerS] = type.fetch_gb_per_s;
    entry[n::kPrice] = type.price;
    entry[n::kSpotPrice] = type.spot_price;
    entry[n::kBootS] = type.boot_s;
    json::array zones;
    for (const auto& zone : type.zones) zones.emplace_back(zone);
    entry[n::kZones] = std::move(zones);
    list.emplace_back(std::move(entry));
  }
  json::object object;
  object[n::kTypes] = std::move(list);
  return json::serialize(object);
}

std::optional<MachineList> parse_machines(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  const auto* list = field(object, n::kMachines);
  if (list == nullptr || !list->is_array()) return std::nullopt;
  MachineList result;
  result.more = flag(object, n::kMore).value_or(false);
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    ListedMachine machine;
    const auto name = word(entry, n::kMachineName), type = word(entry, n::kType),
               zone = word(entry, n::kZone), state = word(entry, n::kState);
    if (!name || !type || !zone || !state) return std::nullopt;
    machine.name = *name;
    machine.addr = word(entry, n::kAddr).value_or("");
    machine.type = *type;
    machine.zone = *zone;
    machine.spot = flag(entry, n::kSpot).value_or(false);
    machine.failed = *state == n::kFailed;
    machine.booting = *state == n::kBooting;
    machine.age_s = amount(entry, n::kAgeS).value_or(0);
    result.machines.push_back(std::move(machine));
  }
  keep_first_of_each_name(result.machines, listing_key);
  return result;
}

std::string provision_json(const std::string& request, const std::string& type, const std::string& zone,
                           bool spot, int count) {
  json::object object;
  object[n::kRequest] = request;
  object[n::kType] = type;
  object[n::kZone] = zone;
  object[n::kSpot] = spot;
  object[n::kCount] = count;
  return json::serialize(object);
}

std::string return_json(const std::vector<std::string>& machines) {
  json::array list;
  for (const auto& machine : machines) list.emplace_back(machine);
  json::object object;
  object[n::kMachines] = std::move(list);
  return json::serialize(object);
}

std::optional<std::vector<std::string>> parse_provisioned(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto* list = field(value->get_object(), n::kMachines);
  if (list == nullptr) return std::nullopt;
  auto names = words(*list);
  if (names) make_set(*names);
  return names;
}

}  // namespace robinford::protocol
