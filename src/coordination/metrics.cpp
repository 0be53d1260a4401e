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

/// Name of a distribution on the page, which lists the distributions in the order of `kDistributionNames`.
struct DistributionName {
  Metrics::Distribution distribution;
  const char* name;
};

constexpr DistributionName kDistributionNames[] = {
    {Metrics::Distribution::kGangWait, "gang_wait_seconds"},
    {Metrics::Distribution::kArrayWait, "array_wait_seconds"},
    {Metrics::Distribution::kRound, "round_seconds"},
    {Metrics::Distribution::kFailover, "failover_seconds"},
    {Metrics::Distribution::kHeartbeatAnswer, "heartbeat_answer_seconds"},
    {Metrics::Distribution::kGrantWait, "grant_wait_seconds"}};

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
  for (const auto& [distribution, name] : kDistributionNames)
    histograms_.emplace(distribution, histogram::make_histogram(axis));
}

void Metrics::count_labelled(const std::string& name, const std::string& label, const std::string& value) {
  ++labelled_counters_[name + "_total" + labelled(label, value)];
}

// A logarithmic axis can't represent zero.
void Metrics::record(Distribution distribution, double seconds) {
  histograms_.at(distribution)(std::max(seconds, c::kHistogramMinS));
}

std::string Metrics::page() const {
  std::ostringstream out;
  for (const auto& [name, value] : counters_) out << "robinford_" << name << "_total " << value << '\n';
  for (const auto& [name, value] : labelled_counters_) out << "robinford_" << name << ' ' << value << '\n';
  for (const auto& [name, value] : gauges_) out << "robinford_" << name << ' ' << value << '\n';
  for (const auto& [distribution, name] : kDistributionNames)
    write_histogram(out, name, histograms_.at(distribution));
  return out.str();
}

}  // namespace robinford::coordination
