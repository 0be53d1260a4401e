// The stand-in of the state service: keys, leases, transactions and changes, by its published protocol. It
// knows no network and no faults; the simulated cluster and the loopback tests put these around it.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace robinford::simulation {

class StateStore {
 public:
  // Status and body of the answer.
  std::pair<int, std::string> call(double now, const std::string& method, const std::string& target,
                                   const std::string& body);
  // The answer to an open watch. False: nothing has changed, and its time is not over (`final`).
  bool watch_answer(const std::string& target, bool final, std::string& body) const;
  // Removes the keys of leases that are over.
  void expire_leases(double now);
  // When the lease that was granted, renewed or given up last will be over.
  double touched_lease_ends() const { return touched_lease_ends_; }
  // An outage lasts until then: each lease has its full time again after it.
  void extend_leases(double until);
  // Limits from now on: KiB of a value, changes in a transaction, changes a second.
  void set_limits(double now, double value_kb, int txn_ops, double write_rps);

  bool contains(const std::string& key) const { return entries_.contains(key); }
  std::size_t count(const std::string& prefix) const;
  // Puts and deletes of such keys so far.
  std::size_t changes(const std::string& prefix) const;
  int refusals() const { return refusals_; }  // answers 400 and 429

 private:
  struct Entry {
    boost::json::value value;
    std::uint64_t mod_revision = 0, lease = 0;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };
  struct Change {
    std::uint64_t epoch;
    std::string key;
    bool deleted;
    boost::json::value value;
  };
  int over_limits(double now, const std::string& body);  // 0, or the status of the refusal

  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::uint64_t epoch_ = 0, next_lease_ = 1;
  std::size_t value_most_ = std::size_t{16} * 1024;
  std::size_t ops_most_ = 32;
  double writes_a_second_ = 0, writes_level_ = 0, writes_at_ = 0;  // 0: no limit
  double touched_lease_ends_ = 0;
  int refusals_ = 0;
};

}  // namespace robinford::simulation
