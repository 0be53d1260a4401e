#include "coordination/election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
namespace json = boost::json;
using bookkeeping::kLeaderKey;
using bookkeeping::kTermKey;
using bookkeeping::StateClient;
using bookkeeping::StateRead;
using bookkeeping::WatchResult;
using protocol::CallResult;
using protocol::count_field;

const char* to_text(Role role) {
  switch (role) {
    case Role::kDiscovering:
      return "discovering";
    case Role::kFollowing:
      return "following";
    case Role::kCampaigning:
      return "campaigning";
    case Role::kLeading:
      return "leading";
    case Role::kDegraded:
      return "degraded";
  }
  return "?";
}

Election::Election(ControllerContext& context, Events events)
    : context_(context), events_(std::move(events)), former_leaders_(context) {}

// ---------------------------------------------------------------- permissions of this controller

bool Election::valid() const { return role_ == Role::kLeading && context_.now.steady < valid_until_; }

bool Election::owns_fencing_token() const {
  return leads(role_) &&
         context_.now.steady < last_renewal_sent_at_ + c::kDegradedAnswerMaxS * (1 - c::kClockDrift);
}

bool Election::may_answer_heartbeats() const {
  const double now = context_.now.steady;
  const auto& cancellations = context_.cancellations;
  if (!owns_fencing_token()) return false;
  // In strict mode, only a valid leader announces cancellations, and only once every former leader has
  // stopped answering heartbeats. A leader stops at the latest one answer window after it sent its last
  // successful renewal.
  if (cancellations.only_leader_announces())
    return now < last_renewal_sent_at_ + cancellations.heartbeat_answer_window_s() * (1 - c::kClockDrift);
  return now < cancellations.known_up_to(now) + cancellations.heartbeat_answer_window_s();
}

bool Election::caught_up_on_cancellations() const {
  const auto& cancellations = context_.cancellations;
  const double known = cancellations.change_log_read_up_to();
  if (known < leading_since_) return false;
  return cancellations.only_leader_announces() ||
         context_.now.steady < known + cancellations.heartbeat_answer_window_s() / 2;
}

bool Election::may_announce_cancellation(protocol::JobId id) const {
  auto& cancellations = context_.cancellations;
  // A valid leader knows its own announcements. That former leaders may lack them in memory does not matter:
  // none of them is valid, so none starts work or answers users from its ledger. In strict mode the leader
  // also waits until no former leader answers heartbeats.
  if (valid())
    return !cancellations.only_leader_announces() || context_.now.steady >= former_leaders_stopped_at();
  return !cancellations.only_leader_announces() && cancellations.acknowledged_by_all(id, context_.now.steady);
}

// ---------------------------------------------------------------- role changes

void Election::become(Role role) {
  if (role_ == role) return;
  spdlog::info("leadership: {} -> {} (term {})", to_text(role_), to_text(role), term_);
  const bool led = leads(role_);
  const bool leads_now = leads(role);
  if (role == Role::kLeading) leading_since_ = context_.now.steady;
  role_ = role;
  ++role_changes_;
  call_in_flight_ = false;
  if (leads_now && !led) events_.elected();
  if (led && !leads_now) events_.lost();
  if (leads_now && led) events_.degraded(role == Role::kDegraded);
}

void Election::retry_in(double pause_s) {
  next_attempt_at_ = context_.now.steady + pause_s;
  become(Role::kDiscovering);
}

void Election::step_down(const char* reason) {
  if (!leads(role_)) return;
  spdlog::info("leadership: term {} ended: {}", term_, reason);
  leader_.clear();
  lease_ = 0;
  valid_until_ = -1e9;
  retry_in(0);
}

void Election::on_state_diverged() { step_down("the in-memory state may differ from the key-value store"); }

void Election::higher_term_seen(std::uint64_t term) {
  if (term <= term_) return;
  step_down("a message carried a higher term");
  term_ = term;
}

void Election::resign() {
  if (!leads(role_)) return;
  context_.state.revoke_lease(lease_);
  step_down("this process is shutting down");
  next_attempt_at_ = context_.now.steady + 1e9;  // a process that shuts down does not campaign
}

void Election::on_status(const protocol::PeerMessage& status) {
  // A leading controller also accepts the term of a peer that does not lead: that peer has seen a later
  // leader, whose term may have ended already.
  if (status.leading || leads(role_)) higher_term_seen(status.term);
  if (role_ == Role::kLeading) former_leaders_.on_status(status, term_);
}

void Election::tick() {
  const double now = context_.now.steady;
  switch (role_) {
    case Role::kDiscovering:
      if (!call_in_flight_ && now >= next_attempt_at_) read_leader_key();
      break;
    case Role::kFollowing:
    case Role::kCampaigning:
      break;
    case Role::kLeading:
      if (now >= valid_until_) become(Role::kDegraded);
      [[fallthrough]];
    case Role::kDegraded:
      if (!owns_fencing_token())
        step_down("the lease was not renewed within the time limit of a degraded leader");
      else if (now >= next_attempt_at_)
        renew_lease();
      break;
  }
}

// ---------------------------------------------------------------- discovering and following

void Election::read_leader_key() {
  call_in_flight_ = true;
  next_attempt_at_ = context_.now.steady + c::kCampaignRetryS;
  context_.state.read(
      kLeaderKey,
      [this, role_changes = role_changes_](const StateRead& read) {
        if (role_changes == role_changes_) on_leader_key(read);
      },
      StateClient::Urgency::kFirst);
}

void Election::on_leader_key(const StateRead& read) {
  call_in_flight_ = false;
  if (read.found == StateRead::Found::kUnknown) return;
  if (read.found == StateRead::Found::kNo) {
    leader_.clear();
    start_campaign(0);
    return;
  }
  const LeaderRecord record = LeaderRecord::decode(read.value);
  if (record.member == context_.settings.member) {
    // An earlier process of this member wrote the key, or this process did: it stepped down and its lease has
    // not expired yet, or the transaction of an earlier campaign was applied late. No process leads under the
    // key, so a new campaign may replace it.
    start_campaign(read.mod_revision);
    return;
  }
  leader_ = record.member;
  term_ = std::max(term_, record.term);
  become(Role::kFollowing);
  watch_leader_key(read.mod_revision);
}

void Election::watch_leader_key(std::uint64_t after_revision) {
  context_.state.watch(kLeaderKey, after_revision,
                       [this, role_changes = role_changes_, after_revision](const WatchResult& watch) {
                         if (role_changes == role_changes_) on_leader_watch(after_revision, watch);
                       });
}

void Election::on_leader_watch(std::uint64_t after_revision, const WatchResult& watch) {
  bool gone = !watch.complete();
  for (const auto& event : watch.events) {
    if (event.key != kLeaderKey) continue;
    const LeaderRecord record = LeaderRecord::decode(event.value);
    gone = event.deleted || record.member == context_.settings.member;
    if (event.deleted) continue;
    leader_ = record.member;
    term_ = std::max(term_, record.term);
  }
  if (!gone) return watch_leader_key(std::max(after_revision, watch.revision));
  // All followers see the deletion of the leader key at about the same time. A short random delay makes it
  // unlikely that their campaigns collide.
  retry_in(watch.complete() ? context_.random_below(c::kCampaignJitterS) : c::kCampaignRetryS);
}

// ---------------------------------------------------------------- campaigning

void Election::start_campaign(std::uint64_t key_mod_revision) {
  become(Role::kCampaigning);
  Campaign campaign;
  campaign.key_mod_revision = key_mod_revision;
  campaign.lease_sent_at = context_.now.steady;
  context_.state.grant_lease(
      c::kLeaderTtlMs, [this, role_changes = role_changes_, campaign](const CallResult& result) mutable {
        if (role_changes != role_changes_) return;
        const auto value = protocol::parse_json(result.body);
        campaign.lease = value ? count_field(*value, n::kLease) : 0;
        if (result.status != 200 || campaign.lease == 0) return retry_in(c::kCampaignRetryS);
        read_term_record(campaign);
      });
}

void Election::read_term_record(Campaign campaign) {
  context_.state.read(
      kTermKey,
      [this, role_changes = role_changes_, campaign](const StateRead& read) mutable {
        if (role_changes != role_changes_) return;
        if (read.found == StateRead::Found::kUnknown) return retry_in(c::kCampaignRetryS);
        const TermRecord last = TermRecord::decode(read.value);
        former_leaders_.set_predecessor(last);
        campaign.term_mod_revision = read.mod_revision;
        campaign.term = last.term + 1;
        write_leader_key(campaign);
      },
      StateClient::Urgency::kFirst);
}

void Election::write_leader_key(const Campaign& campaign) {
  TermRecord term;
  term.member = context_.settings.member;
  term.incarnation = context_.incarnation;
  term.term = campaign.term;
  term.unanswered_recorded_since_term = former_leaders_.unanswered_recorded_since_term();
  term.former_stopped_wall_ms = former_leaders_.stopped_wall_ms();
  term.answer_ms =
      static_cast<std::int64_t>(std::ceil(context_.cancellations.heartbeat_answer_window_s() * 1000));
  const LeaderRecord leader{term.member, term.incarnation, term.term};
  json::array conditions{{{n::kKey, kLeaderKey}, {n::kModRevision, campaign.key_mod_revision}},
                         {{n::kKey, kTermKey}, {n::kModRevision, campaign.term_mod_revision}}};
  json::array changes{{{n::kPut, kLeaderKey}, {n::kValue, leader.encode()}, {n::kLease, campaign.lease}},
                      {{n::kPut, kTermKey}, {n::kValue, term.encode()}}};
  json::object body;
  body[n::kConditions] = std::move(conditions);
  body[n::kOperations] = std::move(changes);
  context_.state.call(StateClient::Urgency::kLease, "POST", n::kPathTxn, json::serialize(body), 2,
                      c::kLeaderLeaseCallTimeoutS,
                      [this, role_changes = role_changes_, campaign](const CallResult& result) {
                        if (role_changes == role_changes_) on_leader_key_written(campaign, result);
                      });
}

void Election::on_leader_key_written(const Campaign& campaign, const CallResult& result) {
  const auto value = protocol::parse_json(result.body);
  if (result.status == 200 && value) return begin_term(campaign, count_field(*value, n::kRevision));
  const bool lost = result.status == 409;
  const bool refused = result.status == 429 || result.status == 503 || result.status == 400;
  if (!lost && !refused) return resolve_campaign(campaign);
  context_.state.revoke_lease(campaign.lease);
  retry_in(lost ? 0.0 : c::kCampaignRetryS);
}

// Reads the leader key after the campaign's transaction got no conclusive answer: only the key shows whether
// the transaction was applied.
void Election::resolve_campaign(const Campaign& campaign) {
  context_.state.read(
      kLeaderKey,
      [this, role_changes = role_changes_, campaign](const StateRead& read) {
        if (role_changes != role_changes_) return;
        const LeaderRecord record = LeaderRecord::decode(read.value);
        if (read.found == StateRead::Found::kYes && record.member == context_.settings.member &&
            record.incarnation == context_.incarnation && record.term == campaign.term)
          return begin_term(campaign, read.mod_revision);
        // The transaction has not been applied, or not yet. The lease is left to expire. If the transaction
        // is applied later, the key names this member, and the next campaign replaces it.
        retry_in(c::kCampaignRetryS);
      },
      StateClient::Urgency::kFirst);
}

void Election::begin_term(const Campaign& campaign, std::uint64_t key_mod_revision) {
  lease_ = campaign.lease;
  term_ = campaign.term;
  mod_revision_ = key_mod_revision;
  leader_ = context_.settings.member;
  last_renewal_sent_at_ = campaign.lease_sent_at;
  valid_until_ = lease_valid_until();
  next_attempt_at_ = campaign.lease_sent_at + c::kLeaderRenewIntervalS;
  former_leaders_.on_term_begun();
  become(Role::kLeading);
}

// ---------------------------------------------------------------- leader lease

double Election::lease_valid_until() const {
  return last_renewal_sent_at_ + c::kLeaderTtlMs / 1000.0 * (1 - c::kClockDrift) - c::kLeaderLeaseMarginS;
}

void Election::renew_lease() {
  const double sent_at = context_.now.steady;
  next_attempt_at_ = sent_at + c::kLeaderRenewIntervalS;
  context_.state.renew_lease(lease_, [this, lease = lease_, sent_at](const CallResult& result) {
    if (lease != lease_ || !leads(role_)) return;
    if (result.status == 200) return on_renewed(sent_at);
    if (result.status == 404) step_down("the lease has expired");
  });
}

void Election::on_renewed(double sent_at) {
  last_renewal_sent_at_ = std::max(last_renewal_sent_at_, sent_at);
  context_.cancellations.on_leader_key_renewed(sent_at);
  valid_until_ = lease_valid_until();
  if (role_ == Role::kDegraded && context_.now.steady < valid_until_) become(Role::kLeading);
}

}  // namespace robinford::coordination
