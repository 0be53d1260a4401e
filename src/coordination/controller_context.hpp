// What the parts of one controller share: in-memory state, clients, the present moment and the actions of
// this step.
#pragma once

#include <algorithm>
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

struct ControllerContext {
  ControllerContext(const protocol::Settings& s, const protocol::Policy& p, std::uint64_t own_incarnation,
                    std::uint64_t seed)
      : settings(s),
        policy(p),
        incarnation(own_incarnation),
        random(seed),
        calls(out),
        state(settings, calls),
        writer(settings, state, random),
        quota(settings),
        cancellations(settings) {}

  const protocol::Settings settings;
  const protocol::Policy policy;
  const std::uint64_t incarnation;
  std::mt19937_64 random;
  protocol::ClockReading now;
  protocol::Outbox out;
  bookkeeping::CallTable calls;
  bookkeeping::StateClient state;
  bookkeeping::TxnWriter writer;
  bookkeeping::JobLedger jobs;
  bookkeeping::MachineLedger machines;
  bookkeeping::QuotaAccounts quota;
  Cancellations cancellations;
  BootTimes boots;
  Metrics metrics;
  // Told when a job's final state is durable.
  std::function<void(protocol::JobId, bookkeeping::FinalState)> job_over;
  std::map<std::string, protocol::MachineType> types;  // the catalog; empty: not known yet

  // Bounds of queues and caches follow from the memory that the settings grant.
  std::size_t per_memory(double entries_a_mb) const {
    return static_cast<std::size_t>(std::max(16.0, settings.memory_mb * entries_a_mb));
  }
  // ...and of what is kept a machine, never fewer than of the largest fleet that is served.
  std::size_t per_machine(double entries_a_mb) const {
    return std::max(constants::kMachinesLeast, per_memory(entries_a_mb));
  }
  double draw(double below) { return std::uniform_real_distribution<double>(0, below)(random); }
  double share_of(const std::string& team) const {
    if (const auto found = policy.shares.find(team); found != policy.shares.end()) return found->second;
    const auto* known = settings.team(team);
    return known != nullptr && known->cpus + known->gpus > 0 ? known->cpus + known->gpus : 1.0;
  }
};

}  // namespace robinford::coordination
