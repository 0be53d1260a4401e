// What each team's tasks use, or could use, of its limits.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/job_ledger.hpp"
#include "bookkeeping/machine_ledger.hpp"
#include "protocol/settings.hpp"

namespace robinford::bookkeeping {

struct Usage {
  double cpus = 0, gpus = 0;
};

class QuotaAccounts {
 public:
  explicit QuotaAccounts(const protocol::Settings& settings) : settings_(settings) {}
  // Counts every run, every hold and every task that an unseen machine may still have.
  void recount(JobLedger& jobs, MachineLedger& machines);
  const Usage& usage(const std::string& team) const;
  bool allows(const JobSpec& spec, std::uint32_t tasks) const;
  bool within_guarantee(const JobSpec& spec, std::uint32_t tasks) const;
  double left(const std::string& team) const;  // cpus up to the limit
  void charge(const JobSpec& spec, std::uint32_t tasks);
  double share_used(const std::string& team, double share) const;

 private:
  const protocol::Settings& settings_;
  std::map<std::string, Usage> used_;
};

}  // namespace robinford::bookkeeping
