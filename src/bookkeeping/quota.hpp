/// @file
/// What each team's tasks use, or could use, of its limits.
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

/// What a team uses.
struct Usage {
  double cpus = 0;
  double gpus = 0;
};

/// Running accounts by team, changed with each run, reservation and unknown task. Only the leader's count.
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
  /// Another account that is asked before each placement and informed of each charge. May be null.
  void set_guard(LaunchGuard* guard) { guard_ = guard; }
  /// The guard's other source of capacity promised it to the job.
  bool granted(protocol::JobId job) const { return guard_ != nullptr && guard_->granted(job); }

  /// Tasks or reservations of the job were made.
  void charge(const JobSpec& spec, std::uint32_t tasks);
  /// Tasks or reservations of the job are gone.
  void refund(const JobSpec& spec, std::uint32_t tasks);
  /// Charges the tasks that a machine shows and nobody wants. One of unknown size costs every team the whole
  /// machine. What the machine was charged before must have been refunded.
  void charge_unknown_tasks(Machine& machine, JobLedger& jobs);
  void refund_unknown_tasks(Machine& machine);
  /// What machines that have not shown themselves to this leader may hold of jobs that an earlier one placed.
  void set_unreconciled(std::map<std::string, Usage> unreconciled) {
    unreconciled_ = std::move(unreconciled);
  }

  /// What the team uses, or could use on machines that are not reconciled.
  Usage usage(const std::string& team) const;
  /// Whether so many more tasks stay within the team's limit, and the guard permits them. `kept` cpus are
  /// promised to other jobs of the team. False for an unknown team.
  bool allows(const JobSpec& spec, std::uint32_t tasks, double kept = 0) const;
  /// Whether so many more tasks stay within what the team is guaranteed. False for an unknown team.
  bool within_guarantee(const JobSpec& spec, std::uint32_t tasks) const;
  /// cpus up to the team's limit; none for an unknown team.
  double left(const std::string& team) const;
  /// What the team uses for each unit of its share, for comparison between teams.
  double share_used(const std::string& team, double share) const;

  /// What the running accounts have to be by the runs, reservations and unknown tasks.
  std::map<std::string, Usage> recount(JobLedger& jobs, MachineLedger& machines) const;
  const std::map<std::string, Usage>& running() const { return used_; }

 private:
  const protocol::Settings& settings_;
  std::map<std::string, Usage> used_;
  std::map<std::string, Usage> unreconciled_;
  LaunchGuard* guard_ = nullptr;
};

}  // namespace robinford::bookkeeping
