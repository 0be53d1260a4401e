/// @file
/// Jobs that wait for other jobs. docs/design.md, section "Dependencies".
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "bookkeeping/dependency_graph.hpp"
#include "coordination/controller_context.hpp"
#include "coordination/routing/job_lookup.hpp"

namespace robinford::coordination {

/// The leader's handling of waiting jobs: finds out what became of the jobs that they need, reports when one
/// is ready or cancelled, and computes what jobs inherit_priorities from those that need them. Only durable
/// records release a job. Its state belongs to one term of leadership; answers that belong to an earlier one
/// are ignored.
class Dependencies {
 public:
  /// What the leader has to act on.
  struct Events {
    std::function<void(bookkeeping::Job&)> ready;      // all that it needs is done
    std::function<void(bookkeeping::Job&)> cancelled;  // something that it needs is cancelled
    std::function<void(protocol::JobId)> admitted;  // accepted by another controller, not in the ledger yet
  };
  /// The references must outlive the object.
  Dependencies(ControllerContext& context, JobLookup& lookup, Events events);

  /// A term begins or ends.
  void clear();
  /// A waiting job is in the ledger from now on.
  void watch(bookkeeping::Job& job);
  /// The job's final state is durable. Its dependents become ready or are cancelled before this returns.
  void finished(protocol::JobId id, bookkeeping::FinalState state);
  /// Reads the records of dependencies whose state is not known, a bounded number at a time.
  void tick();

  /// Of every dependency it is known whether it is over: answers about waiting jobs may come from memory.
  bool all_states_known() const { return unknown_.empty(); }
  /// Each waiting job waits for one that is known not to be done. The others might have been released by an
  /// earlier leader, so a new one knows them for what they are before it looks at any heartbeat.
  bool release_states_known();
  /// Priorities and due times of all jobs, from those that need them. `duration_s`: from ready to done.
  void inherit_priorities(const std::function<double(const bookkeeping::Job&)>& duration_s);

 private:
  void read(protocol::JobId id);
  bool known_unfinished(protocol::JobId id);

  ControllerContext& context_;
  JobLookup& lookup_;
  Events events_;
  bookkeeping::DependencyGraph graph_;
  std::set<protocol::JobId> unknown_;  // dependencies that are neither in the ledger nor known to be over
  std::set<protocol::JobId> reading_;  // of them, those whose records are being read
  std::set<protocol::JobId> missing_;  // of them, those of which there is no record
  std::uint64_t generation_ = 0;       // of terms: answers that belong to an earlier one are ignored
  double next_read_ = 0;
};

}  // namespace robinford::coordination
