/// @file
/// Graph of jobs that wait for other jobs. Section "Dependencies" of docs/design.md.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::bookkeeping {

/// Holds the dependencies that are not known to be over, and computes which jobs become ready or are
/// cancelled when one ends.
///
/// It does no I/O. Its owner reports final states only once they are durable, or implied by the durable
/// cancellation of a dependency, so that the consequences still hold after a failover. Invariant: both maps
/// have the same pairs, and no empty sets.
class DependencyGraph {
 public:
  /// An edge: `dependent` waits for `dependency`.
  struct Dependency {
    JobId dependent = 0;
    JobId dependency = 0;
  };

  /// Consequences of the end of a job for waiting jobs.
  struct Outcome {
    std::vector<JobId> ready;      ///< jobs whose dependencies are now all done
    std::vector<JobId> cancelled;  ///< direct and indirect dependents of a cancelled job
  };

  void clear();
  /// Makes `dependent` wait for all of `dependencies`. The call is idempotent.
  void add(JobId dependent, const std::vector<JobId>& dependencies);
  /// Removes a waiting job, with its edges to its dependencies.
  void remove(JobId dependent);
  /// Handles the final state of a job. The jobs in the outcome are removed from the graph.
  Outcome finished(JobId id, FinalState state);

  /// Whether the job waits for another job.
  bool waits(JobId id) const { return dependencies_.contains(id); }
  /// Dependencies of a waiting job that are not known to be over; none for any other job.
  const std::set<JobId>& dependencies(JobId dependent) const;
  /// Every job that others wait for, with the set of waiting jobs.
  const std::map<JobId, std::set<JobId>>& dependents() const { return dependents_; }
  /// All edges in topological order: edges into a job precede the edges from it to its dependencies.
  /// Iterative, since chains may be long. Edges on a cycle, or reachable from one, are left out.
  std::vector<Dependency> dependents_first() const;

 private:
  Outcome cancel_dependents(JobId id);

  std::map<JobId, std::set<JobId>> dependencies_;  // by dependent
  std::map<JobId, std::set<JobId>> dependents_;    // by dependency
};

}  // namespace robinford::bookkeeping
