/// @file
/// Tracks when earlier leaders have stopped answering heartbeats.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/leader_records.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Determines when all former leaders have certainly stopped answering heartbeats.
///
/// A leader that can't reach the key-value store keeps answering heartbeats for a while, which renews the
/// leases of its workers (docs/design.md, "Cancellations"). It has stopped when the bound in the term record
/// has passed, or, for the predecessor, earlier if one of its status messages shows that it has seen the new
/// term or was restarted.
class FormerLeaders {
 public:
  /// `context` must outlive this object.
  explicit FormerLeaders(const ControllerContext& context) : context_(context) {}

  /// Reads the predecessor's data from the term record that this controller is about to replace.
  void set_predecessor(const TermRecord& predecessor);
  /// Wall time, ms, for the new term record: after it, no leader before the new one answers heartbeats.
  std::int64_t stopped_wall_ms() const;
  /// Computes the steady times of `stopped_at` when this controller's term begins.
  void on_term_begun();
  /// Handles a status of another controller while this controller leads in term `own_term`.
  void on_status(const protocol::PeerMessage& status, std::uint64_t own_term);

  /// Steady time after which no former leader answers heartbeats.
  double stopped_at() const;
  /// First term from which on every leader has recorded the machines whose heartbeats it does not answer.
  std::uint64_t unanswered_recorded_since_term() const { return unanswered_recorded_since_term_; }

 private:
  bool predecessor_is_this_member() const;
  double process_start_wall_ms(std::uint64_t incarnation) const;
  void record_early_stop(const char* reason);

  const ControllerContext& context_;
  std::string predecessor_;  ///< member that led in the last term; empty: there was none
  std::uint64_t predecessor_incarnation_ = 0;
  /// How long the predecessor may answer heartbeats once another member is elected.
  double predecessor_answer_bound_s_ = 0;
  /// Wall time after which no leader before the predecessor answers heartbeats.
  std::int64_t earlier_stopped_wall_ms_ = 0;
  std::uint64_t unanswered_recorded_since_term_ = 0;
  double predecessor_stopped_at_ = -1e9;  ///< steady time
  double earlier_stopped_at_ = -1e9;      ///< steady time, of all leaders before the predecessor
};

}  // namespace robinford::coordination
