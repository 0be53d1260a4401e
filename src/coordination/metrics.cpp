#include "coordination/metrics.hpp"

#include <algorithm>
#include <sstream>

#include "constants.hpp"

namespace robinford::coordination {
namespace bh = boost::histogram;

namespace {
constexpr std::pair<Metrics::Spread, const char*> kNames[] = {
    {Metrics::Spread::kGangWait, "gang_wait_seconds"},
    {Metrics::Spread::kArrayWait, "array_wait_seconds"},
    {Metrics::Spread::kRound, "round_seconds"},
    {Metrics::Spread::kFailover, "failover_seconds"},
    {Metrics::Spread::kHeartbeatAnswer, "heartbeat_answer_seconds"},
    {Metrics::Spread::kGrantWait, "grant_wait_seconds"}};
}  // namespace

Metrics::Metrics() {
  for (const auto& [spread, name] : kNames)
    spreads_.emplace(spread, bh::make_histogram(Axis(constants::kSpreadBuckets, constants::kSpreadLeastS,
                                                     constants::kSpreadMostS)));
}

void Metrics::record(Spread spread, double seconds) {
  spreads_.at(spread)(std::max(seconds, constants::kSpreadLeastS));
}

std::string Metrics::page() const {
  std::ostringstream out;
  for (const auto& [name, value] : counters_) out << "robinford_" << name << "_total " << value << '\n';
  for (const auto& [name, value] : gauges_) out << "robinford_" << name << ' ' << value << '\n';
  for (const auto& [spread, name] : kNames) {
    const auto& histogram = spreads_.at(spread);
    double sum = 0;
    for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
      if (*bin == 0) continue;
      sum += *bin;
      out << "robinford_" << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << sum << '\n';
    }
    out << "robinford_" << name << "_count " << sum << '\n';
  }
  return out.str();
}

}  // namespace robinford::coordination
