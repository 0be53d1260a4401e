// The lessor's message handling, periodic work and placement check. Recall and growth of parts are in
// lessor_balance.cpp, durable records in lessor_records.cpp.
#include "quota/lessor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace robinford::quota {
namespace c = constants;

const char* to_text(LessorState state) {
  switch (state) {
    case LessorState::kIdle:
      return "idle";
    case LessorState::kLoading:
      return "loading";
    case LessorState::kServing:
      return "serving";
  }
  return "?";
}

Lessor::Lessor(const protocol::Settings& settings, const LeaseOptions& options, LeaderAccounts ledgers)
    : settings_(settings),
      options_(options),
      leader_accounts_(std::move(ledgers)),
      write_budget_(settings.state_write_rps * options.write_share,
                    std::max(1.0, settings.state_write_rps * options.write_share)) {}

void Lessor::set_state(LessorState state) {
  if (state_ == state) return;
  spdlog::info("quota leases: {} -> {}", to_text(state_), to_text(state));
  state_ = state;
}

// ---------------------------------------------------------------- leadership

void Lessor::begin(std::uint64_t term, double now) {
  term_ = term;
  epochs_ = 0;
  now_ = now;
  unreadable_until_ = -1e9;
  ledger_.clear();
  claims_.clear();
  records_.clear();
  members_to_notify_.clear();
  recalled_teams_.clear();
  teams_over_limit_.clear();
  reload_needed_ = true;
  set_state(LessorState::kLoading);
}

void Lessor::end() {
  set_state(LessorState::kIdle);
  ledger_.clear();
  claims_.clear();
  records_.clear();
  members_to_notify_.clear();
  reload_needed_ = false;
}

std::uint64_t Lessor::next_epoch() { return (term_ << c::kAttemptCounterBits) | ++epochs_; }

// The time after which a lease last renewed by a reply sent at `now` is no longer valid at the lessee, within
// the allowed drift of both clocks.
double Lessor::lease_end(double now) const {
  return now + options_.ttl_s * (1 + c::kClockDrift) + c::kLeaseMarginS;
}

Lessor::TeamLimit Lessor::limit_of(const std::string& team) const {
  const auto* known = settings_.team(team);
  if (known == nullptr) return {};  // not in the settings: no capacity may be leased
  TeamLimit limit;
  limit.unlimited = known->cpus_max >= c::kAmountMax;
  limit.guarantee = rounded_down(known->cpus, known->gpus);
  limit.limit = rounded_down(known->cpus_max, known->gpus_max);
  return limit;
}

Amount Lessor::available(const std::string& team) const {
  return limit_of(team).limit - leader_accounts_.used(team) - ledger_.exposure(team);
}

// ---------------------------------------------------------------- lessees

LeaseEntry& Lessor::open_lease(const std::string& member, std::uint64_t incarnation, double now) {
  ++counters_.leases_opened;
  auto& lease = ledger_.open(member, next_epoch(), incarnation, lease_end(now));
  spdlog::info("quota lease {} opened for {}", lease.epoch, member);
  return lease;
}

void Lessor::close_lease(const std::string& member, const char* why, double now) {
  spdlog::info("quota lease {} of {} closed: {}", ledger_.find(member)->epoch, member, why);
  ledger_.close(member);
  write_all_records(member, now + c::kLazyRecordWriteS);
}

// Whether the lessee can no longer grant from this lease, because its process was restarted or it holds a
// later lease. A lower epoch does not show that: the message may be a delayed duplicate. Such a message does
// not renew the lease either.
bool Lessor::is_superseded(const LeaseEntry& lease, std::uint64_t incarnation, std::uint64_t epoch) {
  return incarnation != lease.incarnation || epoch > lease.epoch;
}

std::optional<LessorMessage> Lessor::handle_lessee_message(const std::string& member,
                                                           std::uint64_t incarnation,
                                                           const LesseeMessage& message, double now) {
  now_ = now;
  if (state_ != LessorState::kServing) return std::nullopt;
  auto* lease = ledger_.find(member);
  // A delayed message from an earlier process of the same member.
  if (lease != nullptr && incarnation < lease->incarnation) return std::nullopt;
  if (lease != nullptr && is_superseded(*lease, incarnation, message.epoch)) {
    ++counters_.leases_superseded;
    close_lease(member, "its holder has ended", now);
    lease = nullptr;
  }
  if (lease == nullptr) lease = &open_lease(member, incarnation, now);
  const bool same_incarnation =
      message.epoch == lease->epoch && message.lessor_incarnation == lessor_incarnation_;
  // A duplicate or reordered message. It must not reset the numbering of grants and refunds below: the two
  // sides would then number them differently and ignore each other's.
  if (message.probe != 0 && message.probe <= lease->last_probe) return std::nullopt;
  if (!same_incarnation) {
    if (message.probe == 0) return std::nullopt;
    // The lessee learns the epoch and the lessor incarnation from this reply and then resends its grants
    // under new numbers. The lease is not renewed until then.
    lease->last_probe = message.probe;
    lease->synchronized = false;
    lease->grants_taken = lease->refunds_made = 0;
    lease->refunds.clear();
    return message_to(member, 0);
  }
  lease->synchronized = true;
  ledger_.drop_acknowledged_refunds(*lease, message.refunds_taken);
  register_grants(member, *lease, message, now);
  if (message.with_parts) update_parts(member, *lease, message, now);
  if (message.probe == 0) return std::nullopt;
  lease->last_probe = message.probe;
  lease->ends_at = lease_end(now);
  members_to_notify_.erase(member);
  return message_to(member, message.probe);
}

void Lessor::register_grants(const std::string& member, LeaseEntry& lease, const LesseeMessage& message,
                             double now) {
  // Refused grants queue refunds, so a lessee that never acknowledges refunds would grow this queue without
  // bound. No further grants are registered while it is full.
  if (lease.refunds.size() >= c::kGrantsMax) return;
  for (const auto& new_grant : message.grants) {
    if (new_grant.number != lease.grants_taken + 1) continue;  // a duplicate, or an earlier grant is missing
    ++lease.grants_taken;
    const auto view = leader_accounts_.job(new_grant.job);
    const bool over = view.state == JobView::State::kOver;
    if (over || !ledger_.add_grant(member, new_grant, view.placed, now)) {
      ++counters_.grants_refused;
      ledger_.queue_refusal(member, new_grant);
      members_to_notify_.insert(member);
      continue;
    }
    ++counters_.grants_taken;
    claims_.drop_claim(new_grant.team, new_grant.job);
  }
}

void Lessor::update_parts(const std::string& member, LeaseEntry& lease, const LesseeMessage& message,
                          double now) {
  for (const auto& held : message.parts) {
    const auto found = lease.parts.find(held.team);
    if (found == lease.parts.end()) {
      if (held.demand.is_zero() || settings_.team(held.team) == nullptr) continue;
      auto& part = lease.parts[held.team];
      part.slice = record_number_for(member, held.team);
      part.demand = held.demand;
      continue;
    }
    auto& part = found->second;
    part.demand = held.demand;
    // With another revision, the reported size belongs to an earlier or later state of the part.
    if (held.revision != part.revision || !part.durable || held.size == part.size) continue;
    ledger_.shrink_part(member, held.team, held.size);
    write_record(member, part.slice, now + c::kLazyRecordWriteS);
  }
}

LessorMessage Lessor::message_to(const std::string& member, std::uint64_t probe) {
  const auto& lease = *ledger_.find(member);
  LessorMessage message;
  message.incarnation = lease.incarnation;
  message.lessor_incarnation = lessor_incarnation_;
  message.epoch = lease.epoch;
  message.probe = probe;
  message.grants_taken = lease.grants_taken;
  for (const auto& refund : lease.refunds) {
    if (message.refunds.size() >= c::kGrantsPerMessageMax) break;
    message.refunds.push_back(refund);
  }
  if (lease.synchronized)
    for (const auto& [team, part] : lease.parts)
      if (part.durable) message.parts.push_back({team, part.revision, part.size, part.keep});
  return message;
}

std::vector<std::pair<std::string, LessorMessage>> Lessor::take_messages() {
  std::vector<std::pair<std::string, LessorMessage>> messages;
  for (const auto& member : members_to_notify_) {
    const auto* lease = ledger_.find(member);
    if (lease != nullptr && lease->synchronized) messages.emplace_back(member, message_to(member, 0));
  }
  members_to_notify_.clear();
  return messages;
}

// ---------------------------------------------------------------- time

void Lessor::tick(double now) {
  now_ = now;
  if (state_ != LessorState::kServing) return;
  write_budget_.refill(now);
  expire_leases(now);
  if (now >= next_reconcile_) {
    next_reconcile_ = now + c::kSettleGrantsIntervalS;
    reconcile_grants(now);
    claims_.drop_stale(now);
    revoke_idle_grants(now);
    recall();
  }
  grow(now);
}

void Lessor::expire_leases(double now) {
  std::vector<std::string> over;
  for (const auto& [member, lease] : ledger_.leases())
    if (now > lease.ends_at) over.push_back(member);
  for (const auto& member : over) {
    ++counters_.leases_expired;
    close_lease(member, "it was not renewed", now);
  }
}

void Lessor::reconcile_grants(double now) {
  std::vector<protocol::JobId> jobs;
  for (const auto& [job, grant] : ledger_.grants()) jobs.push_back(job);
  for (const auto job : jobs) reconcile_grant(job, now);
}

// Refunds the tasks of a grant that the job no longer needs. Placed tasks stay granted until they have left
// their machines, because their capacity is in use until then.
void Lessor::reconcile_grant(protocol::JobId job, double now) {
  const auto view = leader_accounts_.job(job);
  const auto& grant = *ledger_.find_grant(job);
  std::uint32_t needed = 0;
  switch (view.state) {
    case JobView::State::kLive:
      ledger_.mark_job_live(job);
      needed = std::max(view.remaining, grant.placed);
      break;
    case JobView::State::kOver:
      needed = grant.placed;
      break;
    case JobView::State::kUnknown:
      // The job's submission may arrive after the grant, so the grant of a job not seen yet is kept for
      // kOrphanGrantS.
      if (!grant.job_was_live && now - grant.changed_at < c::kOrphanGrantS) return;
      needed = grant.placed;
      break;
  }
  if (needed >= grant.tasks) return;
  ++counters_.refunds;
  members_to_notify_.insert(grant.member);
  ledger_.refund(job, grant.tasks - needed);
}

// ---------------------------------------------------------------- launches

bool Lessor::permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
                     double kept_cpus) {
  if (state_ != LessorState::kServing || now_ < unreadable_until_) return false;
  const auto limit = limit_of(spec.team);
  if (limit.unlimited) return true;
  const Amount each = rounded_up(spec.cpus, spec.gpus);
  const Amount need = each * tasks;
  const auto nearest = [](double value) {
    return static_cast<std::int64_t>(std::llround(value * c::kThousandthsPerUnit));
  };
  const Amount used{nearest(used_cpus), nearest(used_gpus)};
  if (!covers(limit.limit - used, need)) return false;
  // Capacity granted to this job is already part of the exposure.
  const auto* grant = ledger_.find_grant(spec.id);
  Amount granted;
  if (grant != nullptr) granted = grant->each * std::min(tasks, grant->tasks - grant->covered());
  const Amount ungranted = positive(need - granted);
  if (ungranted.is_zero()) return true;
  const Amount promised_elsewhere{nearest(kept_cpus), 0};
  const Amount reserved = claims_.reserved_before(spec.team, spec.id);
  const Amount unleased = limit.limit - used - ledger_.exposure(spec.team);
  if (covers(unleased - larger(promised_elsewhere, reserved), ungranted)) {
    claims_.drop_claim(spec.team, spec.id);
    return true;
  }
  // The job would fit into the team's limit if nothing were leased (checked above). It therefore claims
  // leased capacity, unless it is held back only by capacity reserved for another gang.
  if (!covers(unleased - promised_elsewhere, ungranted)) {
    ++counters_.launches_refused;
    const Amount all = each * (spec.gang ? tasks : spec.tasks);
    claims_.record_claim(spec.team, spec.id, smaller(all, limit.limit - used), spec.gang, now_);
  }
  return false;
}

void Lessor::charged(const protocol::JobSpec& spec, std::uint32_t tasks) {
  ledger_.change_placed_tasks(spec.id, tasks, now_);
}

void Lessor::refunded(const protocol::JobSpec& spec, std::uint32_t tasks) {
  ledger_.change_placed_tasks(spec.id, -static_cast<std::int64_t>(tasks), now_);
}

Amount Lessor::exposure() const {
  Amount sum;
  for (const auto& team : settings_.teams) sum += ledger_.exposure(team.name);
  return sum;
}

Amount Lessor::idle_while_claimed() const {
  Amount sum;
  for (const auto& [team, claims] : claims_.teams())
    sum += smaller(claims_.total(team), positive(ledger_.exposure(team)));
  return sum;
}

std::string Lessor::audit() const {
  return state_ == LessorState::kServing ? ledger_.audit() : std::string{};
}

}  // namespace robinford::quota
