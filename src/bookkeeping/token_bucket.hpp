/// @file
/// A budget of calls by rate.
#pragma once

#include <algorithm>

namespace robinford::bookkeeping {

/// Grants `rate` calls a second, and up to `burst` at once after a pause. Times are steady, in s.
///
/// The level may fall below zero: what cannot wait takes its share anyway, and later calls make up for it.
class TokenBucket {
 public:
  /// Starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    if (level_ > burst) level_ = burst;
  }

  /// Adds what the time since the last call brings. The first call only sets the time.
  void refill(double now) {
    if (last_refill_ > 0) level_ = std::min(burst_, level_ + (now - last_refill_) * rate_);
    last_refill_ = now;
  }

  /// Whether `amount` may be taken now. A full bucket covers any amount: one above the burst would otherwise
  /// wait for ever.
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
