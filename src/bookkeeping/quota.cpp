#include "bookkeeping/quota.hpp"

#include <algorithm>

namespace robinford::bookkeeping {

namespace {
constexpr double kRounding = 1e-6;  // amounts are decimal numbers
}

void QuotaAccounts::recount(JobLedger& jobs, MachineLedger& machines) {
  used_.clear();
  for (auto& [id, job] : jobs.all()) {
    const auto count = static_cast<std::uint32_t>(job->runs.size() + job->holds.size());
    if (count > 0) charge(job->spec, count);
  }
  // A machine that has not shown itself to this leader may run any unplaced task of the jobs in its note. Of a job
  // that is over by now not even the team is known: then every team is charged, which lasts until the machine
  // reports without it or is given back.
  for (auto& [name, machine] : machines.all()) {
    bool nobodys = false;
    for (const auto id : machine.may_hold) {
      Job* job = jobs.find(id);
      if (job == nullptr) {
        nobodys = true;
        continue;
      }
      std::uint32_t most = job->unplaced();
      if (job->spec.cpus > 0 && machine.cpus > 0)
        most = std::min(most, static_cast<std::uint32_t>(machine.cpus / job->spec.cpus + kRounding));
      charge(job->spec, most);
    }
    for (const auto& stray : machine.strays) {
      if (const Job* job = jobs.find(stray.task.job)) charge(job->spec, 1);
      else nobodys = true;
    }
    if (!nobodys) continue;
    for (const auto& team : settings_.teams) {
      used_[team.name].cpus += machine.cpus;
      used_[team.name].gpus += machine.gpus;
    }
  }
}

const Usage& QuotaAccounts::usage(const std::string& team) const {
  static const Usage none;
  const auto found = used_.find(team);
  return found == used_.end() ? none : found->second;
}

bool QuotaAccounts::allows(const JobSpec& spec, std::uint32_t tasks) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  const auto& used = usage(spec.team);
  return used.cpus + spec.cpus * tasks <= team->cpus_max + kRounding &&
         used.gpus + spec.gpus * tasks <= team->gpus_max + kRounding;
}

bool QuotaAccounts::within_guarantee(const JobSpec& spec, std::uint32_t tasks) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  const auto& used = usage(spec.team);
  return used.cpus + spec.cpus * tasks <= team->cpus + kRounding && used.gpus + spec.gpus * tasks <= team->gpus + kRounding;
}

double QuotaAccounts::left(const std::string& name) const {
  const auto* team = settings_.team(name);
  return team == nullptr ? 0 : std::max(0.0, team->cpus_max - usage(name).cpus);
}

void QuotaAccounts::charge(const JobSpec& spec, std::uint32_t tasks) {
  auto& used = used_[spec.team];
  used.cpus += spec.cpus * tasks;
  used.gpus += spec.gpus * tasks;
}

double QuotaAccounts::share_used(const std::string& team, double share) const {
  const auto& used = usage(team);
  return (used.cpus + used.gpus) / std::max(share, 1e-9);
}

}  // namespace robinford::bookkeeping
