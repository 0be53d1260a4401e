/// @file
/// Which waiting jobs need which others. Section "Dependencies" of docs/design.md.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::bookkeeping {

/// The dependencies that are not known to be over, and who becomes ready or is cancelled when one ends.
///
/// It does no I/O. Its owner reports final states only once they are durable, so that what follows from them
/// still holds after a failover. Invariant: both maps have the same pairs, and no empty sets.
class DependencyGraph {
 public:
  /// `dependent` waits for `dependency`.
  struct Dependency {
    JobId dependent = 0;
    JobId dependency = 0;
  };

  /// What the end of a job means for the jobs that wait.
  struct Outcome {
    std::vector<JobId> ready;      ///< their last dependency is done
    std::vector<JobId> cancelled;  ///< they need the job directly or through others
  };

  void clear();
  /// `dependent` waits for all of `dependencies`. Repeating the call changes nothing.
  void add(JobId dependent, const std::vector<JobId>& dependencies);
  /// The job waits no more, for whatever reason.
  void remove(JobId dependent);
  /// The final state of a job is durable. Jobs named in the outcome have left the graph.
  Outcome finished(JobId id, FinalState state);

  /// Whether the job waits for any other.
  bool waits(JobId id) const { return dependencies_.contains(id); }
  /// Dependencies of a waiting job that are not known to be over; none for any other job.
  const std::set<JobId>& dependencies(JobId dependent) const;
  /// Every job that some other waits for, with those that wait for it.
  const std::map<JobId, std::set<JobId>>& dependents() const { return dependents_; }
  /// Every pair, ordered so that whatever depends on a dependent comes before it. One pass over the graph,
  /// without recursion, as chains may be long. Pairs on a ring, or behind one, are left out.
  std::vector<Dependency> dependents_first() const;

 private:
  Outcome cancel_dependents(JobId id);

  std::map<JobId, std::set<JobId>> dependencies_;  // by dependent
  std::map<JobId, std::set<JobId>> dependents_;    // by dependency
};

}  // namespace robinford::bookkeeping
