// What each team's tasks use, or could use, of its limits: running accounts, changed with each run,
// reservation and unknown task.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/job_ledger.hpp"
#include "bookkeeping/launch_guard.hpp"
#include "bookkeeping/machine_ledger.hpp"
#include "protocol/settings.hpp"

namespace robinford::bookkeeping {

struct Usage {
  double cpus = 0, gpus = 0;
};

class QuotaAccounts {
 public:
  explicit QuotaAccounts(const protocol::Settings& settings) : settings_(settings) {}
  void clear() {
    used_.clear();
    unreconciled_.clear();
  }
  // Another one that is asked before each placement and told of each charge. May be null.
  void set_guard(LaunchGuard* guard) { guard_ = guard; }
  // The guard's other source of capacity promised it to the job.
  bool granted(protocol::JobId job) const { return guard_ != nullptr && guard_->granted(job); }
  void charge(const JobSpec& spec, std::uint32_t tasks);
  void refund(const JobSpec& spec, std::uint32_t tasks);
  // Tasks that a machine shows and nobody wants. One of unknown size costs every team the whole machine.
  void charge_unknown_tasks(Machine& machine, JobLedger& jobs);
  void refund_unknown_tasks(Machine& machine);
  // What machines that have not shown themselves to this leader may hold of jobs that an earlier one placed.
  void set_unreconciled(std::map<std::string, Usage> unreconciled) {
    unreconciled_ = std::move(unreconciled);
  }

  Usage usage(const std::string& team) const;
  // `kept` of the cpus is spoken for by others of the team.
  bool allows(const JobSpec& spec, std::uint32_t tasks, double kept = 0) const;
  bool within_guarantee(const JobSpec& spec, std::uint32_t tasks) const;
  double left(const std::string& team) const;  // cpus up to the limit
  double share_used(const std::string& team, double share) const;

  // What the running accounts ought to say of runs, reservations and unknown tasks: for tests.
  std::map<std::string, Usage> recount(JobLedger& jobs, MachineLedger& machines) const;
  const std::map<std::string, Usage>& running() const { return used_; }

 private:
  const protocol::Settings& settings_;
  std::map<std::string, Usage> used_, unreconciled_;
  LaunchGuard* guard_ = nullptr;
};

}  // namespace robinford::bookkeeping
