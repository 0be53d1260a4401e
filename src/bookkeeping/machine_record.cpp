/// @file
/// Encoding and decoding of machine records.
#include "bookkeeping/machine_record.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {

constexpr char kMachinesField[] = "all";  // array of [name, address, type, zone, spot]
// Object by machine name: [term of the leader that wrote it, time of day in ms].
constexpr char kUnansweredField[] = "unanswered";
constexpr std::size_t kTextFields = 4;
constexpr std::size_t kSpotField = 4;
constexpr std::size_t kMachineFields = 5;

using UnansweredSince = std::map<std::string, std::int64_t>;  // time of day in ms, by machine name

UnansweredSince decode_unanswered(const json::object& record, std::uint64_t trusted_since) {
  UnansweredSince result;
  const auto* value = record.if_contains(kUnansweredField);
  if (value == nullptr || !value->is_object()) return result;
  for (const auto& [name, entry] : value->get_object()) {
    const auto* fields = entry.if_array();
    if (fields == nullptr || fields->size() != 2) continue;
    json::error_code error;
    const auto term = (*fields)[0].to_number<std::uint64_t>(error);
    if (error || term < trusted_since) continue;
    const auto since_ms = (*fields)[1].to_number<std::int64_t>(error);
    if (!error) result.emplace(name, since_ms);
  }
  return result;
}

std::optional<MachineEntry> decode_entry(const json::value& value) {
  const auto* fields = value.if_array();
  if (fields == nullptr || fields->size() != kMachineFields) return std::nullopt;
  for (std::size_t field = 0; field < kTextFields; ++field)
    if (!(*fields)[field].is_string()) return std::nullopt;
  if (!(*fields)[kSpotField].is_bool()) return std::nullopt;
  const auto text = [&](std::size_t field) { return std::string((*fields)[field].get_string()); };
  return MachineEntry{text(0), text(1), text(2), text(3), (*fields)[kSpotField].get_bool(), std::nullopt};
}

// Sorts the entries by name and keeps one of each name, one with an address if there is any.
void keep_one_entry_each(std::vector<MachineEntry>& entries) {
  const auto key = [](const MachineEntry& entry) {
    return std::tuple(entry.name, entry.addr.empty(), entry.addr, entry.type, entry.zone, entry.spot);
  };
  std::sort(entries.begin(), entries.end(),
            [&](const MachineEntry& left, const MachineEntry& right) { return key(left) < key(right); });
  const auto same_name = [](const MachineEntry& left, const MachineEntry& right) {
    return left.name == right.name;
  };
  entries.erase(std::unique(entries.begin(), entries.end(), same_name), entries.end());
}

}  // namespace

json::object encode_machines(const std::vector<MachineEntry>& machines, std::uint64_t term) {
  json::array entries;
  json::object unanswered;
  for (const auto& machine : machines) {
    entries.emplace_back(json::array{machine.name, machine.addr, machine.type, machine.zone, machine.spot});
    if (machine.unanswered_since_ms)
      unanswered[machine.name] = json::array{term, *machine.unanswered_since_ms};
  }
  json::object record;
  record[kMachinesField] = std::move(entries);
  if (!unanswered.empty()) record[kUnansweredField] = std::move(unanswered);
  return record;
}

boost::system::result<MachineRecord, MachineRecordError> decode_machines(const json::value& value,
                                                                         std::uint64_t trusted_since) {
  if (!value.is_object()) return MachineRecordError::kNotAnObject;
  const auto* entries = value.get_object().if_contains(kMachinesField);
  if (entries == nullptr || !entries->is_array()) return MachineRecordError::kNoMachines;
  const auto unanswered = decode_unanswered(value.get_object(), trusted_since);
  MachineRecord record;
  for (const auto& item : entries->get_array()) {
    auto entry = decode_entry(item);
    if (!entry) {
      ++record.malformed;
      continue;
    }
    if (const auto since = unanswered.find(entry->name); since != unanswered.end())
      entry->unanswered_since_ms = since->second;
    record.machines.push_back(std::move(*entry));
  }
  keep_one_entry_each(record.machines);
  return record;
}

}  // namespace robinford::bookkeeping
