/// @file
/// State and services that the components of one controller share.
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

/// Holds the in-memory state, the clients of external services, and the clock reading and actions of the
/// current step. The controller owns the context and sets `now` at the start of each step; its components
/// hold references to the context and must not outlive it. It can be neither copied nor moved, since its
/// members refer to one another.
struct ControllerContext {
  /// `own_incarnation` identifies this process among all processes of its member; `seed` initializes
  /// `random`.
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
  /// The components' only source of random numbers, so that equal seeds give equal runs.
  std::mt19937_64 random;
  protocol::ClockReading now;  ///< of the current step
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
  /// Called when the final state of a job is durable.
  std::function<void(protocol::JobId, bookkeeping::FinalState)> on_job_final_state;
  /// Machine types by name; empty until the catalog has been read.
  std::map<std::string, protocol::MachineType> types;

  /// Maximum number of entries of a queue or cache, in proportion to the memory in the settings but at least
  /// `kBoundLeast`.
  std::size_t max_entries(double entries_per_mb) const {
    return static_cast<std::size_t>(std::max(kBoundLeast, settings.memory_mb * entries_per_mb));
  }
  /// Like `max_entries`, for a queue or cache with one entry per machine: never less than the size of the
  /// largest supported fleet.
  std::size_t max_machine_entries(double entries_per_mb) const {
    return std::max(constants::kMachineBoundMin, max_entries(entries_per_mb));
  }
  /// Returns a uniformly distributed random number in [0, limit).
  double random_below(double limit) { return std::uniform_real_distribution<double>(0, limit)(random); }
  /// Returns the team's fair-share weight: the weight in the operators' policy if there is one, otherwise the
  /// sum of its guaranteed CPUs and GPUs, or `kDefaultShare` if it has none.
  double share_of(const std::string& team) const {
    if (const auto found = policy.shares.find(team); found != policy.shares.end()) return found->second;
    const auto* known = settings.team(team);
    if (known == nullptr) return kDefaultShare;
    const double guaranteed = known->cpus + known->gpus;
    return guaranteed > 0 ? guaranteed : kDefaultShare;
  }

 private:
  static constexpr double kBoundLeast = 16;  // least value of `max_entries`
  static constexpr double kDefaultShare = 1.0;
};

}  // namespace robinford::coordination
