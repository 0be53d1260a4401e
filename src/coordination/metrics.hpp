/// @file
/// Counters, gauges and histograms of one process.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace robinford::coordination {

/// Owns all measured values of one controller, and renders them as the text page of the metrics endpoint.
/// A name appears on the page once it has a value; it stays for the life of the process.
class Metrics {
 public:
  /// The distributions that are measured, all in seconds.
  enum class Distribution {
    kGangWait,         ///< from a gang's submission to the first run of a task
    kArrayWait,        ///< the same of an array
    kRound,            ///< a placement round; on the page for its readers, though nothing records it
    kFailover,         ///< from an election to the new leader's first launch
    kHeartbeatAnswer,  ///< from a heartbeat to its answer; on the page, though nothing records it
    kGrantWait,        ///< from a job's arrival at this controller to its first grant of capacity
  };

  Metrics();

  /// Adds to a counter; `name` without prefix and suffix.
  void count(const char* name, std::uint64_t by = 1) { counters_[name] += by; }
  /// Sets a gauge.
  void gauge(const char* name, double value) { gauges_[name] = value; }
  /// Adds a value to a distribution.
  void record(Distribution distribution, double seconds);
  /// All values as text, one a line, in the format that Prometheus reads.
  std::string page() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<Distribution, Histogram> histograms_;
};

}  // namespace robinford::coordination
