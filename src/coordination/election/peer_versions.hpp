// Which controllers run a version that knows dependencies. Each such process registers itself in the state
// service under its incarnation; an older version neither writes nor reads these keys, and meets no new
// frame. A member whose present process is not registered counts as old.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

class PeerVersions {
 public:
  explicit PeerVersions(ControllerContext& context);

  void tick();
  // The process that the member's last status came from.
  void observe(const std::string& member, std::uint64_t incarnation);
  // The member's present process is known to understand dependencies.
  bool understands_dependencies(const std::string& member) const;
  // The member's present process hands out quota leases when it leads.
  bool serves_quota_leases(const std::string& member) const;
  // This process does so. To be said before the first tick.
  void offer_quota_leases() { offers_quota_leases_ = true; }
  // Every controller has registered once: the rolling upgrade is over, and stays so for this process.
  bool upgrade_complete() const { return complete_; }

 private:
  struct Member {
    std::uint64_t registered = 0;  // incarnation of the process that registered last
    std::uint64_t present = 0;     // incarnation heard last; 0: none yet
    bool quota_leases = false;     // of the registered process
  };
  void register_self();
  void read_registry();
  void take(const std::string& member, const boost::json::value& record);
  bool all_present_known() const;

  ControllerContext& context_;
  std::map<std::string, Member> members_;  // all others that the settings name
  bool offers_quota_leases_ = false;
  bool registered_ = false, busy_ = false, complete_ = false;
  double next_look_ = 0;
};

}  // namespace robinford::coordination
