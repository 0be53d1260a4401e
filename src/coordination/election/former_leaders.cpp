#include "coordination/election/former_leaders.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;

void FormerLeaders::set_last(const TermRecord& last) {
  last_member_ = last.member;
  last_incarnation_ = last.incarnation;
  // An older version does not say its bound, and goes by this one.
  last_answer_s_ = last.answer_ms ? static_cast<double>(*last.answer_ms) / 1000 : c::kDegradedAnswerMaxS;
  // An older version answers without regard to such records: the count begins anew with this leader.
  records_since_ = last.records_since > 0 ? last.records_since : last.term + 1;
  before_last_wall_ms_ = last.former_stopped_wall_ms;
}

bool FormerLeaders::last_was_this_member() const {
  return last_member_.empty() || last_member_ == context_.settings.member;
}

std::int64_t FormerLeaders::stopped_wall_ms() const {
  if (last_was_this_member()) return before_last_wall_ms_;
  const auto bound_ms =
      static_cast<std::int64_t>(last_answer_s_ * 1000 + 2 * context_.settings.clock_error_ms);
  return std::max(before_last_wall_ms_, context_.now.wall_ms + bound_ms);
}

void FormerLeaders::on_term_begun() {
  const double now = context_.now.steady;
  last_stopped_at_ = last_was_this_member() ? now : now + last_answer_s_ * (1 + 2 * c::kClockDrift);
  before_last_stopped_at_ = now;
  if (before_last_wall_ms_ == 0) return;
  const double left_ms = static_cast<double>(before_last_wall_ms_ - context_.now.wall_ms);
  before_last_stopped_at_ += std::max(0.0, (left_ms + context_.settings.clock_error_ms) / 1000.0);
}

double FormerLeaders::stopped_at() const { return std::max(last_stopped_at_, before_last_stopped_at_); }

double FormerLeaders::started_wall_ms(std::uint64_t incarnation) const {
  return static_cast<double>(incarnation >> c::kIncarnationRandomBits);
}

void FormerLeaders::on_status(const protocol::PeerMessage& status, std::uint64_t own_term) {
  if (status.member != last_member_ || context_.now.steady >= last_stopped_at_) return;
  // Late messages of a still older process must not pass for a newer one, so the start times must differ by
  // more than the clock's error.
  if (started_wall_ms(status.incarnation) >
      started_wall_ms(last_incarnation_) + 2 * context_.settings.clock_error_ms)
    stopped_early("it was started anew");
  else if (status.incarnation == last_incarnation_ && status.term >= own_term && !status.leading)
    stopped_early("it knows the new term");
}

void FormerLeaders::stopped_early(const char* reason) {
  last_stopped_at_ = context_.now.steady;
  spdlog::info("leadership: the former leader {} has ended: {}", last_member_, reason);
}

}  // namespace robinford::coordination
