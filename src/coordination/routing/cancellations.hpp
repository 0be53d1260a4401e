/// @file
/// Which cancellations were announced to users, and how far this controller surely knows of all that anybody
/// announced. It bounds how long a leader answers heartbeats: docs/design.md, "Cancellations".
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coordination/routing/announcement_log.hpp"
#include "protocol/peer_codec.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

/// Owns the announcements of this process, and for each other member what is known of the announcements of
/// both sides. All times are seconds of the steady clock.
///
/// Invariant: every cancellation that any controller announced before `known_up_to` is known to this one. Two
/// proofs advance that time: a read of the change log followed by a renewal of the leader key, and a probe
/// that every member echoed with all of its announcements delivered.
class Cancellations {
 public:
  explicit Cancellations(const protocol::Settings& settings);

  // ---- announcements of this controller ----
  /// A user is about to get the answer that the job is cancelled. True: for the first time by this process,
  /// so the other controllers have to know it too.
  bool record_announcement(protocol::JobId id);
  /// How many cancellations this process has announced.
  std::uint64_t announced() const { return log_.last_number(); }
  /// No other controller can still answer from in-memory state that lacks it: each has acknowledged it, or
  /// was last vouched for so long ago that its in-memory state is not current.
  bool acknowledged_by_all(protocol::JobId id, double now);
  /// What `member` has not acknowledged, as a message; nothing when there is nothing.
  std::optional<protocol::PeerMessage> unacknowledged(const std::string& member) const;
  /// Adds to a status to `member` the part that proves what this controller knows, and a probe of `member`.
  void fill_status(const std::string& member, double now, protocol::PeerMessage& status);

  // ---- announcements of others ----
  /// A message of kind kCancellationsAnnounced; the caller has applied the cancellations that it names.
  void apply_announcements(const protocol::PeerMessage& message);
  /// The signed part of a status.
  void apply_peer_status(const protocol::PeerMessage& status, std::uint64_t own_incarnation);

  // ---- proofs by the state service ----
  /// This controller leads from now on; nothing is known yet.
  void begin_leadership();
  /// It does not lead any more.
  void end_leadership();
  /// A read of the whole change log begins.
  void on_change_log_read_started(double now);
  /// That read is complete; `renewed` is when the last answered renewal of the leader key was sent.
  void on_change_log_read_finished(double renewed);
  /// A renewal of the leader key that was sent at `sent` is answered.
  void on_leader_key_renewed(double sent);

  /// The time up to which every announced cancellation is surely known here.
  double known_up_to(double now) const;
  /// The same, by the change log alone.
  double change_log_read_up_to() const { return last_read_started_at_; }
  /// The in-memory state may speak for all controllers: each was in touch so lately that it has announced
  /// nothing that is missing here.
  bool is_in_memory_state_current(double now) const;

  // ---- the bound that follows ----
  /// Seconds after `known_up_to` for which a heartbeat may be answered.
  double heartbeat_answer_window_s() const { return heartbeat_answer_window_s_; }
  /// Too little time is left between a lease and a cancellation to let the in-memory state lag at all: then
  /// only the leader announces, and only once no former leader can be answering heartbeats.
  bool only_leader_announces() const { return only_leader_announces_; }

 private:
  static constexpr double kNever = -1e9;
  /// What is known of another member, by its present process unless said otherwise.
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t announced = 0;            ///< how many cancellations it says that it has announced
    std::uint64_t known = 0;                ///< up to this number they are known here
    bool announcements_contiguous = false;  ///< ...and all that its earlier processes announced, too
    double known_at = kNever;               ///< up to this time all its announcements are known here
    std::uint64_t probe = 0;                ///< its last probe, to be echoed
    double last_echo_sent_at =
        kNever;                      ///< when it was last vouched that all announcements here are known to it
    std::uint64_t acknowledged = 0;  ///< up to this number it knows the announcements of this process
  };
  /// The announcements of one process, when a read of the change log began.
  struct AnnouncedCount {
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0;
  };
  struct Snapshot {
    double at = 0;
    std::map<std::string, AnnouncedCount> counts;  ///< by member
  };

  void record_start_time(double now);
  Peer& peer_for_process(const protocol::PeerMessage& message);
  bool is_from_earlier_process(const protocol::PeerMessage& message) const;
  void advance_confirmed_time(double renewed);

  double clock_error_s_ = 0;
  double heartbeat_answer_window_s_ = 0;
  bool only_leader_announces_ = false;
  bool leading_ = false;
  std::optional<double> started_at_;  ///< an earlier process may have vouched until then
  AnnouncementLog log_;
  std::map<std::string, Peer> peers_;
  double last_read_started_at_ = kNever;      ///< when the last complete read of the change log began
  double confirmed_up_to_ = kNever;           ///< the time that the state service proves
  std::optional<Snapshot> open_read_;         ///< of the read of the change log that is open
  std::optional<Snapshot> unconfirmed_read_;  ///< of a complete read that waits for a later renewal
};

}  // namespace robinford::coordination
