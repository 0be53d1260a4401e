// Stand-in of the state service, by "Controller nodes -> state service" of the protocol page.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace standin {

struct StoreLimits {
  double rps = 100, write_rps = 40, value_kb = 16;
  std::size_t txn_ops = 32;
};

class Store {
 public:
  explicit Store(StoreLimits limits) : limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {}
  void set_limits(const StoreLimits& limits) { limits_ = limits; }
  // Status and body of the answer to any request but a watch.
  std::pair<int, std::string> call(double now, const std::string& method, const std::string& target,
                                   const std::string& body);
  // The answer to a watch; nothing as long as it has to wait.
  std::optional<std::pair<int, std::string>> follow(const std::string& target, bool time_is_over) const;
  // Ends the leases whose time is over and removes their keys.
  void expire(double now);
  // After an outage each lease has its full time again.
  void restart_leases(double now);
  // Counts a request against the limit. False: it is over the limit.
  bool admit(double now);
  bool contains(const std::string& key) const { return entries_.contains(key); }
  std::string value(const std::string& key) const;

 private:
  struct Entry {
    boost::json::value value;
    std::uint64_t stamp = 0, tenure = 0;
  };
  struct Change {
    std::uint64_t epoch;
    std::string key;
    std::optional<boost::json::value> value;
  };
  struct Lease {
    double ttl, ends;
  };
  std::pair<int, std::string> transaction(double now, const std::string& body);
  std::pair<int, std::string> list(const std::string& target) const;
  void note(const std::string& key, std::optional<boost::json::value> value);

  StoreLimits limits_;
  double requests_, requests_at_ = 0, writes_, writes_at_ = 0;
  std::uint64_t epoch_ = 400, next_lease_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
};

std::string query(const std::string& target, const std::string& key);

}  // namespace standin
