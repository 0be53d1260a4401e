/// @file
/// Tracks which cancellations this controller has announced to the others before it reports them to users,
/// and up to which time it is certain to know the announcements of all controllers. This limits how long a
/// leader answers heartbeats: docs/design.md, "Cancellations".
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coordination/routing/announcement_log.hpp"
#include "protocol/peer_codec.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

/// Owns the log of this process's announcements. For each other member it tracks which of that member's
/// announcements are known here, and which of this process's announcements that member has acknowledged. All
/// times are seconds of the steady clock.
///
/// Invariant: while this controller leads, it knows every cancellation that any controller announced before
/// `known_up_to`. Two events advance that time. A complete read of the change log advances it to the start of
/// the read, but not beyond the time at which the last successful renewal of the leader key was sent. Echoes
/// advance it once every member has echoed a probe while all that it had announced was known here: then to
/// the earliest sending time of these probes.
class Cancellations {
 public:
  explicit Cancellations(const protocol::Settings& settings);

  // ---- announcements of this controller ----
  /// Adds a job to the log, before a user is told that it is cancelled. Returns true if the job is a new
  /// entry, which the caller then has to send to the other controllers.
  bool record_announcement(protocol::JobId id);
  /// Returns the number of cancellations that this process has announced.
  std::uint64_t announced() const { return log_.last_number(); }
  /// Returns whether no other controller can still answer from in-memory state that lacks the cancellation.
  /// For each of them, either it has acknowledged the announcement, or this member, including its earlier
  /// processes, last echoed its probe so long ago that it no longer regards its in-memory state as current.
  bool acknowledged_by_all(protocol::JobId id, double now);
  /// Returns a message with announcements that `member` has not acknowledged; empty if there are none.
  std::optional<protocol::PeerMessage> unacknowledged(const std::string& member) const;
  /// Adds this controller's announcement counters to a status for `member`, together with a new probe and the
  /// echo of that member's last probe.
  void fill_status(const std::string& member, double now, protocol::PeerMessage& status);

  // ---- announcements of others ----
  /// Handles a message of kind kCancellationsAnnounced, after the caller has applied the cancellations in it.
  void apply_announcements(const protocol::PeerMessage& message);
  /// Handles the fields of another member's status that `fill_status` wrote there.
  void apply_peer_status(const protocol::PeerMessage& status, std::uint64_t own_incarnation);

  // ---- confirmation by the state service ----
  /// Called when this controller becomes the leader: discards all earlier confirmations.
  void begin_leadership();
  /// Called when this controller stops being the leader.
  void end_leadership();
  /// Called when a read of the whole change log begins.
  void on_change_log_read_started(double now);
  /// Called when the read of the change log is complete; `renewed` is the time at which the last confirmed
  /// renewal of the leader key was sent.
  void on_change_log_read_finished(double renewed);
  /// Called when a renewal of the leader key that was sent at `sent` has succeeded.
  void on_leader_key_renewed(double sent);

  /// Returns the time before which every announced cancellation is certain to be known here. Valid only while
  /// this controller leads.
  double known_up_to(double now) const;
  /// Returns when the last complete read of the change log began.
  double change_log_read_up_to() const { return last_read_started_at_; }
  /// Returns whether this leader may answer from its in-memory state: each other member has echoed a probe
  /// that was sent less than `kInMemoryStateFreshS` ago, and everything that it had announced when it sent
  /// the echo is known here.
  bool is_in_memory_state_current(double now) const;

  // ---- limits on answering heartbeats ----
  /// Returns how long after `known_up_to` a heartbeat may be answered.
  double heartbeat_answer_window_s() const { return heartbeat_answer_window_s_; }
  /// Returns whether the cancellation deadline exceeds the lease by too little time to tolerate any lag of
  /// the in-memory state. Then only the leader announces cancellations, and only once no former leader can
  /// still be answering heartbeats.
  bool only_leader_announces() const { return only_leader_announces_; }

 private:
  static constexpr double kNever = -1e9;
  /// State of another member. The counters refer to its current process.
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t announced = 0;  ///< how many cancellations it says that it has announced
    std::uint64_t known = 0;  ///< number up to which its announcements are known or, by a follower, skipped
    bool announcements_contiguous = false;  ///< while this controller leads: those up to `known` and of its
                                            ///< earlier processes are known here
    double known_at = kNever;               ///< time up to which all its announcements are known here
    std::uint64_t probe = 0;                ///< its last probe, to be echoed in the next status
    double last_echo_sent_at = kNever;      ///< when this process last sent it a status that echoes its probe
    std::uint64_t acknowledged = 0;         ///< number up to which it knows the announcements of this process
  };
  /// Number of announcements of one process when a read of the change log began.
  struct AnnouncedCount {
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0;
  };
  /// What the other members had announced when a read of the change log began.
  struct Snapshot {
    double at = 0;                                 ///< when the read began
    std::map<std::string, AnnouncedCount> counts;  ///< by member
  };

  void set_started_at_once(double now);
  Peer& peer_for_process(const protocol::PeerMessage& message);
  bool is_from_earlier_process(const protocol::PeerMessage& message) const;
  void advance_confirmed_time(double renewed);

  double clock_error_s_ = 0;
  double heartbeat_answer_window_s_ = 0;
  bool only_leader_announces_ = false;
  bool leading_ = false;
  std::optional<double> started_at_;  ///< earlier processes of this member may have sent echoes until then
  AnnouncementLog log_;
  std::map<std::string, Peer> peers_;
  double last_read_started_at_ = kNever;      ///< when the last complete read of the change log began
  double confirmed_up_to_ = kNever;           ///< the part of `known_up_to` that the state service confirms
  std::optional<Snapshot> open_read_;         ///< for the read of the change log in progress
  std::optional<Snapshot> unconfirmed_read_;  ///< for a complete read that awaits a renewal of the leader key
};

}  // namespace robinford::coordination
