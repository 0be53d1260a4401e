// The invariant checker of the protocol's rules.
#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
using protocol::JobId;
using protocol::JobSpec;
using protocol::TaskId;

void InvariantChecker::breach(const char* rule, double now, const std::string& what) {
  broken_.emplace(rule, "at " + std::to_string(now) + ": " + what);
}

void InvariantChecker::on_machine(double now, const TaskId& task, const Placed& where) {
  ++starts;
  auto& places = placed_[task];
  if (!places.empty())
    breach("ran_twice", now,
           protocol::task_text(task) + " on " + places[0].machine + " and " + where.machine);
  const auto& spec = specs_.at(task.job);
  bool good = (!spec.zone || *spec.zone == where.zone) && (spec.spot || !where.spot);
  if (spec.types)
    good = good && std::find(spec.types->begin(), spec.types->end(), where.type) != spec.types->end();
  std::uint32_t here = 1;
  for (const auto& [other, others] : placed_)
    for (const auto& place : others) {
      if (other.job != task.job) continue;
      if (spec.one_zone && place.zone != where.zone) good = false;
      if (place.zone == where.zone) ++here;
    }
  if (spec.spread && here > (spec.tasks + 1) / 2) good = false;
  if (!good) breach("wrong_place", now, protocol::task_text(task) + " on " + where.machine);
  places.push_back(where);
  double used = 0;
  for (const auto& [other, others] : placed_)
    if (specs_.at(other.job).team == spec.team) used += specs_.at(other.job).cpus * others.size();
  if (used > limits_[spec.team] + 1e-6) breach("quota", now, spec.team + " uses " + std::to_string(used));
  if (const auto at = cancelled_at_.find(task.job); at != cancelled_at_.end() && now > at->second + cancel_s_)
    breach("ran_cancelled", now, protocol::task_text(task));
}

std::map<JobId, std::uint32_t> InvariantChecker::tasks_on_machines() const {
  std::map<JobId, std::uint32_t> tasks;
  for (const auto& [task, places] : placed_) tasks[task.job] += static_cast<std::uint32_t>(places.size());
  return tasks;
}

void InvariantChecker::off_machine(const TaskId& task, const std::string& machine) {
  auto found = placed_.find(task);
  if (found == placed_.end()) return;
  std::erase_if(found->second, [&](const Placed& place) { return place.machine == machine; });
  if (found->second.empty()) placed_.erase(found);
}

void InvariantChecker::task_done(double now, const TaskId& task) {
  done_[task.job].insert(task.index);
  if (done(task.job)) done_at_.emplace(task.job, now);
}

bool InvariantChecker::any_dependency(JobId id, const std::function<bool(JobId)>& visit) const {
  std::vector<JobId> open{id};
  std::set<JobId> seen;
  while (!open.empty()) {
    const auto spec = specs_.find(open.back());
    open.pop_back();
    if (spec == specs_.end()) continue;
    for (const auto dependency : spec->second.dependencies) {
      if (!seen.insert(dependency).second) continue;
      if (visit(dependency)) return true;
      open.push_back(dependency);
    }
  }
  return false;
}

bool InvariantChecker::cancel_was_implied(JobId id) const {
  const auto requested = [this](JobId other) { return cancel_requested_.contains(other); };
  return requested(id) || any_dependency(id, requested);
}

std::optional<double> InvariantChecker::eligible_at(JobId id) const {
  double at = submitted_at_.at(id);
  for (const auto dependency : specs_.at(id).dependencies) {
    const auto over = done_at_.find(dependency);
    if (over == done_at_.end()) return std::nullopt;
    at = std::max(at, over->second);
  }
  return at;
}

bool InvariantChecker::may_be_submitted(const JobSpec& spec) const {
  return std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
                     [this](JobId id) { return accepted_.contains(id); });
}

void InvariantChecker::launched(double now, const TaskId& task) {
  for (const auto dependency : specs_.at(task.job).dependencies)
    if (!done(dependency))
      breach("too_early", now,
             protocol::task_text(task) + " before " + protocol::job_id_text(dependency) + " was done");
}

bool InvariantChecker::done(JobId id) const {
  const auto found = done_.find(id);
  return found != done_.end() && found->second.size() == specs_.at(id).tasks;
}

void InvariantChecker::began(double now, const TaskId& task) { began_at_.emplace(task.job, now); }

void InvariantChecker::answered(double now, JobId id) { answered_at_[id] = now; }

void InvariantChecker::watch_answers(double now) {
  if (now < faults_end_ + kForgottenAfter) return;
  for (const auto id : accepted_) {
    const auto last = answered_at_.find(id);
    if (now - std::max(last == answered_at_.end() ? 0 : last->second, faults_end_) > kForgottenAfter)
      breach("forgotten", now, protocol::job_id_text(id) + ": no question about it is answered");
  }
}

void InvariantChecker::close(double now) {
  watch_answers(now);
  struct Count {
    int served = 0, all = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [id, spec] : specs_)
    largest[spec.job_class] = std::max(largest[spec.job_class], spec.tasks);
  for (const auto id : accepted_) {
    const auto eligible = eligible_at(id);
    if (cancel_was_implied(id) || !eligible) continue;
    const auto& spec = specs_.at(id);
    const bool large = spec.tasks * 2 > largest[spec.job_class];
    const auto began = began_at_.find(id);
    const double waited = (began == began_at_.end() ? now : began->second) - *eligible;
    if (large && waited > kLargestBegin)
      breach("late_large", now, protocol::job_id_text(id) + " began after " + std::to_string(waited));
    for (const auto& group : {"class " + spec.job_class, "team " + spec.team,
                              large ? "largest of " + spec.job_class : std::string()}) {
      if (group.empty()) continue;
      ++counts[group].all;
      counts[group].served +=
          done(id) || (began != began_at_.end() && now - *eligible < kLargestBegin) ? 1 : 0;
    }
  }
  for (const auto& [group, count] : counts)
    if (count.served * 2 < count.all)
      breach("unserved", now,
             group + ": " + std::to_string(count.served) + " of " + std::to_string(count.all));
}

void InvariantChecker::answered_bad(double now, JobId id, int status, int expected) {
  if (status == 503 || status == 0 || status == expected) return;
  breach("accepted_bad", now,
         protocol::job_id_text(id) + " got " + std::to_string(status) + ", not " + std::to_string(expected));
}

std::vector<JobId> InvariantChecker::running() const {
  std::set<JobId> ids;
  for (const auto& [task, places] : placed_)
    if (accepted_.contains(task.job) && !cancel_requested_.contains(task.job)) ids.insert(task.job);
  return {ids.begin(), ids.end()};
}

void InvariantChecker::watch_waiting(double now, const std::vector<FreeCapacity>& free_machines) {
  std::map<std::string, double> used;
  std::map<JobId, std::size_t> held;
  for (const auto& [task, places] : placed_) {
    used[specs_.at(task.job).team] += specs_.at(task.job).cpus * static_cast<double>(places.size());
    ++held[task.job];
  }
  for (const auto& [id, tasks] : done_) held[id] += tasks.size();
  for (const auto id : accepted_) {
    const auto& spec = specs_.at(id);
    const std::size_t has = held[id];
    std::size_t fits = 0;
    for (const auto& free : free_machines) {
      if ((spec.zone && *spec.zone != free.zone) || (free.spot && !spec.spot)) continue;
      if (spec.types && std::find(spec.types->begin(), spec.types->end(), free.type) == spec.types->end())
        continue;
      if (spec.spread || (spec.gang && spec.one_zone))
        continue;  // what fits those is not for this look to say
      fits += static_cast<std::size_t>(
          std::floor(std::min(free.cpus / spec.cpus, free.memory_gb / spec.memory_gb) + 1e-9));
    }
    const std::size_t wants = spec.gang ? spec.tasks : 1;
    const bool could = !cancel_was_implied(id) && eligible_at(id) && has < spec.tasks && fits >= wants &&
                       used[spec.team] + spec.cpus * static_cast<double>(wants) <= limits_[spec.team] + 1e-6;
    auto& since = waits_since_.try_emplace(id, now).first->second;
    if (!could || has != std::exchange(held_[id], has) || now < faults_end_) since = now;
    if (now - since > kLeftWaiting)
      breach("left_waiting", now, protocol::job_id_text(id) + " waits beside room that fits");
  }
}

void InvariantChecker::look(double now) {
  for (const auto& [task, places] : placed_)
    if (const auto at = cancelled_at_.find(task.job);
        at != cancelled_at_.end() && now > at->second + cancel_s_)
      breach("ran_cancelled", now, protocol::task_text(task) + " on " + places[0].machine);
}

void InvariantChecker::announced(double now, double asked_at, JobId id, int status, const std::string& state,
                                 bool accepted) {
  const std::string name = protocol::job_id_text(id);
  if (status == 404 && accepted_.contains(id)) breach("forgotten", now, name);
  if ((status == 400 || status == 422) && accepted_.contains(id)) breach("forgotten", now, name + " refused");
  if (status != 200 && status != 201) return;
  if (!specs_.contains(id)) return breach("invented", now, name);
  if (accepted) accepted_.insert(id);
  if (state == n::kStateDone && !done(id)) breach("not_done", now, name);
  const bool pending = state == n::kStateQueued || state == n::kStateRunning;
  if (pending && any_dependency(id, [&](JobId dependency) {
        const auto cancelled = cancelled_at_.find(dependency);
        return cancelled != cancelled_at_.end() && asked_at > cancelled->second + cancel_s_;
      }))
    breach("orphaned", now, name + " is " + state);
  if (state == n::kStateCancelled && !cancel_was_implied(id))
    breach("went_back", now, name + " cancelled by nobody");
  if (const auto was = final_.find(id);
      was != final_.end() && was->second != state && asked_at > final_at_[id])
    breach("went_back", now, name + " was " + was->second + ", is " + state);
  if (state == n::kStateDone || state == n::kStateCancelled)
    if (final_.emplace(id, state).second) final_at_[id] = now;
  if (state == n::kStateCancelled) cancelled_at_.emplace(id, now);
}

}  // namespace robinford::simulation
