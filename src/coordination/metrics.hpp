// Counters and histograms of one process, as a text page.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace robinford::coordination {

class Metrics {
 public:
  Metrics();
  void count(const char* name, std::uint64_t by = 1) { counters_[name] += by; }
  void gauge(const char* name, double value) { gauges_[name] = value; }
  enum class Spread { kGangWait, kArrayWait, kRound, kFailover, kHeartbeatAnswer, kGrantWait };
  void record(Spread spread, double seconds);
  std::string page() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<Spread, Histogram> spreads_;
};

}  // namespace robinford::coordination
