/// @file
/// Which controllers run a version that knows dependencies, for rolling upgrades.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// The registry of versions in the key-value store. Each process registers itself under its member name with
/// its incarnation and feature level; versions before the registry neither write nor read these keys, and are
/// sent no frame that they do not know. A member whose present process has not registered counts as old.
class PeerVersions {
 public:
  /// Knows the members that the settings name. `context` has to outlive it.
  explicit PeerVersions(ControllerContext& context);

  /// Registers this process, then reads the registry until every present process is known.
  void tick();
  /// The process from which the member's last status came.
  void observe(const std::string& member, std::uint64_t incarnation);
  /// The member's present process is known to understand dependencies.
  bool understands_dependencies(const std::string& member) const;
  /// The member's present process hands out quota leases when it leads.
  bool serves_quota_leases(const std::string& member) const;
  /// This process hands out quota leases when it leads. Has to be called before the first tick.
  void offer_quota_leases() { offers_quota_leases_ = true; }
  /// Every controller has registered once: the rolling upgrade is over, and stays so for this process.
  bool upgrade_complete() const { return upgrade_complete_; }

 private:
  struct Member {
    std::uint64_t registered_incarnation = 0;  ///< incarnation of the process that registered last
    std::uint64_t latest_incarnation = 0;      ///< incarnation seen last; 0: none yet
    bool quota_leases = false;                 ///< of the registered process
  };
  void register_self();
  void write_registration(std::uint64_t mod_revision);
  void read_registry();
  void apply_registration(const std::string& member, const boost::json::value& record);
  bool all_latest_are_registered() const;

  ControllerContext& context_;
  std::map<std::string, Member> members_;  ///< all others that the settings name
  bool offers_quota_leases_ = false;
  bool registered_ = false;
  bool call_in_flight_ = false;
  bool upgrade_complete_ = false;
  double next_check_ = 0;  ///< steady
};

}  // namespace robinford::coordination
