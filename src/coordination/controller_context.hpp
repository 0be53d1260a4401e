/// @file
/// What the parts of one controller share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "bookkeeping/calls.hpp"
#include "bookkeeping/job_ledger.hpp"
#include "bookkeeping/machine_ledger.hpp"
#include "bookkeeping/quota.hpp"
#include "bookkeeping/state_client.hpp"
#include "bookkeeping/writer.hpp"
#include "constants.hpp"
#include "coordination/fleet/boot_times.hpp"
#include "coordination/metrics.hpp"
#include "coordination/routing/cancellations.hpp"
#include "protocol/events.hpp"
#include "protocol/policy.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

/// In-memory state, the clients of the services, the clock reading and the actions of the present step. The
/// controller owns it and sets `now` at the start of each step; its parts hold references and outlive none of
/// it. Neither copied nor moved, since its members refer to one another.
struct ControllerContext {
  /// `own_incarnation` names this process among all of its member; `seed` is that of `random`.
  ControllerContext(const protocol::Settings& site_settings, const protocol::Policy& site_policy,
                    std::uint64_t own_incarnation, std::uint64_t seed)
      : settings(site_settings),
        policy(site_policy),
        incarnation(own_incarnation),
        random(seed),
        calls(out),
        state(settings, calls),
        writer(settings, state, random),
        quota(settings),
        cancellations(settings) {}
  ControllerContext(const ControllerContext&) = delete;
  ControllerContext& operator=(const ControllerContext&) = delete;

  const protocol::Settings settings;
  const protocol::Policy policy;
  const std::uint64_t incarnation;
  std::mt19937_64 random;      ///< the only source of random numbers: runs with equal seeds are equal
  protocol::ClockReading now;  ///< of the present step
  protocol::Outbox out;        ///< actions since the caller last took them
  bookkeeping::CallTable calls;
  bookkeeping::StateClient state;
  bookkeeping::TxnWriter writer;
  bookkeeping::JobLedger jobs;
  bookkeeping::MachineLedger machines;
  bookkeeping::QuotaAccounts quota;
  Cancellations cancellations;
  BootTimes boots;
  Metrics metrics;
  /// Called when a job's final state is durable.
  std::function<void(protocol::JobId, bookkeeping::FinalState)> on_job_final_state;
  /// The machine types by name; empty while they are not known.
  std::map<std::string, protocol::MachineType> types;

  /// The bound of a queue or cache that grows with the memory that the settings grant.
  std::size_t max_entries(double entries_per_mb) const {
    return static_cast<std::size_t>(std::max(kBoundLeast, settings.memory_mb * entries_per_mb));
  }
  /// The same of one with an entry for each machine: never less than the largest fleet that is served.
  std::size_t max_machine_entries(double entries_per_mb) const {
    return std::max(constants::kMachinesLeast, max_entries(entries_per_mb));
  }
  /// A random number of [0, limit), evenly distributed.
  double random_below(double limit) { return std::uniform_real_distribution<double>(0, limit)(random); }
  /// The team's weight beside other teams: by the operators' policy, else by its guaranteed resources.
  double share_of(const std::string& team) const {
    if (const auto found = policy.shares.find(team); found != policy.shares.end()) return found->second;
    const auto* known = settings.team(team);
    if (known == nullptr) return kDefaultShare;
    const double guaranteed = known->cpus + known->gpus;
    return guaranteed > 0 ? guaranteed : kDefaultShare;
  }

 private:
  static constexpr double kBoundLeast = 16;  // entries that any queue or cache may hold
  static constexpr double kDefaultShare = 1.0;
};

}  // namespace robinford::coordination
