// In which order jobs get capacity: ranks, due times, and which arrays step back when not all can be in time.
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;

Scheduler::Rank Scheduler::rank(const Job& job, std::uint32_t tasks) const {
  Rank rank{!context_.quota.within_guarantee(job.spec, tasks),
            -static_cast<int>(job.priority()),
            job.tier,
            context_.quota.share_used(job.spec.team, context_.share_of(job.spec.team)),
            time_left(job),
            job.submitted_ms,
            job.spec.id};
  // Work that has waited for long comes before the turn of the shares, oldest first: none starves, the
  // largest least.
  if (job.spec.gang ? context_.now.steady - job.known_at > c::kClaimAfterS : waited_too_long(job)) {
    rank.tier = -1;
    rank.share = rank.due = 0;
  }
  return rank;
}

// An array of which nothing has run for long: it has to begin.
bool Scheduler::waited_too_long(const Job& job) const {
  return !job.spec.gang && job.first_start == 0 && context_.now.steady - job.known_at > c::kArrayLongestWaitS;
}

double Scheduler::time_left(const Job& job) const {
  const auto wall_ms = static_cast<double>(context_.now.wall_ms);
  const double inherited = (job.inherited_due_ms - wall_ms) / 1000;
  if (job.spec.deadline_s) return std::min(inherited, (job.due_ms() - wall_ms) / 1000);
  const double age = std::max(0.0, (wall_ms - static_cast<double>(job.eligible_ms())) / 1000);
  for (const auto& objective : context_.settings.objectives)
    if (objective.kind == "finished" && objective.job_class == job.spec.job_class)
      return std::min(inherited, objective.within_s - age);
  return std::min(inherited, c::kDefaultAllowedRuns * run_times_.expected(job) + c::kUnknownRunS - age);
}

// From the moment when it is ready: the image has to be fetched first.
double Scheduler::expected_duration(const Job& job) const {
  double slowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : context_.types)
    if (type.fetch_gb_per_s > 0) slowest = std::min(slowest, type.fetch_gb_per_s);
  const double fetch = std::isfinite(slowest) ? job.spec.image_gb / slowest : 0;
  return run_times_.expected(job) + fetch + 2 * context_.settings.heartbeat_interval_s;
}

// Not all can be in time when a team asks for more than its limit. Going through its arrays by due time,
// whenever one would be late the largest so far steps back: so the fewest jobs are late. Those that stepped
// back are sorted the same way once more, against one and a half times the time they had.
void Scheduler::sort_tiers() {
  const double now = context_.now.steady;
  if (now < next_tiers_) return;
  next_tiers_ = now + c::kTiersEveryS;
  dependencies_.inherit([this](const Job& job) { return expected_duration(job); });
  struct Entry {
    Job* job;
    double left, late_left, work;
  };
  std::map<std::string, std::vector<Entry>> teams;
  for (auto& [id, job] : context_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    const double left = time_left(*job);
    const double age = std::max(0.0, (context_.now.wall_ms - job->submitted_ms) / 1000.0);
    teams[job->spec.team].push_back({job.get(), left, left + (left + age) * 0.5,
                                     job->remaining() * job->spec.cpus * run_times_.expected(*job)});
  }
  // The pace that a team can hope for: its limit less its gangs, and its part of the capacity there is.
  double supply = survey_.supply, demanded = 0;
  std::map<std::string, double> pace, gangs;
  for (const auto& [id, job] : context_.jobs.all())
    if (job->spec.gang)
      gangs[job->spec.team] += job->spec.cpus * (job->runs.size() + job->reservations.size());
  for (const auto& [name, cpus] : gangs) supply -= cpus;
  for (const auto& [name, waiting] : teams) {
    const auto* team = context_.settings.team(name);
    if (team == nullptr) continue;
    double cores = 0;
    for (const auto& entry : waiting) cores += entry.job->remaining() * entry.job->spec.cpus;
    demanded += pace[name] = std::min(cores, std::max(1.0, team->cpus_max - gangs[name]));
  }
  const double part = c::kPaceShare * (demanded > 0 ? std::clamp(supply / demanded, 0.05, 1.0) : 1.0);
  for (auto& [name, waiting] : teams) {
    const double rate = pace[name] * part;
    if (rate <= 0) continue;
    for (int tier = 0; tier < 2; ++tier) {
      const auto limit = [&](const Entry& e) {
        return (tier == 0 ? e.left : e.late_left) - run_times_.expected(*e.job) * c::kLastRunShare;
      };
      std::sort(waiting.begin(), waiting.end(), [&](const Entry& a, const Entry& b) {
        return std::tuple(limit(a), a.job->spec.id) < std::tuple(limit(b), b.job->spec.id);
      });
      std::vector<Entry> chosen, late;
      double work = 0;
      for (const auto& entry : waiting) {
        chosen.push_back(entry);
        work += entry.work;
        while (!chosen.empty() && work / rate > std::max(0.0, limit(entry))) {
          const auto largest = std::max_element(
              chosen.begin(), chosen.end(), [](const Entry& a, const Entry& b) { return a.work < b.work; });
          work -= largest->work;
          late.push_back(*largest);
          chosen.erase(largest);
        }
      }
      for (const auto& entry : chosen) entry.job->tier = tier;
      waiting = std::move(late);
    }
    for (const auto& entry : waiting) entry.job->tier = 2;
  }
}

// Arrays with tasks to place, each team's in its own order.
void Scheduler::sort_queues() {
  next_queues_ = context_.now.steady + c::kQueuesEveryS;
  queues_dirty_ = false;
  placements_.clear_array_unqueued();
  queues_.clear();
  std::map<const Job*, Rank> ranks;
  for (auto& [id, job] : context_.jobs.all()) {
    job->queued = false;
    if (job->spec.gang || job->state != JobState::kActive || job->unplaced() == 0) continue;
    job->queued = true;
    queues_[job->spec.team].push_back(job.get());
    ranks.emplace(job.get(), rank(*job, 1));
  }
  const auto key = [&](const Job* job) {
    const Rank& r = ranks.at(job);
    return std::tuple(r.priority, r.tier, r.due, r.submitted, r.id);
  };
  for (auto& [team, queue] : queues_)
    std::sort(queue.begin(), queue.end(), [&](const Job* a, const Job* b) { return key(a) < key(b); });
}

}  // namespace robinford::coordination
