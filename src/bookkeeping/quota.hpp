/// @file
/// Accounts of what each team uses, or could use, of its limits.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "bookkeeping/job_ledger.hpp"
#include "bookkeeping/launch_guard.hpp"
#include "bookkeeping/machine_ledger.hpp"
#include "protocol/settings.hpp"

namespace robinford::bookkeeping {

/// Resources that a team uses.
struct Usage {
  double cpus = 0;
  double gpus = 0;
};

/// Running accounts by team, updated with each run, reservation and unknown task. Only the leader's accounts
/// are meaningful.
///
/// Invariant: running() equals recount(), up to rounding; the invariant checker of the tests compares them.
/// Section "Load" of docs/design.md. Amounts are in cpus and gpus.
class QuotaAccounts {
 public:
  explicit QuotaAccounts(const protocol::Settings& settings) : settings_(settings) {}
  void clear() {
    used_.clear();
    unreconciled_.clear();
  }
  /// Sets a second check that is consulted before each placement and notified of each charge. May be null.
  void set_guard(LaunchGuard* guard) { guard_ = guard; }
  /// Whether the job holds a grant of quota, according to the guard.
  bool granted(protocol::JobId job) const { return guard_ != nullptr && guard_->granted(job); }

  /// Charges tasks or reservations of the job.
  void charge(const JobSpec& spec, std::uint32_t tasks);
  /// Refunds tasks or reservations of the job.
  void refund(const JobSpec& spec, std::uint32_t tasks);
  /// Charges the unknown tasks of a machine. A task of an unknown job has an unknown size and is charged to
  /// every team as the whole machine. Earlier charges for the machine must have been refunded.
  void charge_unknown_tasks(Machine& machine, JobLedger& jobs);
  void refund_unknown_tasks(Machine& machine);
  /// Sets what unreconciled machines may hold of jobs that an earlier leader placed.
  void set_unreconciled(std::map<std::string, Usage> unreconciled) {
    unreconciled_ = std::move(unreconciled);
  }

  /// What the team uses, plus what it may use on machines that are not reconciled.
  Usage usage(const std::string& team) const;
  /// Whether `tasks` more tasks stay within the team's limit and the guard permits them. `kept` cpus are
  /// promised to other jobs of the team. False for an unknown team.
  bool allows(const JobSpec& spec, std::uint32_t tasks, double kept = 0) const;
  /// Whether `tasks` tasks alone stay within the team's limit. False for an unknown team.
  bool within_limit(const JobSpec& spec, std::uint32_t tasks) const;
  /// Whether `tasks` more tasks stay within the team's guarantee. False for an unknown team.
  bool within_guarantee(const JobSpec& spec, std::uint32_t tasks) const;
  /// Cpus left up to the team's limit; 0 for an unknown team.
  double left(const std::string& team) const;
  /// The team's usage (cpus plus gpus) divided by its share, for comparison between teams.
  double share_used(const std::string& team, double share) const;

  /// Recomputes the running accounts from the runs, reservations and unknown tasks.
  std::map<std::string, Usage> recount(JobLedger& jobs, MachineLedger& machines) const;
  const std::map<std::string, Usage>& running() const { return used_; }

 private:
  const protocol::Settings& settings_;
  std::map<std::string, Usage> used_;
  std::map<std::string, Usage> unreconciled_;
  LaunchGuard* guard_ = nullptr;
};

}  // namespace robinford::bookkeeping
