/// @file
/// Updates of the graph when jobs end, and its topological order.
#include "bookkeeping/dependency_graph.hpp"

namespace robinford::bookkeeping {

void DependencyGraph::clear() {
  dependencies_.clear();
  dependents_.clear();
}

void DependencyGraph::add(JobId dependent, const std::vector<JobId>& dependencies) {
  if (dependencies.empty()) return;
  dependencies_[dependent].insert(dependencies.begin(), dependencies.end());
  for (const auto id : dependencies) dependents_[id].insert(dependent);
}

void DependencyGraph::remove(JobId dependent) {
  const auto found = dependencies_.find(dependent);
  if (found == dependencies_.end()) return;
  for (const auto id : found->second) {
    const auto others = dependents_.find(id);
    others->second.erase(dependent);
    if (others->second.empty()) dependents_.erase(others);
  }
  dependencies_.erase(found);
}

const std::set<JobId>& DependencyGraph::dependencies(JobId dependent) const {
  static const std::set<JobId> none;
  const auto found = dependencies_.find(dependent);
  return found == dependencies_.end() ? none : found->second;
}

DependencyGraph::Outcome DependencyGraph::finished(JobId id, FinalState state) {
  if (state == FinalState::kCancelled) return cancel_dependents(id);
  Outcome outcome;
  const auto found = dependents_.find(id);
  if (found == dependents_.end()) return outcome;
  for (const auto dependent : found->second) {
    const auto waiting = dependencies_.find(dependent);
    waiting->second.erase(id);
    if (!waiting->second.empty()) continue;
    dependencies_.erase(waiting);
    outcome.ready.push_back(dependent);
  }
  dependents_.erase(found);
  return outcome;
}

DependencyGraph::Outcome DependencyGraph::cancel_dependents(JobId id) {
  Outcome outcome;
  std::vector<JobId> open{id};
  while (!open.empty()) {
    const JobId next = open.back();
    open.pop_back();
    const auto found = dependents_.find(next);
    if (found == dependents_.end()) continue;
    const auto dependents = found->second;
    for (const auto dependent : dependents) {
      remove(dependent);
      outcome.cancelled.push_back(dependent);
      open.push_back(dependent);
    }
  }
  return outcome;
}

std::vector<DependencyGraph::Dependency> DependencyGraph::dependents_first() const {
  std::vector<Dependency> pairs;
  std::map<JobId, std::size_t> unvisited;  // number of unvisited dependents, by waiting job
  std::vector<JobId> open;
  for (const auto& [id, dependencies] : dependencies_) {
    const auto found = dependents_.find(id);
    if (found == dependents_.end())
      open.push_back(id);
    else
      unvisited[id] = found->second.size();
  }
  while (!open.empty()) {
    const JobId dependent = open.back();
    open.pop_back();
    for (const auto id : dependencies_.at(dependent)) {
      pairs.push_back({dependent, id});
      const auto left = unvisited.find(id);
      if (left != unvisited.end() && --left->second == 0) open.push_back(id);
    }
  }
  return pairs;
}

}  // namespace robinford::bookkeeping
