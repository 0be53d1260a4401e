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

/// Tracks waiting jobs on the leader: finds out the states of the jobs that they depend on, reports when a
/// waiting job is ready or cancelled, and computes what jobs inherit from their dependents. Only durable
/// records release a job. The state belongs to one term of leadership; answers that belong to an earlier term
/// are ignored.
class Dependencies {
 public:
  /// Callbacks for the changes on which the leader acts.
  struct Events {
    std::function<void(bookkeeping::Job&)> ready;      // all dependencies of the job are done
    std::function<void(bookkeeping::Job&)> cancelled;  // a dependency of the job is cancelled
    std::function<void(protocol::JobId)> admitted;  // the dependency was accepted, is not in the ledger yet
  };
  /// The references must outlive the object.
  Dependencies(ControllerContext& context, JobLookup& lookup, Events events);

  /// Drops all state, when a term begins or ends.
  void clear();
  /// Starts to track a waiting job that was added to the ledger.
  void track(bookkeeping::Job& job);
  /// Handles the durable final state of a job. Its dependents become ready or are cancelled before this
  /// returns.
  void finished(protocol::JobId id, bookkeeping::FinalState state);
  /// Reads the records of dependencies whose state is unknown, a bounded number at a time.
  void tick();

  /// Whether the state of every dependency is known, so that answers about waiting jobs may come from memory.
  bool all_states_known() const { return unknown_.empty(); }
  /// Whether each waiting job has a dependency that is known not to be done. Any other waiting job may have
  /// been released by an earlier leader, and a new leader must know that before it processes heartbeats.
  bool release_states_known();
  /// Computes the priorities and due times that jobs inherit from their dependents. `duration_s`: expected
  /// seconds from ready to done.
  void inherit_priorities(const std::function<double(const bookkeeping::Job&)>& duration_s);

 private:
  void read(protocol::JobId id);
  bool known_unfinished(protocol::JobId id);

  ControllerContext& context_;
  JobLookup& lookup_;
  Events events_;
  bookkeeping::DependencyGraph graph_;
  std::set<protocol::JobId> unknown_;  // dependencies that are neither in the ledger nor known to be over
  std::set<protocol::JobId> reading_;  // dependencies whose records are being read
  std::set<protocol::JobId> missing_;  // dependencies of which there is no record
  std::uint64_t generation_ = 0;       // changed by `clear`, so that answers from an earlier term are ignored
  double next_read_ = 0;
};

}  // namespace robinford::coordination
