#include "coordination/election/former_leaders.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;

void FormerLeaders::set_predecessor(const TermRecord& predecessor) {
  predecessor_ = predecessor.member;
  predecessor_incarnation_ = predecessor.incarnation;
  // Leaders of older versions do not record how long they answer heartbeats; for them it is
  // kDegradedAnswerMaxS.
  predecessor_answer_bound_s_ =
      predecessor.answer_ms ? static_cast<double>(*predecessor.answer_ms) / 1000 : c::kDegradedAnswerMaxS;
  // A leader of an older version does not record the machines whose heartbeats it does not answer, and its
  // term record lacks the field. The guarantee then starts with the term after it.
  unanswered_recorded_since_term_ = predecessor.unanswered_recorded_since_term > 0
                                        ? predecessor.unanswered_recorded_since_term
                                        : predecessor.term + 1;
  earlier_stopped_wall_ms_ = predecessor.former_stopped_wall_ms;
}

bool FormerLeaders::predecessor_is_this_member() const {
  return predecessor_.empty() || predecessor_ == context_.settings.member;
}

std::int64_t FormerLeaders::stopped_wall_ms() const {
  if (predecessor_is_this_member()) return earlier_stopped_wall_ms_;
  const auto bound_ms =
      static_cast<std::int64_t>(predecessor_answer_bound_s_ * 1000 + 2 * context_.settings.clock_error_ms);
  return std::max(earlier_stopped_wall_ms_, context_.now.wall_ms + bound_ms);
}

void FormerLeaders::on_term_begun() {
  const double now = context_.now.steady;
  predecessor_stopped_at_ =
      predecessor_is_this_member() ? now : now + predecessor_answer_bound_s_ * (1 + 2 * c::kClockDrift);
  earlier_stopped_at_ = now;
  if (earlier_stopped_wall_ms_ == 0) return;
  const double left_ms = static_cast<double>(earlier_stopped_wall_ms_ - context_.now.wall_ms);
  earlier_stopped_at_ += std::max(0.0, (left_ms + context_.settings.clock_error_ms) / 1000.0);
}

double FormerLeaders::stopped_at() const { return std::max(predecessor_stopped_at_, earlier_stopped_at_); }

double FormerLeaders::process_start_wall_ms(std::uint64_t incarnation) const {
  return static_cast<double>(incarnation >> c::kIncarnationRandomBits);
}

void FormerLeaders::on_status(const protocol::PeerMessage& status, std::uint64_t own_term) {
  if (status.member != predecessor_ || context_.now.steady >= predecessor_stopped_at_) return;
  // A late message of a still older process must not be taken for one of a newer process. The start times
  // must therefore differ by more than the clock error of both.
  if (process_start_wall_ms(status.incarnation) >
      process_start_wall_ms(predecessor_incarnation_) + 2 * context_.settings.clock_error_ms)
    record_early_stop("its process was restarted");
  else if (status.incarnation == predecessor_incarnation_ && status.term >= own_term && !status.leading)
    record_early_stop("it has seen the new term");
}

void FormerLeaders::record_early_stop(const char* reason) {
  predecessor_stopped_at_ = context_.now.steady;
  spdlog::info("leadership: former leader {} no longer answers heartbeats: {}", predecessor_, reason);
}

}  // namespace robinford::coordination
