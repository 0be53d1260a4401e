/// @file
/// Implementation of Metrics.
#include "coordination/metrics.hpp"

#include <algorithm>
#include <ostream>
#include <sstream>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace histogram = boost::histogram;

namespace {

/// A distribution's name on the page, where they stand in this order.
struct SpreadName {
  Metrics::Spread spread;
  const char* name;
};

constexpr SpreadName kSpreadNames[] = {{Metrics::Spread::kGangWait, "gang_wait_seconds"},
                                       {Metrics::Spread::kArrayWait, "array_wait_seconds"},
                                       {Metrics::Spread::kRound, "round_seconds"},
                                       {Metrics::Spread::kFailover, "failover_seconds"},
                                       {Metrics::Spread::kHeartbeatAnswer, "heartbeat_answer_seconds"},
                                       {Metrics::Spread::kGrantWait, "grant_wait_seconds"}};

template <typename Histogram>
void write_histogram(std::ostream& out, const char* name, const Histogram& values) {
  double cumulative = 0;
  for (auto&& bin : histogram::indexed(values, histogram::coverage::all)) {
    if (*bin == 0) continue;
    cumulative += *bin;
    out << "robinford_" << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
  }
  out << "robinford_" << name << "_count " << cumulative << '\n';
}

}  // namespace

Metrics::Metrics() {
  const Axis axis(c::kHistogramBuckets, c::kHistogramMinS, c::kHistogramMaxS);
  for (const auto& [spread, name] : kSpreadNames)
    histograms_.emplace(spread, histogram::make_histogram(axis));
}

// A logarithmic axis has no place for zero.
void Metrics::record(Spread spread, double seconds) {
  histograms_.at(spread)(std::max(seconds, c::kHistogramMinS));
}

std::string Metrics::page() const {
  std::ostringstream out;
  for (const auto& [name, value] : counters_) out << "robinford_" << name << "_total " << value << '\n';
  for (const auto& [name, value] : gauges_) out << "robinford_" << name << ' ' << value << '\n';
  for (const auto& [spread, name] : kSpreadNames) write_histogram(out, name, histograms_.at(spread));
  return out.str();
}

}  // namespace robinford::coordination
