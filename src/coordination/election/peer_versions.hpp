/// @file
/// Tracks which controllers run a version that supports job dependencies, for rolling upgrades.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// The registry of controller versions in the key-value store. Each process registers its incarnation and
/// feature level under its member name. Versions older than the registry neither write nor read these keys,
/// so a member whose running process has not registered counts as old and is sent no frames that old versions
/// do not know.
class PeerVersions {
 public:
  /// Tracks the peers named in the settings. `context` must outlive this object.
  explicit PeerVersions(ControllerContext& context);

  /// Registers this process, then reads the registry until every peer has registered, and each peer whose
  /// status was received has registered its running process.
  void tick();
  /// Notes the incarnation in the member's latest status.
  void observe(const std::string& member, std::uint64_t incarnation);
  /// Whether the member's running process is known to support dependencies.
  bool understands_dependencies(const std::string& member) const;
  /// Whether the running process of a peer grants quota leases when it leads; false for this member.
  bool serves_quota_leases(const std::string& member) const;
  /// Registers this process as one that grants quota leases when it leads. Must be called before the first
  /// tick.
  void offer_quota_leases() { offers_quota_leases_ = true; }
  /// Whether every peer has registered at least once with a version that supports dependencies. The rolling
  /// upgrade is then complete, and this process keeps regarding it so.
  bool upgrade_complete() const { return upgrade_complete_; }

 private:
  struct Member {
    std::uint64_t registered_incarnation = 0;  ///< of the process that registered last; 0: none yet
    std::uint64_t latest_incarnation = 0;      ///< in the member's latest status; 0: none received yet
    bool quota_leases = false;                 ///< the registered process grants quota leases when it leads
  };
  void register_self();
  void write_registration(std::uint64_t mod_revision);
  void read_registry();
  void apply_registration(const std::string& member, const boost::json::value& record);
  bool all_latest_are_registered() const;

  ControllerContext& context_;
  std::map<std::string, Member> members_;  ///< all peers named in the settings
  bool offers_quota_leases_ = false;
  bool registered_ = false;
  bool call_in_flight_ = false;
  bool upgrade_complete_ = false;
  double next_check_ = 0;  ///< steady time
};

}  // namespace robinford::coordination
