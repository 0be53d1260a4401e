#include "coordination/election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
namespace json = boost::json;
using bookkeeping::StateClient;
using bookkeeping::StateRead;
using protocol::CallResult;
using protocol::count_field;

namespace {

using bookkeeping::kLeaderKey;
using bookkeeping::kTermKey;
constexpr char kMember[] = "member";
constexpr char kIncarnation[] = "inc";
constexpr char kTerm[] = "term";
constexpr char kAnswers[] =
    "answers";  // ms for which that leader answers heartbeats, once another is elected
constexpr char kRecordsSince[] =
    "records_since";                // first term whose leader and all later ones record launch zones
constexpr char kQuiet[] = "quiet";  // wall ms when all leaders before the one named are surely unresponsive

std::string text(const json::value& value, const char* key) {
  if (!value.is_object()) return {};
  const auto* found = value.get_object().if_contains(key);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

}  // namespace

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
    : context_(context), events_(std::move(events)) {}

bool Election::valid() const { return role_ == Role::kLeading && context_.now.steady < valid_until_; }

bool Election::owns_fencing_token() const {
  return (role_ == Role::kLeading || role_ == Role::kDegraded) &&
         context_.now.steady < last_renewed_ + c::kDegradedBoundS * (1 - c::kClockDrift);
}

bool Election::answers() const {
  const double now = context_.now.steady;
  const auto& cancellations = context_.cancellations;
  if (!owns_fencing_token()) return false;
  // Where leases and cancellations are too close together, nobody tells before this bound has passed.
  if (cancellations.strict()) return now < last_renewed_ + cancellations.answer_s() * (1 - c::kClockDrift);
  return now < cancellations.known_up_to(now) + cancellations.answer_s();
}

void Election::become(Role role) {
  if (role_ == role) return;
  spdlog::info("leadership: {} -> {} (term {})", to_text(role_), to_text(role), term_);
  const bool was_leader = role_ == Role::kLeading || role_ == Role::kDegraded;
  const bool is_leader = role == Role::kLeading || role == Role::kDegraded;
  if (role == Role::kLeading) leading_since_ = context_.now.steady;
  role_ = role;
  ++epoch_;
  busy_ = false;
  if (is_leader && !was_leader) events_.elected();
  if (was_leader && !is_leader) events_.lost();
  if (is_leader && was_leader) events_.degraded(role == Role::kDegraded);
}

void Election::tick() {
  const double now = context_.now.steady;
  switch (role_) {
    case Role::kDiscovering:
      if (!busy_ && now >= next_try_) look();
      break;
    case Role::kFollowing:
    case Role::kCampaigning:
      break;
    case Role::kLeading:
      if (now >= valid_until_) become(Role::kDegraded);
      [[fallthrough]];
    case Role::kDegraded:
      if (!owns_fencing_token()) {
        step_down("the degraded leader's bound is reached");
        break;
      }
      if (now >= next_try_) renew();
      break;
  }
}

void Election::look() {
  busy_ = true;
  next_try_ = context_.now.steady + c::kClaimRetryS;
  context_.state.read(
      kLeaderKey,
      [this, epoch = epoch_](const StateRead& read) {
        if (epoch != epoch_) return;
        busy_ = false;
        if (read.found == StateRead::Found::kUnknown) return;
        if (read.found == StateRead::Found::kNo) {
          leader_.clear();
          claim(0);
          return;
        }
        const std::string member = text(read.value, kMember);
        if (member == context_.settings.member) {
          // Our own name, from an earlier process or a claim that was carried out late: nobody else acts
          // under it.
          claim(read.mod_revision);
          return;
        }
        leader_ = member;
        term_ = std::max(term_, count_field(read.value, kTerm));
        become(Role::kFollowing);
        follow(read.mod_revision);
      },
      StateClient::Urgency::kFirst);
}

void Election::follow(std::uint64_t after) {
  context_.state.watch(
      kLeaderKey, after, [this, epoch = epoch_, after](const bookkeeping::WatchResult& watch) {
        if (epoch != epoch_) return;
        bool gone = !watch.complete();
        for (const auto& event : watch.events) {
          if (event.key != kLeaderKey) continue;
          gone = event.deleted || text(event.value, kMember) == context_.settings.member;
          if (!event.deleted) {
            leader_ = text(event.value, kMember);
            term_ = std::max(term_, count_field(event.value, kTerm));
          }
        }
        if (gone) {
          // Two followers wake at the same moment; a short random wait lets one be first.
          next_try_ =
              context_.now.steady + (watch.complete() ? context_.draw(c::kClaimJitterS) : c::kClaimRetryS);
          become(Role::kDiscovering);
        } else {
          follow(std::max(after, watch.revision));
        }
      });
}

void Election::claim(std::uint64_t expected_mod_revision) {
  become(Role::kCampaigning);
  const double sent = context_.now.steady;
  json::object body;
  body[n::kTtlMs] = c::kLeaderTtlMs;
  context_.state.call(StateClient::Urgency::kLease, "POST", n::kPathLeases, json::serialize(body), 0,
                      c::kRenewTimeoutS,
                      [this, epoch = epoch_, expected_mod_revision, sent](const CallResult& result) {
                        if (epoch != epoch_) return;
                        const auto value = protocol::parse_json(result.body);
                        const std::uint64_t lease = value ? count_field(*value, n::kLease) : 0;
                        if (result.status != 200 || lease == 0) {
                          next_try_ = context_.now.steady + c::kClaimRetryS;
                          become(Role::kDiscovering);
                          return;
                        }
                        read_term(expected_mod_revision, lease, sent);
                      });
}

void Election::read_term(std::uint64_t expected_mod_revision, std::uint64_t lease, double sent) {
  context_.state.read(
      kTermKey,
      [this, epoch = epoch_, expected_mod_revision, lease, sent](const StateRead& read) {
        if (epoch != epoch_) return;
        if (read.found == StateRead::Found::kUnknown) {
          next_try_ = context_.now.steady + c::kClaimRetryS;
          become(Role::kDiscovering);
          return;
        }
        former_ = text(read.value, kMember);
        former_incarnation_ = count_field(read.value, kIncarnation);
        // An older build says nothing, and goes by its own bound.
        former_answer_s_ = read.value.is_object() && read.value.get_object().contains(kAnswers)
                               ? static_cast<double>(count_field(read.value, kAnswers)) / 1000
                               : c::kDegradedBoundS;
        // An older build answers without regard to such records: the count begins anew with us.
        const auto records_since = count_field(read.value, kRecordsSince);
        records_since_ = records_since > 0 ? records_since : count_field(read.value, kTerm) + 1;
        chain_wall_ = static_cast<std::int64_t>(count_field(read.value, kQuiet));
        write_claim(expected_mod_revision, lease, sent, read.mod_revision,
                    count_field(read.value, kTerm) + 1);
      },
      StateClient::Urgency::kFirst);
}

json::object Election::term_record(std::uint64_t term, std::int64_t quiet_wall) const {
  json::object record;
  record[kMember] = context_.settings.member;
  record[kIncarnation] = context_.incarnation;
  record[kTerm] = term;
  record[kRecordsSince] = records_since_;
  record[kQuiet] = quiet_wall;
  record[kAnswers] = static_cast<std::int64_t>(std::ceil(context_.cancellations.answer_s() * 1000));
  return record;
}

void Election::write_claim(std::uint64_t expected_mod_revision, std::uint64_t lease, double sent,
                           std::uint64_t term_mod_revision, std::uint64_t next_term) {
  const bool former_was_us = former_.empty() || former_ == context_.settings.member;
  const auto bound_wall =
      context_.now.wall_ms +
      static_cast<std::int64_t>(former_answer_s_ * 1000 + 2 * context_.settings.clock_error_ms);
  const std::int64_t quiet_wall = former_was_us ? chain_wall_ : std::max(chain_wall_, bound_wall);
  json::object lead;
  lead[kMember] = context_.settings.member;
  lead[kIncarnation] = context_.incarnation;
  lead[kTerm] = next_term;
  json::array conditions{{{n::kKey, kLeaderKey}, {n::kModRevision, expected_mod_revision}},
                         {{n::kKey, kTermKey}, {n::kModRevision, term_mod_revision}}};
  json::array changes{{{n::kPut, kLeaderKey}, {n::kValue, lead}, {n::kLease, lease}},
                      {{n::kPut, kTermKey}, {n::kValue, term_record(next_term, quiet_wall)}}};
  json::object body;
  body[n::kConditions] = std::move(conditions);
  body[n::kOperations] = std::move(changes);
  context_.state.call(StateClient::Urgency::kLease, "POST", n::kPathTxn, json::serialize(body), 2,
                      c::kRenewTimeoutS,
                      [this, epoch = epoch_, lease, sent, next_term](const CallResult& result) {
                        if (epoch != epoch_) return;
                        const auto value = protocol::parse_json(result.body);
                        if (result.status == 200 && value) {
                          won(lease, sent, next_term, count_field(*value, n::kRevision));
                        } else if (result.status == 409 || result.status == 429 || result.status == 503 ||
                                   result.status == 400) {
                          context_.state.call(StateClient::Urgency::kLease, "DELETE",
                                              std::string(n::kPathLeases) + "/" + std::to_string(lease), "",
                                              0, c::kRenewTimeoutS, [](const CallResult&) {});
                          next_try_ = context_.now.steady + (result.status == 409 ? 0.0 : c::kClaimRetryS);
                          become(Role::kDiscovering);
                        } else {
                          settle_claim(lease, sent, next_term);
                        }
                      });
}

// The claim went unanswered: only the key itself tells whether it was carried out.
void Election::settle_claim(std::uint64_t lease, double sent, std::uint64_t next_term) {
  context_.state.read(
      kLeaderKey,
      [this, epoch = epoch_, lease, sent, next_term](const StateRead& read) {
        if (epoch != epoch_) return;
        if (read.found == StateRead::Found::kYes && text(read.value, kMember) == context_.settings.member &&
            count_field(read.value, kIncarnation) == context_.incarnation &&
            count_field(read.value, kTerm) == next_term) {
          won(lease, sent, next_term, read.mod_revision);
          return;
        }
        // Not (yet): the lease is left to run out. A claim carried out later stands under our own name and is
        // replaced.
        next_try_ = context_.now.steady + c::kClaimRetryS;
        become(Role::kDiscovering);
      },
      StateClient::Urgency::kFirst);
}

void Election::won(std::uint64_t lease, double sent, std::uint64_t next_term, std::uint64_t mod_revision) {
  const double now = context_.now.steady;
  lease_ = lease;
  term_ = next_term;
  mod_revision_ = mod_revision;
  leader_ = context_.settings.member;
  last_renewed_ = sent;
  valid_until_ = sent + c::kLeaderTtlMs / 1000.0 * (1 - c::kClockDrift) - c::kValidityMarginS;
  next_try_ = sent + c::kRenewEveryS;
  const bool former_was_us = former_.empty() || former_ == context_.settings.member;
  former_stopped_at_ = former_was_us ? now : now + former_answer_s_ * (1 + 2 * c::kClockDrift);
  all_former_stopped_at_ =
      chain_wall_ == 0 ? now
                       : now + std::max(0.0, (static_cast<double>(chain_wall_ - context_.now.wall_ms) +
                                              context_.settings.clock_error_ms) /
                                                 1000.0);
  become(Role::kLeading);
}

void Election::renew() {
  const double sent = context_.now.steady;
  next_try_ = sent + c::kRenewEveryS;
  context_.state.call(StateClient::Urgency::kLease, "POST",
                      std::string(n::kPathLeases) + "/" + std::to_string(lease_) + n::kPathRenew, "", 0,
                      c::kRenewTimeoutS, [this, lease = lease_, sent](const CallResult& result) {
                        if (lease != lease_ || (role_ != Role::kLeading && role_ != Role::kDegraded)) return;
                        if (result.status == 200) {
                          last_renewed_ = std::max(last_renewed_, sent);
                          context_.cancellations.renewed(sent);
                          valid_until_ = last_renewed_ + c::kLeaderTtlMs / 1000.0 * (1 - c::kClockDrift) -
                                         c::kValidityMarginS;
                          if (role_ == Role::kDegraded && context_.now.steady < valid_until_)
                            become(Role::kLeading);
                        } else if (result.status == 404) {
                          step_down("the lease is over");
                        }
                      });
}

bool Election::caught_up() const {
  const double known = context_.cancellations.read_up_to();
  return known >= leading_since_ && (context_.cancellations.strict() ||
                                     context_.now.steady < known + context_.cancellations.answer_s() / 2);
}

bool Election::may_announce_cancellation(protocol::JobId id) const {
  // The leader's in-memory state knows it. Its former leader's do not matter: they are not valid any more.
  if (valid()) return !context_.cancellations.strict() || context_.now.steady >= former_leaders_stopped_at();
  return !context_.cancellations.strict() &&
         context_.cancellations.acknowledged_by_all(id, context_.now.steady);
}

void Election::step_down(const char* why) {
  if (role_ != Role::kLeading && role_ != Role::kDegraded) return;
  spdlog::info("leadership: term {} ends here: {}", term_, why);
  leader_.clear();
  lease_ = 0;
  valid_until_ = -1e9;
  next_try_ = context_.now.steady;
  become(Role::kDiscovering);
}

void Election::guard_lost() { step_down("the leader key was changed"); }

void Election::higher_term_seen(std::uint64_t term) {
  if (term <= term_) return;
  step_down("a higher term was seen");
  term_ = term;
}

void Election::resign() {
  if (role_ != Role::kLeading && role_ != Role::kDegraded) return;
  context_.state.call(StateClient::Urgency::kLease, "DELETE",
                      std::string(n::kPathLeases) + "/" + std::to_string(lease_), "", 0, c::kRenewTimeoutS,
                      [](const CallResult&) {});
  step_down("termination requested");
  next_try_ = context_.now.steady + 1e9;  // an ending process claims nothing
}

void Election::on_status(const protocol::PeerMessage& status) {
  // Also from one that does not lead: it knows of a leader after us, which may be gone already.
  if (status.leading || role_ == Role::kLeading || role_ == Role::kDegraded) higher_term_seen(status.term);
  if (role_ != Role::kLeading || status.member != former_) return;
  if (context_.now.steady >= former_stopped_at_) return;
  // Late messages of a still older process must not pass for a newer one, so the start times must differ by
  // more than the clock's error.
  const auto started = [](std::uint64_t incarnation) {
    return static_cast<double>(incarnation >> c::kIncarnationBits);
  };
  if (started(status.incarnation) > started(former_incarnation_) + 2 * context_.settings.clock_error_ms)
    former_is_over("it was started anew");
  else if (status.incarnation == former_incarnation_ && status.term >= term_ && !status.leading)
    former_is_over("it knows the new term");
}

void Election::former_is_over(const char* how) {
  former_stopped_at_ = context_.now.steady;
  spdlog::info("leadership: the former leader {} has ended: {}", former_, how);
}

}  // namespace robinford::coordination
