// Rounds over the waiting gangs, and the reservations that a gang takes in them.
#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using protocol::JobSpec;

// Whether anything changed since the last round that may let a gang start.
bool Scheduler::take_round_due() {
  const bool due = dirty_ || placements_.capacity_freed() || machine_records_.written();
  dirty_ = false;
  placements_.clear_capacity_freed();
  machine_records_.clear_written();
  return due;
}

void Scheduler::round() {
  const double now = context_.now.steady;
  if (!may_place() || now - last_round_ < c::kRoundEveryS) return;
  if (!take_round_due()) return;
  last_round_ = now;
  claimed_.clear();
  context_.metrics.count("rounds");
  unreconciled_.charge_quota_if_changed();
  waiting_gangs_.clear();
  for (auto& [id, job] : context_.jobs.all()) {
    if (!job->spec.gang || job->state != JobState::kActive) continue;
    if (job->gang != GangState::kRunning) check_gang(*job);
    if (job->gang == GangState::kQueued) waiting_gangs_.push_back(job.get());
  }
  update_tiers();
  if (queue_order_.sort_due()) sort_queues();
  survey_.refresh_if_due(queue_order_.queues());
  std::vector<std::pair<Rank, Job*>> queue;
  for (Job* job : waiting_gangs_)
    if (now >= job->backoff_until && job->runs.empty() && !unreconciled_.may_hold_tasks_of(*job))
      queue.emplace_back(queue_order_.rank(*job, job->spec.tasks), job);
  std::vector<Offer> open;
  if (!queue.empty()) {
    for (auto& [name, machine] : context_.machines.all())
      if (takes_work(context_, machine) && free_resources(context_, machine).cpus > 0)
        open.push_back({&machine, 0, 0});
  }
  int searches = 0, claims = 0;
  std::vector<const JobSpec*> failed;  // what found no capacity in this round
  // The teams' shares move with each placement, so the next gang is chosen afresh after each.
  while (!queue.empty()) {
    const auto best = std::min_element(queue.begin(), queue.end());
    Job* job = best->second;
    queue.erase(best);
    const auto& spec = job->spec;
    const auto alike = [&](const JobSpec* other) {
      return other->cpus <= spec.cpus && other->gpus <= spec.gpus && other->memory_gb <= spec.memory_gb &&
             other->tasks <= spec.tasks && other->spot == spec.spot && other->zone == spec.zone &&
             other->types == spec.types && other->one_zone == spec.one_zone && other->spread == spec.spread;
    };
    if (!context_.quota.allows(spec, spec.tasks)) {
      free_quota_for(*job);
      continue;
    }
    const bool hopeless = !job->avoid.empty() ? false : std::any_of(failed.begin(), failed.end(), alike);
    if (!hopeless && place_gang(*job, open)) {
      std::erase(waiting_gangs_, job);
      for (auto& [rank_of, other] : queue)
        if (other->spec.team == spec.team) rank_of = queue_order_.rank(*other, other->spec.tasks);
      continue;
    }
    if (!hopeless) failed.push_back(&spec);
    if (now >= job->next_preempt && searches < c::kPreemptsMost) {
      ++searches;
      job->next_preempt = now + c::kPreemptEveryS;
      preempt_for(*job);
    }
    if (now - job->known_at > c::kClaimAfterS && claims < c::kClaimsMost) {
      ++claims;
      claim_machines(*job);
      std::erase_if(open, [&](const Offer& offer) { return claimed_.contains(offer.machine->name); });
    }
  }
  for (const auto& offer : open) offer.machine->offered = true;
  // What waiting gangs need of their teams' limits is not for arrays to take, also while it is still being
  // freed: otherwise arrays take it back task by task and the gang never gets the whole.
  gang_kept_.clear();
  std::map<std::string, double> gang_cpus;
  for (const auto& [id, job] : context_.jobs.all())
    if (job->spec.gang)
      gang_cpus[job->spec.team] += job->spec.cpus * (job->runs.size() + job->reservations.size());
  for (const Job* gang : waiting_gangs_) {
    const auto* team = context_.settings.team(gang->spec.team);
    double& used = gang_cpus[gang->spec.team];
    if (static_cast<int>(gang->failed_on.size()) >= c::kJobSuspectMachines || team == nullptr) continue;
    if (used + gang->spec.cpus * gang->spec.tasks > team->cpus_max) continue;
    used += gang->spec.cpus * gang->spec.tasks;
    gang_kept_[gang->spec.team] += gang->spec.cpus * gang->spec.tasks;
  }
  fill_idle();
}

bool Scheduler::place_gang(Job& job, std::vector<Offer>& open) {
  const double now = context_.now.steady;
  std::vector<Offer> offers;
  std::uint32_t all = 0;
  for (const auto& offer : open) {
    Machine& machine = *offer.machine;
    const Resources& free = free_resources(context_, machine);
    if (!free.fits(job.spec) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (const auto avoided = job.avoid.find(machine.name);
        avoided != job.avoid.end() && now < avoided->second)
      continue;
    if (machine.reserved_by && *machine.reserved_by != job.spec.id && now < machine.reserved_until) continue;
    if (claimed_.contains(machine.name)) continue;
    // An earlier attempt of this gang stays listed there: a new one might be refused.
    if (!machine.direct.empty() &&
        std::any_of(machine.direct.begin(), machine.direct.end(),
                    [&](const auto& entry) { return entry.first.job == job.spec.id; }))
      continue;
    const auto slots = std::min(free.tasks_of(job.spec), slots_by_count(context_, job, machine));
    if (slots == 0) continue;
    offers.push_back({&machine, slots, free.cpus, machine.images.contains(job.spec.image)});
    all += slots;
  }
  if (all < job.spec.tasks) return false;
  // Extra reservations only where the team's limit and the free capacity allow them.
  auto extra = static_cast<std::uint32_t>(std::floor(job.spec.tasks * context_.policy.overbook + 1e-9));
  while (extra > 0 && !context_.quota.allows(job.spec, job.spec.tasks + extra)) --extra;
  const auto spots =
      map_gang(job.spec, std::move(offers), job.spec.tasks, extra, context_.policy.concentrate);
  if (!spots) return false;
  for (const auto& spot : *spots) {
    Machine& machine = *context_.machines.find(spot.machine);
    for (std::uint32_t i = 0; i < spot.tasks; ++i) placements_.add_reservation(job, machine);
    if (machine.reserved_by == job.spec.id) machine.reserved_by.reset();
    // With long heartbeat intervals the leader asks for the heartbeat that confirms the reservation.
    if (direct_.launches_directly() && direct_.can_send()) direct_.probe(machine);
  }
  std::erase_if(open, [&](const Offer& offer) { return free_resources(context_, *offer.machine).cpus <= 0; });
  JobLedger::set_gang(job, GangState::kReserving, now);
  return true;
}

// A wide gang that has waited for long keeps the machines that are free for it out of reach of the gangs
// after it, for this round: otherwise narrow ones take each as it comes free. Arrays may use them meanwhile,
// since they step back.
void Scheduler::claim_machines(const Job& job) {
  std::uint32_t left = job.spec.tasks;
  for (auto& [name, machine] : context_.machines.all()) {
    if (left == 0) return;
    if (!takes_work(context_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot) ||
        claimed_.contains(name))
      continue;
    Resources free = free_resources(context_, machine);
    for (const auto& id : machine.tasks) {
      const Job* other = context_.jobs.find(id.job);
      if (other != nullptr && !other->spec.gang && other->priority() < job.priority()) free.give(other->spec);
    }
    const auto slots = std::min(left, free.tasks_of(job.spec));
    if (slots == 0) continue;
    claimed_.insert(name);
    left -= slots;
  }
}

}  // namespace robinford::coordination
