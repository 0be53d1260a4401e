#include "coordination/election/peer_versions.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace json = boost::json;
using bookkeeping::StatePage;
using bookkeeping::StateRead;
using bookkeeping::WriteOutcome;

namespace {

constexpr auto& kPrefix = bookkeeping::kPeerVersionPrefix;
constexpr char kLevel[] = "level";
constexpr char kIncarnation[] = "inc";
constexpr char kQuotaLeases[] = "quota";

}  // namespace

PeerVersions::PeerVersions(ControllerContext& context) : context_(context) {
  for (const auto& peer : context_.settings.peers) members_[peer.member];
  upgrade_complete_ = members_.empty();
}

void PeerVersions::tick() {
  if (call_in_flight_ || context_.now.steady < next_check_) return;
  if (registered_ && upgrade_complete_ && all_latest_are_registered()) return;
  next_check_ = context_.now.steady + c::kVersionsReadIntervalS;
  if (!registered_) return register_self();
  read_registry();
}

void PeerVersions::observe(const std::string& member, std::uint64_t incarnation) {
  const auto found = members_.find(member);
  if (found == members_.end() || found->second.latest_incarnation == incarnation) return;
  found->second.latest_incarnation = incarnation;
  next_check_ = std::min(next_check_, context_.now.steady);
}

bool PeerVersions::understands_dependencies(const std::string& member) const {
  if (member == context_.settings.member) return true;
  const auto found = members_.find(member);
  return found != members_.end() && found->second.registered_incarnation != 0 &&
         found->second.latest_incarnation == found->second.registered_incarnation;
}

bool PeerVersions::serves_quota_leases(const std::string& member) const {
  const auto found = members_.find(member);
  return found != members_.end() && found->second.quota_leases && understands_dependencies(member);
}

bool PeerVersions::all_latest_are_registered() const {
  return std::all_of(members_.begin(), members_.end(), [](const auto& entry) {
    return entry.second.latest_incarnation == 0 ||
           entry.second.latest_incarnation == entry.second.registered_incarnation;
  });
}

void PeerVersions::register_self() {
  call_in_flight_ = true;
  context_.state.read(kPrefix + context_.settings.member, [this](const StateRead& read) {
    if (read.found == StateRead::Found::kUnknown)
      call_in_flight_ = false;
    else
      write_registration(read.mod_revision);
  });
}

void PeerVersions::write_registration(std::uint64_t mod_revision) {
  json::object record;
  record[kLevel] = c::kFeatureLevel;
  record[kIncarnation] = context_.incarnation;
  if (offers_quota_leases_) record[kQuotaLeases] = true;
  context_.writer.submit({{kPrefix + context_.settings.member, mod_revision, std::move(record)}},
                         [this](WriteOutcome outcome, std::uint64_t) {
                           call_in_flight_ = false;
                           registered_ = outcome == WriteOutcome::kDone;
                           next_check_ = context_.now.steady + (registered_ ? 0 : c::kVersionsReadIntervalS);
                         });
}

void PeerVersions::read_registry() {
  call_in_flight_ = true;
  context_.state.list(kPrefix, "", [this](const std::optional<StatePage>& page) {
    call_in_flight_ = false;
    if (!page) return;
    for (const auto& item : page->items)
      apply_registration(item.key.substr(std::string(kPrefix).size()), item.value);
    const bool all = std::all_of(members_.begin(), members_.end(),
                                 [](const auto& entry) { return entry.second.registered_incarnation != 0; });
    if (all && !upgrade_complete_) spdlog::info("rolling upgrade: every controller knows dependencies");
    upgrade_complete_ = upgrade_complete_ || all;
  });
}

void PeerVersions::apply_registration(const std::string& member, const json::value& record) {
  const auto found = members_.find(member);
  if (found == members_.end() || protocol::count_field(record, kLevel) < c::kFeatureLevel) return;
  found->second.registered_incarnation = protocol::count_field(record, kIncarnation);
  const auto* offered = record.get_object().if_contains(kQuotaLeases);
  found->second.quota_leases = offered != nullptr && offered->is_bool() && offered->get_bool();
}

}  // namespace robinford::coordination
