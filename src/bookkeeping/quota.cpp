/// @file
/// Charges, refunds and limit checks of teams.
#include "bookkeeping/quota.hpp"

#include <algorithm>

#include "constants.hpp"

namespace robinford::bookkeeping {

namespace {

constexpr double kShareMin = 1e-9;  // avoids a division by a share of zero

}  // namespace

std::map<std::string, Usage> QuotaAccounts::recount(JobLedger& jobs, MachineLedger& machines) const {
  std::map<std::string, Usage> used;
  const auto add = [&](const JobSpec& spec, std::size_t tasks) {
    used[spec.team].cpus += spec.cpus * tasks;
    used[spec.team].gpus += spec.gpus * tasks;
  };
  for (auto& [id, job] : jobs.all()) add(job->spec, job->runs.size() + job->reservations.size());
  for (auto& [name, machine] : machines.all())
    for (const auto& [team, amount] : machine.unknown_task_charge) {
      used[team].cpus += amount.first;
      used[team].gpus += amount.second;
    }
  return used;
}

Usage QuotaAccounts::usage(const std::string& team) const {
  Usage sum;
  for (const auto* part : {&used_, &unreconciled_})
    if (const auto found = part->find(team); found != part->end()) {
      sum.cpus += found->second.cpus;
      sum.gpus += found->second.gpus;
    }
  return sum;
}

bool QuotaAccounts::allows(const JobSpec& spec, std::uint32_t tasks, double kept) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  const auto used = usage(spec.team);
  const bool fits = used.cpus + kept + spec.cpus * tasks <= team->cpus_max + constants::kAmountRounding &&
                    used.gpus + spec.gpus * tasks <= team->gpus_max + constants::kAmountRounding;
  return fits && (guard_ == nullptr || guard_->permits(spec, tasks, used.cpus, used.gpus, kept));
}

bool QuotaAccounts::within_limit(const JobSpec& spec, std::uint32_t tasks) const {
  const auto* team = settings_.team(spec.team);
  return team != nullptr && spec.cpus * tasks <= team->cpus_max + constants::kAmountRounding &&
         spec.gpus * tasks <= team->gpus_max + constants::kAmountRounding;
}

bool QuotaAccounts::within_guarantee(const JobSpec& spec, std::uint32_t tasks) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  const auto used = usage(spec.team);
  return used.cpus + spec.cpus * tasks <= team->cpus + constants::kAmountRounding &&
         used.gpus + spec.gpus * tasks <= team->gpus + constants::kAmountRounding;
}

double QuotaAccounts::left(const std::string& name) const {
  const auto* team = settings_.team(name);
  return team == nullptr ? 0 : std::max(0.0, team->cpus_max - usage(name).cpus);
}

void QuotaAccounts::charge(const JobSpec& spec, std::uint32_t tasks) {
  auto& used = used_[spec.team];
  used.cpus += spec.cpus * tasks;
  used.gpus += spec.gpus * tasks;
  if (guard_ != nullptr) guard_->charged(spec, tasks);
}

void QuotaAccounts::refund(const JobSpec& spec, std::uint32_t tasks) {
  auto& used = used_[spec.team];
  used.cpus -= spec.cpus * tasks;
  used.gpus -= spec.gpus * tasks;
  if (guard_ != nullptr) guard_->refunded(spec, tasks);
}

void QuotaAccounts::charge_unknown_tasks(Machine& machine, JobLedger& jobs) {
  for (const auto& unknown_task : machine.unknown_tasks) {
    if (const Job* job = jobs.find(unknown_task.task.job)) {
      auto& amount = machine.unknown_task_charge[job->spec.team];
      amount.first += job->spec.cpus;
      amount.second += job->spec.gpus;
      continue;
    }
    for (const auto& team : settings_.teams) {
      auto& amount = machine.unknown_task_charge[team.name];
      amount.first += machine.cpus;
      amount.second += machine.gpus;
    }
  }
  for (const auto& [team, amount] : machine.unknown_task_charge) {
    used_[team].cpus += amount.first;
    used_[team].gpus += amount.second;
  }
}

void QuotaAccounts::refund_unknown_tasks(Machine& machine) {
  for (const auto& [team, amount] : machine.unknown_task_charge) {
    used_[team].cpus -= amount.first;
    used_[team].gpus -= amount.second;
  }
  machine.unknown_task_charge.clear();
}

double QuotaAccounts::share_used(const std::string& team, double share) const {
  const auto used = usage(team);
  return (used.cpus + used.gpus) / std::max(share, kShareMin);
}

}  // namespace robinford::bookkeeping
