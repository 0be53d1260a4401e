/// @file
/// Rate limiter.
#pragma once

#include <algorithm>

namespace robinford::bookkeeping {

/// Token bucket with `rate` tokens per second and a capacity of `burst`. Times are those of the steady clock,
/// in s.
///
/// The level may become negative: calls that cannot wait, and calls that need more than the burst, overdraw
/// it. Later calls that can wait do so until it recovers.
class TokenBucket {
 public:
  /// Starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    if (level_ > burst) level_ = burst;
  }

  /// Adds the tokens for the time since the last call. The first call only sets the time.
  void refill(double now) {
    if (last_refill_ > 0) level_ = std::min(burst_, level_ + (now - last_refill_) * rate_);
    last_refill_ = now;
  }

  double burst() const { return burst_; }
  /// Whether `amount` may be taken now. A full bucket covers any amount, since an amount above the burst
  /// would otherwise wait forever.
  bool covers(double amount) const { return level_ >= amount || level_ >= burst_ - kRounding; }
  void take(double amount) { level_ -= amount; }

 private:
  static constexpr double kRounding = 1e-9;

  double rate_;
  double burst_;
  double level_;
  double last_refill_ = 0;
};

}  // namespace robinford::bookkeeping
