/// @file
/// The leader's calls to the cloud: machine types, the machine list, provisioning and returns.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/fleet/capacity_pool.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// A request for machines of one pool. A request without a final answer is retried under the same name; the
/// cloud provisions only once for each name.
struct ProvisioningRequest {
  std::string name;        ///< unique across all terms
  CapacityPool pool;       ///< the pool to provision from
  int count = 0;           ///< number of machines
  bool in_flight = false;  ///< sent and not answered
  double next_try_s = 0;   ///< steady time of the next attempt
};

/// Which of the machines in the state kReturning a return call may name.
enum class ReturnScope : std::uint8_t {
  kAll,
  kCancelledWorkOnly,  ///< those that may still run cancelled work; the scope of a degraded leader
};

/// Owns the rate budget of cloud calls, the provisioning requests and the list of pools that recently did not
/// fulfil one completely. Applies the answers to the machine ledger. Answers that arrive after `end_term` are
/// dropped.
class CloudClient {
 public:
  /// The arguments must outlive this object.
  CloudClient(ControllerContext& context, const Election& election, Scheduler& scheduler);

  /// Starts a term of leadership with no requests; answers to calls of earlier terms are dropped.
  void begin_term();
  /// Ends the term: answers that arrive from now on are dropped.
  void end_term();
  /// Adds to the budget the calls that have accrued up to now.
  void refill_budget() { budget_.refill(context_.now.steady); }
  /// Sends the most urgent call that is due, if the budget covers one: first the catalog, then provisioning
  /// requests, then the machine list.
  void send_due_call();

  /// Queues requests for `count` machines in all, each within the cloud's limit for one request.
  void provision(const CapacityPool& pool, int count);
  /// Whether a request for the pool is queued, in flight or waiting for its next attempt.
  bool has_request(const CapacityPool& pool) const;
  /// All requests without a final answer.
  const std::vector<ProvisioningRequest>& requests() const { return requests_; }
  /// Whether no request to the pool was recently refused, as a whole or for some of its machines.
  bool may_have_capacity(const CapacityPool& pool) const;

  /// Returns machines in the state kReturning to the cloud, with one call in flight at a time.
  void return_machines(ReturnScope scope);

 private:
  void call(const std::string& method, const std::string& target, std::string body,
            bookkeeping::ResultCallback answered);
  bool catalog_is_due() const;
  void read_catalog();
  void publish_catalog();
  void read_machine_list(const std::string& after);
  void apply_machine_list(const protocol::MachineList& list);
  void send(ProvisioningRequest& request);
  void on_provisioning_answer(const std::string& name, const protocol::CallResult& result);
  void add_machines(const CapacityPool& pool, const std::vector<std::string>& names);
  void mark_refused(const CapacityPool& pool);

  ControllerContext& context_;
  const Election& election_;
  Scheduler& scheduler_;
  bookkeeping::TokenBucket budget_;
  std::uint64_t generation_ = 0;  ///< changes at the start and end of a term, to recognize late answers
  std::uint64_t request_counter_ = 0;
  std::vector<ProvisioningRequest> requests_;
  std::map<CapacityPool, double> refused_until_;  ///< steady time
  double next_return_ = 0;                        ///< steady time
  /// Steady time at which the catalog is read again while no types are known; once they are, the read is due
  /// kCatalogReadIntervalS after this time.
  double next_catalog_ = 0;
  double next_list_ = 0;  ///< steady time
  bool catalog_in_flight_ = false;
  bool list_in_flight_ = false;
  bool return_in_flight_ = false;
  bool catalog_published_ = false;
};

}  // namespace robinford::coordination
