/// @file
/// Leader election: a key on a lease of the consensus-backed key-value store, and a term that only grows.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/former_leaders.hpp"
#include "coordination/election/leader_records.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// What this controller is in the election.
enum class Role : std::uint8_t {
  kDiscovering,  ///< reads who leads
  kFollowing,    ///< another controller leads; watches the leader key
  kCampaigning,  ///< takes a lease and writes the leader key
  kLeading,      ///< holds the leader key, and its lease is valid
  kDegraded,     ///< can't renew the lease nor learn why: answers heartbeats, changes nothing
};
/// The role as log lines name it.
const char* to_text(Role role);

/// The state machine of one controller in the election; `become` is the one place where its role changes.
///
/// Guarantees. At most one controller is `valid` at any time: a leader stops before its lease can expire by
/// its own clock, drift included. Each term is written by compare-and-swap, so no two leaders share one; it
/// is the fencing token of all commands. An answer that is lost, late or refused never makes a leader: a
/// campaign without an answer is resolved by reading the key.
///
/// A leader that loses the key-value store is degraded: it goes on answering heartbeats, within the bound of
/// docs/design.md, "Cancellations", so that running tasks keep their leases.
class Election {
 public:
  /// Called from within `become`, after the role has changed.
  struct Events {
    std::function<void()> elected;  ///< a term of this controller begins
    std::function<void()> lost;     ///< it has ended
    std::function<void(bool degraded)>
        degraded;  ///< to or from the degraded role, without an end of the term
  };
  /// `context` has to outlive it.
  Election(ControllerContext& context, Events events);

  /// Sends the call that is due in the present role.
  void tick();
  /// A status of another controller arrived.
  void on_status(const protocol::PeerMessage& status);
  /// A worker or another controller has seen this term.
  void higher_term_seen(std::uint64_t term);
  /// A transaction found the leader key changed.
  void on_state_diverged();
  /// Hands leadership over at a clean end of the process.
  void resign();

  /// The present role.
  Role role() const { return role_; }
  /// Of the own leadership, or the highest one seen.
  std::uint64_t term() const { return term_; }
  /// Of the leader key, while leading: what transactions of this term are conditional on.
  std::uint64_t mod_revision() const { return mod_revision_; }
  /// The member that leads, as far as is known; empty if unknown.
  const std::string& leader() const { return leader_; }
  /// Steady time at which the last renewal that was answered was sent.
  double last_renewal_sent_at() const { return last_renewal_sent_at_; }

  /// May place, launch and write.
  bool valid() const;
  /// The fencing token is ours, as far as can be known: commands may carry it. They renew no lease.
  bool owns_fencing_token() const;
  /// May answer heartbeats with the fencing token, which renews leases: only while every cancellation that
  /// any user was told of is known here, or was told so lately that the leases renewed now end in time.
  bool may_answer_heartbeats() const;
  /// The cancellations announced while this controller could not lead are known, so that work may start.
  /// Guards against the start of a job that was cancelled during an outage and whose change-log entry is not
  /// read yet.
  bool caught_up_on_cancellations() const;
  /// Whether a user may be told now that the job is cancelled: all its tasks then end in time, whichever
  /// controller answers heartbeats.
  bool may_announce_cancellation(protocol::JobId id) const;

  /// All leaders from this term on have put on record which machines they do not answer.
  std::uint64_t unanswered_recorded_since() const { return former_leaders_.unanswered_recorded_since(); }
  /// Steady time after which no former leader answers any heartbeat.
  double former_leaders_stopped_at() const { return former_leaders_.stopped_at(); }

 private:
  /// One attempt to lead. The key and the term record are written in one transaction, conditional on both.
  struct Campaign {
    std::uint64_t key_mod_revision = 0;   ///< that the leader key must have; 0: it must not exist
    std::uint64_t term_mod_revision = 0;  ///< that the term record must have
    std::uint64_t term = 0;               ///< to begin
    std::uint64_t lease = 0;
    double lease_sent_at = 0;  ///< steady time at which the lease was asked for: it began no earlier
  };

  bool leads(Role role) const { return role == Role::kLeading || role == Role::kDegraded; }
  void become(Role role);
  /// Back to discovering, with the next attempt after `pause_s`.
  void retry_in(double pause_s);
  void step_down(const char* reason);

  void read_leader_key();
  void on_leader_key(const bookkeeping::StateRead& read);
  void watch_leader_key(std::uint64_t after_revision);
  void on_leader_watch(std::uint64_t after_revision, const bookkeeping::WatchResult& watch);

  void start_campaign(std::uint64_t key_mod_revision);
  void read_term_record(Campaign campaign);
  void write_leader_key(const Campaign& campaign);
  void on_leader_key_written(const Campaign& campaign, const protocol::CallResult& result);
  void resolve_campaign(const Campaign& campaign);
  void begin_term(const Campaign& campaign, std::uint64_t key_mod_revision);

  void renew_lease();
  void on_renewed(double sent_at);
  void revoke_lease(std::uint64_t lease);
  double lease_valid_until() const;

  ControllerContext& context_;
  Events events_;
  FormerLeaders former_leaders_;
  Role role_ = Role::kDiscovering;
  std::uint64_t role_changes_ = 0;  ///< so that answers to calls of an earlier role are known as such
  bool call_in_flight_ = false;     ///< of the present role
  double next_attempt_at_ = 0;      ///< steady
  std::string leader_;
  std::uint64_t term_ = 0;
  std::uint64_t mod_revision_ = 0;
  std::uint64_t lease_ = 0;
  double valid_until_ = -1e9;           ///< steady
  double last_renewal_sent_at_ = -1e9;  ///< steady
  double leading_since_ = -1e9;         ///< steady, without a break
};

}  // namespace robinford::coordination
