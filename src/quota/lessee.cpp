#include "quota/lessee.hpp"

#include <spdlog/spdlog.h>

#include <cmath>

#include "constants.hpp"

namespace robinford::quota {
namespace c = constants;

const char* to_text(LesseeState state) {
  switch (state) {
    case LesseeState::kNone:
      return "none";
    case LesseeState::kHolding:
      return "holding";
    case LesseeState::kExpired:
      return "expired";
  }
  return "?";
}

Lessee::Lessee(const LeaseOptions& options, std::uint64_t incarnation)
    : options_(options), incarnation_(incarnation) {}

void Lessee::set_state(LesseeState state) {
  if (state_ == state) return;
  spdlog::debug("quota lease {}: {} -> {}", epoch_, to_text(state_), to_text(state));
  state_ = state;
}

std::optional<NewGrant> Lessee::grant(const protocol::JobSpec& spec, double now) {
  // A job with dependencies could not use the capacity yet, and would keep it from jobs that can start.
  if (!spec.dependencies.empty() || grants_.contains(spec.id)) return std::nullopt;
  const Amount each = rounded_up(spec.cpus, spec.gpus);
  note_demand(spec.team, each * spec.tasks, now);
  if (!valid(now)) {
    ++counters_.not_valid;
    return std::nullopt;
  }
  const auto found = parts_.find(spec.team);
  const Amount idle = found == parts_.end() ? Amount{} : found->second.size - found->second.promised;
  const auto covered = found == parts_.end() ? 0 : times_covered(idle, each, spec.tasks);
  const auto tasks = spec.gang && covered < spec.tasks ? 0 : covered;
  if (tasks == 0 || grants_.size() >= c::kGrantsMax) {
    ++counters_.not_covered;
    return std::nullopt;
  }
  found->second.promised += each * tasks;
  grants_[spec.id] = {spec.team, tasks, each};
  unacknowledged_.push_back({++grants_made_, spec.id, spec.team, tasks, each});
  ++counters_.granted;
  counters_.granted_tasks += tasks;
  return unacknowledged_.back();
}

void Lessee::tick(double now) {
  if (state_ == LesseeState::kHolding && now >= valid_until_) set_state(LesseeState::kExpired);
  for (auto& [team, part] : parts_) {
    if (now - part.last_requested_at < options_.idle_return_s) continue;
    part.size = part.promised;
  }
}

LesseeMessage Lessee::renewal(double now) {
  LesseeMessage message;
  message.lessor_incarnation = lessor_incarnation_;
  message.epoch = epoch_;
  message.probe = probe_time(now);
  message.refunds_taken = refunds_taken_;
  message.with_parts = true;
  for (const auto& grant : unacknowledged_) {
    if (message.grants.size() >= c::kGrantsPerMessageMax) break;
    message.grants.push_back(grant);
    grants_sent_ = std::max(grants_sent_, grant.number);
  }
  for (const auto& [team, part] : parts_)
    message.parts.push_back({team, part.revision, part.size, demand(team, now)});
  for (const auto& [team, demand_sum] : demands_)
    if (!parts_.contains(team)) message.parts.push_back({team, 0, {}, demand(team, now)});
  return message;
}

std::optional<LesseeMessage> Lessee::new_grants() {
  if (grants_sent_ >= grants_made_) return std::nullopt;
  LesseeMessage message;
  message.lessor_incarnation = lessor_incarnation_;
  message.epoch = epoch_;
  message.refunds_taken = refunds_taken_;
  for (const auto& grant : unacknowledged_)
    if (grant.number > grants_sent_ && message.grants.size() < c::kGrantsPerMessageMax)
      message.grants.push_back(grant);
  if (message.grants.empty()) return std::nullopt;
  grants_sent_ = message.grants.back().number;
  return message;
}

bool Lessee::handle_lessor_message(const LessorMessage& message, double now) {
  // A delayed message from an earlier lessor or lease, or one addressed to an earlier process of this member.
  if (message.incarnation != incarnation_ || message.lessor_incarnation < lessor_incarnation_ ||
      message.epoch < epoch_)
    return false;
  bool answer_at_once = false;
  if (message.epoch != epoch_) {
    if (!grants_.empty() || epoch_ != 0) ++counters_.leases_lost;
    forget_lease();
    epoch_ = message.epoch;
    answer_at_once = true;
  }
  if (message.lessor_incarnation != lessor_incarnation_) {
    adopt_lessor_incarnation(message.lessor_incarnation);
    answer_at_once = true;
  }
  while (!unacknowledged_.empty() && unacknowledged_.front().number <= message.grants_taken)
    unacknowledged_.pop_front();
  for (const auto& refund : message.refunds) apply_refund(refund);
  for (const auto& part : message.parts) answer_at_once = apply_offered_part(part, now) || answer_at_once;
  const double probed_at = static_cast<double>(message.probe) / c::kMsPerS;
  if (message.probe != 0 && probed_at >= reset_at_) {
    const double until = probed_at + options_.ttl_s * (1 - c::kClockDrift) - c::kLeaseMarginS;
    valid_until_ = std::max(valid_until_, until);
    if (now < valid_until_) set_state(LesseeState::kHolding);
  }
  return answer_at_once;
}

void Lessee::reset(double now) {
  forget_lease();
  epoch_ = 0;
  reset_at_ = now;
  demands_.clear();
}

void Lessee::forget_lease() {
  set_state(LesseeState::kNone);
  valid_until_ = -1e9;
  parts_.clear();
  grants_.clear();
  unacknowledged_.clear();
  grants_made_ = grants_sent_ = refunds_taken_ = 0;
}

// A new lessor incarnation knows none of the grants: all outstanding grants are queued again, under new
// numbers.
void Lessee::adopt_lessor_incarnation(std::uint64_t lessor_incarnation) {
  lessor_incarnation_ = lessor_incarnation;
  unacknowledged_.clear();
  grants_made_ = grants_sent_ = refunds_taken_ = 0;
  for (const auto& [job, grant] : grants_)
    unacknowledged_.push_back({++grants_made_, job, grant.team, grant.tasks, grant.each});
}

// Applies refunds in order and once: resent refunds have numbers that were applied already.
void Lessee::apply_refund(const Refund& refund) {
  if (refund.number != refunds_taken_ + 1) return;
  ++refunds_taken_;
  const auto found = grants_.find(refund.job);
  if (found == grants_.end()) return;
  auto& grant = found->second;
  const auto tasks = std::min(grant.tasks, refund.tasks);
  parts_.at(grant.team).promised -= grant.each * tasks;
  grant.tasks -= tasks;
  counters_.refunded_tasks += tasks;
  if (grant.tasks == 0) grants_.erase(found);
}

// Returns whether capacity was given up because the lessor recalls it.
bool Lessee::apply_offered_part(const OfferedPart& offered, double now) {
  auto& part = parts_[offered.team];
  if (offered.revision > part.revision) {
    part.revision = offered.revision;
    part.size = offered.size;
    part.last_requested_at = now;
  }
  if (offered.revision != part.revision) return false;
  const Amount wanted = larger(part.promised, smaller(part.size, offered.keep));
  if (wanted == part.size) return false;
  part.size = wanted;
  return true;
}

void Lessee::note_demand(const std::string& team, const Amount& amount, double now) {
  auto& demand_sum = demands_[team];
  demand_sum.sum = demand(team, now) + amount;
  demand_sum.at = now;
  if (const auto part = parts_.find(team); part != parts_.end()) part->second.last_requested_at = now;
}

Amount Lessee::demand(const std::string& team, double now) const {
  const auto found = demands_.find(team);
  if (found == demands_.end()) return {};
  const double left = std::exp2(-std::max(0.0, now - found->second.at) / c::kDemandHalfLifeS);
  const auto decayed = [left](std::int64_t value) { return static_cast<std::int64_t>(value * left); };
  return {decayed(found->second.sum.cpus), decayed(found->second.sum.gpus)};
}

// Time of sending for a renewal's probe, in milliseconds. At least 1, because 0 marks a message without a
// probe.
std::uint64_t Lessee::probe_time(double now) const {
  return static_cast<std::uint64_t>(std::max(1.0, std::floor(now * c::kMsPerS)));
}

Amount Lessee::held(const std::string& team) const {
  const auto found = parts_.find(team);
  return found == parts_.end() ? Amount{} : found->second.size;
}

Amount Lessee::held() const {
  Amount sum;
  for (const auto& [team, part] : parts_) sum += part.size;
  return sum;
}

Amount Lessee::promised() const {
  Amount sum;
  for (const auto& [team, part] : parts_) sum += part.promised;
  return sum;
}

std::string Lessee::audit() const {
  std::map<std::string, Amount> promised;
  for (const auto& [job, grant] : grants_) promised[grant.team] += grant.each * grant.tasks;
  for (const auto& [team, part] : parts_) {
    if (!(promised[team] == part.promised))
      return "team " + team + ": promised capacity does not match the sum of grants";
    if (!covers(part.size, part.promised))
      return "team " + team + ": promised capacity exceeds the size of the part";
  }
  return {};
}

}  // namespace robinford::quota
