/// @file
/// When earlier leaders have stopped answering heartbeats.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/leader_records.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// A leader that lost the key-value store goes on answering heartbeats for a while, which renews the leases
/// of its workers (docs/design.md, "Cancellations"). Its successor has to know when that has ended for
/// certain: by the bound on record, or sooner when the former leader itself shows that it knows of the new
/// term or was started again.
class FormerLeaders {
 public:
  /// Nothing is known yet. `context` has to outlive it.
  explicit FormerLeaders(const ControllerContext& context) : context_(context) {}

  /// The term record that this controller is about to replace.
  void set_predecessor(const TermRecord& predecessor);
  /// What the new term record says of all leaders before it: wall time, ms.
  std::int64_t stopped_wall_ms() const;
  /// The own term began.
  void on_term_begun();
  /// A status of another controller, while the term `own_term` lasts.
  void on_status(const protocol::PeerMessage& status, std::uint64_t own_term);

  /// Steady time after which no former leader answers any heartbeat.
  double stopped_at() const;
  /// All leaders from this term on have put on record which machines they do not answer.
  std::uint64_t unanswered_recorded_since() const { return unanswered_recorded_since_; }

 private:
  bool predecessor_is_this_member() const;
  double process_start_wall_ms(std::uint64_t incarnation) const;
  void record_early_stop(const char* reason);

  const ControllerContext& context_;
  std::string predecessor_;
  std::uint64_t predecessor_incarnation_ = 0;
  double predecessor_answer_bound_s_ = 0;     ///< how long the last leader may answer
  std::int64_t earlier_stopped_wall_ms_ = 0;  ///< when all leaders before the last one have stopped
  std::uint64_t unanswered_recorded_since_ = 0;
  double predecessor_stopped_at_ = -1e9;  ///< steady
  double earlier_stopped_at_ = -1e9;      ///< steady
};

}  // namespace robinford::coordination
