/// @file
/// Leader election by a leased key in the consensus-backed key-value store and a term that only grows.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/former_leaders.hpp"
#include "coordination/election/leader_records.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Role of this controller in the election.
enum class Role : std::uint8_t {
  kDiscovering,  ///< reads the leader key to learn which member leads
  kFollowing,    ///< another controller leads; watches the leader key
  kCampaigning,  ///< acquires a lease and tries to write the leader key
  kLeading,      ///< won the leader key; `Election::valid` tells whether its lease still holds
  kDegraded,     ///< the lease was not renewed in time: answers heartbeats for a while, starts and writes
                 ///< nothing
};
/// Name of the role in log lines.
const char* to_text(Role role);

/// The election state machine of one controller. Only `become` changes its role.
///
/// Guarantees:
///  - At most one controller is `valid` at any time. A leader stops being valid before its lease can expire,
///    measured by its own clock with an allowance for clock drift.
///  - No two leaders share a term, since each term is written by compare-and-swap. The term is the fencing
///    token of all commands.
///  - A lost, late or refused answer never makes a controller leader. When the campaign's transaction gets no
///    conclusive answer, the controller reads the leader key to learn the outcome.
///
/// A leader that can't renew its lease in time, for instance because the key-value store is unreachable, is
/// degraded. It keeps answering heartbeats within the bound of docs/design.md, "Cancellations", so that
/// running tasks keep their leases.
class Election {
 public:
  /// Callbacks that `become` makes after it has changed the role.
  struct Events {
    std::function<void()> elected;  ///< this controller became the leader
    std::function<void()> lost;     ///< this controller's term has ended
    std::function<void(bool degraded)>
        degraded;  ///< leadership became degraded or recovered, within the same term
  };
  /// `context` must outlive this object.
  Election(ControllerContext& context, Events events);

  /// Performs the role's timed work: reads the leader key, renews the lease, degrades or steps down.
  void tick();
  /// Handles a status message from another controller.
  void on_status(const protocol::PeerMessage& status);
  /// Handles a term reported by a worker or another controller. If it is higher than `term`, adopts it and
  /// gives up leadership.
  void higher_term_seen(std::uint64_t term);
  /// Steps down because the in-memory state may differ from the key-value store, so that the next term starts
  /// from the stored records: another writer changed the leader key or a record that only the leader writes,
  /// or entries of the change log may have been missed.
  void on_state_diverged();
  /// Gives up leadership at a clean shutdown. Revokes the lease, so that another controller can lead at once.
  void resign();

  /// Current role.
  Role role() const { return role_; }
  /// The term that this controller leads in, or else the highest term it has adopted.
  std::uint64_t term() const { return term_; }
  /// Mod revision of the leader key while this controller leads. Transactions of this term require it.
  std::uint64_t mod_revision() const { return mod_revision_; }
  /// The member last known to lead; empty if unknown.
  const std::string& leader() const { return leader_; }
  /// Steady time at which the last successful renewal of the lease was sent, or, before the first renewal,
  /// the request for the lease.
  double last_renewal_sent_at() const { return last_renewal_sent_at_; }

  /// Whether this controller leads with an unexpired lease. A leader places tasks, starts work and writes
  /// durable records only while this holds; see `Scheduler::may_place` for what placing and starting work
  /// require in addition.
  bool valid() const;
  /// Whether this controller may still send commands with its term as fencing token: it leads, perhaps
  /// degraded, has seen no higher term, and its last successful renewal was sent recently enough. Such
  /// commands renew no worker's lease.
  bool owns_fencing_token() const;
  /// Whether this controller may answer heartbeats with its fencing token, which renews the workers' leases.
  /// It may while it owns the fencing token and knows every cancellation announced to a user, except those
  /// announced so recently that leases renewed now still expire before the cancellation is due.
  bool may_answer_heartbeats() const;
  /// Whether a complete read of the change log has begun since the role last became kLeading, also after a
  /// recovery from kDegraded. `Scheduler::may_place` requires this. Except in strict mode, the last such
  /// read must also have begun less than half of the answer window ago. Without this check, the controller
  /// could start a job that was cancelled during an outage and whose change-log entry it has not read yet.
  bool caught_up_on_cancellations() const;
  /// Whether a user may be told now that the job is cancelled. If so, all its tasks end in time, whichever
  /// controller answers heartbeats.
  bool may_announce_cancellation(protocol::JobId id) const;

  /// First term from which on every leader has recorded the machines whose heartbeats it does not answer.
  std::uint64_t unanswered_recorded_since_term() const {
    return former_leaders_.unanswered_recorded_since_term();
  }
  /// Steady time after which no former leader answers heartbeats.
  double former_leaders_stopped_at() const { return former_leaders_.stopped_at(); }

 private:
  /// One attempt to become leader. Leader key and term record are written in one transaction that requires
  /// the mod revisions below.
  struct Campaign {
    std::uint64_t key_mod_revision = 0;   ///< expected of the leader key; 0: the key must not exist
    std::uint64_t term_mod_revision = 0;  ///< expected of the term record
    std::uint64_t term = 0;               ///< the term to begin
    std::uint64_t lease = 0;
    double lease_sent_at = 0;  ///< steady time of the lease request: the lease began no earlier
  };

  bool leads(Role role) const { return role == Role::kLeading || role == Role::kDegraded; }
  void become(Role role);
  /// Returns to discovering; the next attempt is made after `pause_s`.
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
  double lease_valid_until() const;

  ControllerContext& context_;
  Events events_;
  FormerLeaders former_leaders_;
  Role role_ = Role::kDiscovering;
  std::uint64_t role_changes_ = 0;  ///< lets answers to calls of an earlier role be ignored
  bool call_in_flight_ = false;     ///< a read of the leader key in the current role
  double next_attempt_at_ = 0;      ///< steady time of the next read of the leader key or renewal
  std::string leader_;
  std::uint64_t term_ = 0;
  std::uint64_t mod_revision_ = 0;
  std::uint64_t lease_ = 0;
  double valid_until_ = -1e9;           ///< steady time
  double last_renewal_sent_at_ = -1e9;  ///< steady time
  double leading_since_ = -1e9;         ///< steady time at which the role last became kLeading
};

}  // namespace robinford::coordination
