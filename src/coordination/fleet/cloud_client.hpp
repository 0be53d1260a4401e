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

/// Machines asked of one pool. A request without an answer is repeated under its name, under which the cloud
/// provisions only once.
struct ProvisioningRequest {
  std::string name;        ///< unique over all terms
  CapacityPool pool;       ///< of which machines are asked
  int count = 0;           ///< machines
  bool in_flight = false;  ///< sent, and not answered
  double next_try_s = 0;   ///< steady time
};

/// Which machines in the state kReturning a return call may name.
enum class ReturnScope : std::uint8_t {
  kAll,
  kCancelledWorkOnly,  ///< those that may still run cancelled work, for a leader that may change nothing else
};

/// Owns the budget of cloud calls, the provisioning requests and the pools that lately refused one. What the
/// answers show goes into the machine ledger. Answers that arrive after `end` are dropped.
class CloudClient {
 public:
  /// The arguments have to outlive it.
  CloudClient(ControllerContext& context, const Election& election, Scheduler& scheduler);

  /// A new term of leadership: nothing is in flight.
  void begin();
  /// The term has ended: answers from now on are dropped.
  void end();
  /// Adds to the budget what has accrued up to now.
  void refill_budget() { budget_.refill(context_.now.steady); }
  /// Sends the call that is due, if the budget covers one: the catalog first, then provisioning requests,
  /// then the machine list.
  void send_due_call();

  /// Queues requests for `count` machines, each within the cloud's limit for one request.
  void provision(const CapacityPool& pool, int count);
  /// A request for the pool waits or is in flight.
  bool has_request(const CapacityPool& pool) const;
  /// All requests without a final answer.
  const std::vector<ProvisioningRequest>& requests() const { return requests_; }
  /// The pool did not refuse a request lately.
  bool may_have_capacity(const CapacityPool& pool) const;

  /// Returns machines that are in the state kReturning, one call at a time.
  void return_machines(ReturnScope scope);

 private:
  void call(const std::string& method, const std::string& target, std::string body,
            bookkeeping::Answered answered);
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
  std::uint64_t generation_ = 0;  ///< of leadership, so that late answers are known as such
  std::uint64_t request_counter_ = 0;
  std::vector<ProvisioningRequest> requests_;
  std::map<CapacityPool, double> refused_until_;  ///< steady time
  double next_return_ = 0;
  double next_catalog_ = 0;
  double next_list_ = 0;
  bool catalog_in_flight_ = false;
  bool list_in_flight_ = false;
  bool return_in_flight_ = false;
  bool catalog_published_ = false;
};

}  // namespace robinford::coordination
