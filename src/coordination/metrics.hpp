/// @file
/// Counters, gauges and histograms of one process.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace robinford::coordination {

/// Owns all metrics of one controller and renders them as the text page of the metrics endpoint. A counter or
/// gauge is on the page from its first value until the process ends.
class Metrics {
 public:
  /// Distributions of durations in seconds.
  enum class Distribution {
    kGangWait,         ///< from a gang's submission until this leader first sees one of its tasks run
    kArrayWait,        ///< like kGangWait, for an array
    kRound,            ///< of a placement round; kept for readers of the page, though nothing records it
    kFailover,         ///< from an election to the new leader's first launch
    kHeartbeatAnswer,  ///< from a heartbeat to its answer; on the page, though nothing records it
    /// From when a leader learns of a job, or releases it after its dependencies, to its first placement; 0
    /// for a job granted from a quota lease. Jobs of earlier leaders are left out.
    kGrantWait,
  };

  Metrics();

  /// Adds to a counter; `name` is without the prefix and suffix used on the page.
  void count(const char* name, std::uint64_t by = 1) { counters_[name] += by; }
  /// Adds one to a counter that is kept apart for each value of a label.
  void count_labelled(const std::string& name, const std::string& label, const std::string& value);
  /// Sets a gauge.
  void gauge(const std::string& name, double value) { gauges_[name] = value; }
  /// Sets a gauge that is kept apart for each value of a label.
  void gauge_labelled(const std::string& name, const std::string& label, const std::string& label_value,
                      double value) {
    gauges_[name + labelled(label, label_value)] = value;
  }
  /// Adds a value to a distribution.
  void record(Distribution distribution, double seconds);
  /// Renders all metrics in the Prometheus text format, one value per line.
  std::string page() const;

 private:
  static std::string labelled(const std::string& label, const std::string& value) {
    return "{" + label + "=\"" + value + "\"}";
  }

  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, std::uint64_t> labelled_counters_;  // by name, suffix and label
  std::map<std::string, double> gauges_;
  std::map<Distribution, Histogram> histograms_;
};

}  // namespace robinford::coordination
