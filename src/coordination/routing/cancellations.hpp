// What users were told of cancellations, and how far this controller surely knows of all that anybody told.
// It bounds how long a leader answers heartbeats: docs/design.md, "Cancellations".
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/peer_codec.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

class Cancellations {
 public:
  explicit Cancellations(const protocol::Settings& settings);

  // ---- what this controller told ----
  // A user is about to hear that the job is cancelled. True: for the first time from this process.
  bool announce(protocol::JobId id);
  std::uint64_t announced() const { return first_kept_ + log_.size() - 1; }
  // No other controller can still answer from in-memory state that lack it: each has acknowledged it, or was
  // last vouched for so long ago that its in-memory state is not current.
  bool acknowledged_by_all(protocol::JobId id, double now);
  // What `member` has not acknowledged, as a message; nothing when there is nothing.
  std::optional<protocol::PeerMessage> unacknowledged(const std::string& member) const;
  // The part of a status to `member` that proves what it knows, and asks the same of it.
  void sign(const std::string& member, double now, protocol::PeerMessage& status);

  // ---- what others told ----
  // The jobs that the message names, in any order.
  void take_announced(const protocol::PeerMessage& message);
  void take_status(const protocol::PeerMessage& status, std::uint64_t own_incarnation);

  // ---- what the state service shows ----
  void elected();  // nothing is known yet
  void ended();    // not the leader any more
  // The change log was requested, and read in full; `renewed`: when the last answered renewal was sent.
  void change_log_requested(double now);
  void change_log_read(double renewed);
  void renewed(double sent);
  // Steady moment up to which every cancellation that anybody told is surely known here.
  double known_up_to(double now) const;
  // The same, by the state service alone.
  double read_up_to() const { return read_at_; }

  // The in-memory state may speak for all controllers: each was in touch so lately that it tells nothing that
  // is missing here.
  bool current(double now) const;

  // ---- the bound that follows ----
  // Seconds after `known_up_to` for which a heartbeat may be answered.
  double answer_s() const { return answer_s_; }
  // Too little time is left between a lease and a cancellation to let the in-memory state lag at all: then
  // nobody but the leader tells, and only once no former leader can be answering heartbeats.
  bool strict() const { return strict_; }

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0;         // what it has told, by its own word
    std::uint64_t taken = 0;         // up to here all is known
    bool whole = false;              // ...of all its processes: the chain has no gap
    double known_at = -1e9;          // up to here in time
    std::uint64_t probe = 0;         // its last one, to be echoed
    double echoed_at = -1e9;         // when it was vouched to last that all we told is known
    std::uint64_t acknowledged = 0;  // of what we told
  };
  Peer& peer_of(const protocol::PeerMessage& message);
  bool late(const protocol::PeerMessage& message) const;

  double clock_error_s_ = 0;
  double started_ = -1;  // an earlier process may have vouched until then
  double answer_s_ = 0;
  bool strict_ = false;
  bool leading_ = false;
  std::deque<protocol::JobId> log_;                  // in the order told
  std::map<protocol::JobId, std::uint64_t> in_log_;  // and their numbers
  std::uint64_t first_kept_ = 1;                     // number of the first entry of the log
  std::map<std::string, Peer> peers_;
  double read_at_ = -1e9, state_known_ = -1e9;
  struct Snapshot {
    double at = 0;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        counts;  // incarnation and count, by member
  };
  std::optional<Snapshot> requested_, read_;
};

}  // namespace robinford::coordination
