// Quota leases in one controller: connects lessee and lessor with the state service, the other controllers
// and the leader's account of the teams' limits.
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
  // Carries the body of a frame to another controller.
  using Send = std::function<void(const std::string& member, std::string body)>;
  QuotaLeases(ControllerContext& context, Election& election, const PeerVersions& versions,
              const quota::LeaseOptions& options, Send send);

  void elected();
  void lost();
  // `leader`: the member that leads, as far as is known here; empty for none.
  void tick(const std::string& leader);
  // A submission goes to the leader: what this controller's lease covers is granted, and told ahead of it.
  void grant_submission(const std::string& leader, const std::string& body);
  // The body of another controller's frame. False: it makes no sense.
  bool take(const std::string& member, std::uint64_t incarnation, const std::string& body);
  void set_gauges();

  const quota::Lessee& lessee() const { return lessee_; }
  const quota::Lessor& lessor() const { return lessor_; }
  // What is wrong with the running sums; empty when nothing is. For tests.
  std::string audit() const;

 private:
  static quota::Lessor::LeaderAccounts ledgers(ControllerContext& context);
  bool lessor_understands(const std::string& leader) const;
  void renew(const std::string& leader);
  void load();
  void load_page(const std::string& after);
  void carry_out_writes();
  void write(quota::LeaseWrite write);
  void send_lessor_messages();
  bool take_lessee(const std::string& member, std::uint64_t incarnation, const std::string& body);
  bool take_lessor(const std::string& member, const std::string& body);

  ControllerContext& context_;
  Election& election_;
  const PeerVersions& versions_;
  const quota::LeaseOptions options_;
  Send send_;
  quota::Lessee lessee_;
  quota::Lessor lessor_;
  double next_renewal_ = 0, next_load_ = 0;
  std::uint64_t generation_ = 0;  // of leadership and of loading, so that late answers are known as such
  std::vector<quota::StoredLease> loading_;
};

}  // namespace robinford::coordination
