// Quota leases in one controller: connects the lessee and the lessor with the state service, the other
// controllers and the leader's accounting of team quotas.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "quota/lessee.hpp"
#include "quota/lessor.hpp"

namespace robinford::coordination {

class QuotaLeases {
 public:
  // Sends a message body to another controller.
  using Send = std::function<void(const std::string& member, std::string body)>;
  QuotaLeases(ControllerContext& context, Election& election, const PeerVersions& versions,
              const quota::LeaseOptions& options, Send send);

  void begin_leadership();
  void end_leadership();
  // `leader` is the member that leads as far as this controller knows; empty if none is known.
  void tick(const std::string& leader);
  // Called before a submission is forwarded to `leader`. Grants the part of it that this controller's lease
  // covers (all tasks of a gang or none, and nothing to a job with dependencies), and sends the grants to the
  // leader ahead of the submission.
  void grant_from_lease(const std::string& leader, const std::string& body);
  // Handles the body of another controller's message, or ignores it while quota leases are disabled. Returns
  // false if it can't be decoded.
  bool on_peer_message(const std::string& member, std::uint64_t incarnation, const std::string& body);
  void set_gauges();

  const quota::Lessee& lessee() const { return lessee_; }
  const quota::Lessor& lessor() const { return lessor_; }
  // Returns a description of an error in the running totals; empty if they are consistent. For tests.
  std::string audit() const;

 private:
  static quota::Lessor::LeaderAccounts ledgers(ControllerContext& context);
  bool leader_serves_leases(const std::string& leader) const;
  void renew(const std::string& leader);
  void load();
  void load_page(const std::string& after);
  void submit_due_writes();
  void write(quota::LeaseWrite write);
  void send_lessor_messages();
  bool on_lessee_message(const std::string& member, std::uint64_t incarnation, const std::string& body);
  bool on_lessor_message(const std::string& member, const std::string& body);

  ControllerContext& context_;
  Election& election_;
  const PeerVersions& versions_;
  const quota::LeaseOptions options_;
  Send send_;
  quota::Lessee lessee_;
  quota::Lessor lessor_;
  double next_renewal_ = 0, next_load_ = 0;
  std::uint64_t generation_ =
      0;  // changes with leadership and with each load, so that late results are ignored
  std::vector<quota::StoredLease> loading_;
};

}  // namespace robinford::coordination
