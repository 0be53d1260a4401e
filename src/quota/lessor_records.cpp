// The lessor's durable records. Each lessee's lease is stored in one or more slices.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"
#include "quota/lessor.hpp"

namespace robinford::quota {
namespace c = constants;

namespace {
constexpr double kNever = 1e300;

std::string member_of(const std::string& key) {
  const std::string rest = key.substr(std::string(kLeaseRecordPrefix).size());
  return rest.substr(0, rest.rfind('/'));
}
}  // namespace

// Treats the newest recorded lease of each other controller as valid for a full lease time from now, because
// the previous leader may have renewed it until just before it lost leadership.
void Lessor::on_records_loaded(const std::vector<StoredLease>& records, double now) {
  now_ = now;
  lessor_incarnation_ = next_epoch();
  ledger_.clear();
  records_.clear();
  std::map<std::string, std::vector<LeaseRecord>> by_member;
  for (const auto& stored : records) load_record(stored, by_member);
  for (const auto& [member, slices] : by_member) {
    // The leader holds no lease itself, and an earlier process of this member no longer runs: its records are
    // deleted.
    if (member == settings_.member) {
      write_all_records(member, now + c::kLazyRecordWriteS);
      continue;
    }
    const auto newest = std::max_element(slices.begin(), slices.end(),
                                         [](const auto& a, const auto& b) { return a.epoch < b.epoch; });
    ledger_.open(member, newest->epoch, newest->incarnation, lease_end(now));
    for (const auto& slice : slices) {
      if (slice.epoch != newest->epoch) continue;
      for (const auto& part : slice.parts) {
        if (settings_.team(part.team) == nullptr)
          spdlog::warn("quota lease of {}: team {} is not in the settings", member, part.team);
        ledger_.set_part(member, part.team, part.revision, part.size);
        ledger_.find(member)->parts.at(part.team).durable = true;
        teams_over_limit_.insert(part.team);  // `recall` removes the teams that are within their limit
      }
    }
  }
  for (auto& [key, record] : records_) {
    auto* lease = ledger_.find(member_of(key));
    if (lease == nullptr) continue;
    const auto slice = static_cast<std::uint32_t>(std::stoul(key.substr(key.rfind('/') + 1)));
    for (const auto& stored : records) {
      if (stored.key != key) continue;
      const auto decoded = decode_lease(stored.value);
      if (const auto* good = std::get_if<LeaseRecord>(&decoded))
        for (const auto& part : good->parts)
          if (const auto found = lease->parts.find(part.team); found != lease->parts.end())
            found->second.slice = slice;
    }
  }
  set_state(LessorState::kServing);
}

void Lessor::load_record(const StoredLease& stored,
                         std::map<std::string, std::vector<LeaseRecord>>& by_member) {
  const auto decoded = decode_lease(stored.value);
  const auto* record = std::get_if<LeaseRecord>(&decoded);
  std::string reason;
  if (record == nullptr)
    reason = std::get<RecordError>(decoded).reason;
  else if ((record->epoch >> c::kAttemptCounterBits) > term_)
    reason = "its epoch belongs to a later term";
  else if (!stored.key.starts_with(kLeaseRecordPrefix + record->member + "/"))
    reason = "its member differs from the member in its key";
  else if (stored.key.find_first_not_of("0123456789", stored.key.rfind('/') + 1) != std::string::npos ||
           stored.key.ends_with('/') || stored.key.size() - stored.key.rfind('/') > c::kSliceSuffixCharsMax)
    reason = "its key does not end with a slice number";
  if (reason.empty()) {
    records_[stored.key].mod_revision = stored.mod_revision;
    by_member[record->member].push_back(*record);
    return;
  }
  // The record may stand for a lease of any size. No task is placed and no part grows until such a lease
  // would have expired.
  ++counters_.bad_records;
  spdlog::error("malformed record {}: {}", stored.key, reason);
  unreadable_until_ = std::max(unreadable_until_, lease_end(now_));
  auto& entry = records_[stored.key];
  entry.mod_revision = stored.mod_revision;
  entry.unreadable = true;
  entry.write_at = lease_end(now_);
}

// Returns the member's first slice with enough space left for the team's part.
std::uint32_t Lessor::record_number_for(const std::string& member, const std::string& team) const {
  const auto& parts = ledger_.leases().at(member).parts;
  std::map<std::uint32_t, std::size_t> bytes;
  for (const auto& [name, part] : parts)
    if (name != team) bytes[part.slice] += encoded_size({name, part.size, part.revision});
  const std::size_t own = encoded_size({team, {}, 0});
  const std::size_t most =
      settings_.value_bytes() - c::kValueSlackBytes - c::kLeaseRecordOverheadBytes - member.size();
  std::uint32_t slice = 0;
  while (bytes.contains(slice) && bytes[slice] + own > most) ++slice;
  return slice;
}

void Lessor::write_record(const std::string& member, std::uint32_t slice, double at) {
  auto& record = records_[lease_key(member, slice)];
  record.write_at = std::min(record.write_at, at);
}

void Lessor::write_all_records(const std::string& member, double at) {
  for (auto& [key, record] : records_)
    if (member_of(key) == member) record.write_at = std::min(record.write_at, at);
}

std::optional<boost::json::object> Lessor::prepare_record_value(const std::string& key,
                                                                Record& record) const {
  record.writing.clear();
  const std::string member = member_of(key);
  const auto found = ledger_.leases().find(member);
  if (found == ledger_.leases().end() || record.unreadable) return std::nullopt;
  const auto& lease = found->second;
  LeaseRecord value{member, lease.epoch, lease.incarnation, {}};
  for (const auto& [team, part] : lease.parts) {
    if (lease_key(member, part.slice) != key || part.revision == 0 || part.size.is_zero()) continue;
    value.parts.push_back({team, part.size, part.revision});
    record.writing[team] = part.revision;
  }
  if (value.parts.empty()) return std::nullopt;
  return encode_lease(value);
}

std::vector<LeaseWrite> Lessor::take_writes(double now) {
  std::vector<LeaseWrite> writes;
  if (state_ != LessorState::kServing) return writes;
  for (auto& [key, record] : records_) {
    if (record.in_flight || now < record.write_at) continue;
    if (!write_budget_.covers(1)) break;
    record.write_at = kNever;
    auto value = prepare_record_value(key, record);
    if (!value && record.mod_revision == 0)
      continue;  // the key does not exist, so there is no record to delete
    record.in_flight = true;
    write_budget_.take(1);
    ++counters_.writes;
    writes.push_back({key, record.mod_revision, std::move(value)});
  }
  return writes;
}

void Lessor::written(const std::string& key, std::uint64_t mod_revision) {
  const auto found = records_.find(key);
  if (state_ != LessorState::kServing || found == records_.end() || !found->second.in_flight) return;
  auto& record = found->second;
  record.in_flight = false;
  record.unreadable = false;
  const std::string member = member_of(key);
  record.mod_revision = record.writing.empty() ? 0 : mod_revision;
  auto* lease = ledger_.find(member);
  if (lease == nullptr) return;
  for (const auto& [team, revision] : record.writing) {
    const auto part = lease->parts.find(team);
    if (part == lease->parts.end() || part->second.revision != revision || part->second.durable) continue;
    part->second.durable = true;
    members_to_notify_.insert(member);
  }
}

// After a conflict it is unknown what the record contains: all records are read again, and no task is placed
// until then. Other failed writes are retried after `kLazyRecordWriteS`.
void Lessor::not_written(const std::string& key, bool conflict) {
  const auto found = records_.find(key);
  if (state_ != LessorState::kServing || found == records_.end()) return;
  found->second.in_flight = false;
  if (!conflict) {
    found->second.write_at = now_ + c::kLazyRecordWriteS;
    return;
  }
  ++counters_.write_conflicts;
  spdlog::warn("quota leases: record {} was changed by another writer; reading all lease records again", key);
  reload_needed_ = true;
  set_state(LessorState::kLoading);
}

}  // namespace robinford::quota
