// The change log: what controllers other than the leader wrote about jobs, one entry for each change, in the
// state service. An entry stands in the same transaction as the change that it records. Only the leader
// deletes entries, after it has acted on them.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"

namespace robinford::coordination {

// The leader's reader of the change log. It watches for entries, reads the whole log about once a second
// (a watch that is refused says nothing, a read proves), and reads it at once for requests that need proof.
class ChangeLog {
 public:
  struct Events {
    std::function<void(protocol::JobId)> cancelled;  // another controller made a cancellation durable
    std::function<void(protocol::JobId)> changed;    // another controller admitted the job
    std::function<void()> lost;                      // entries may have been missed
  };
  using Done = std::function<void(bool read)>;

  ChangeLog(ControllerContext& context, const Election& election, Events events);

  // For a new leader, before it reads the jobs: deletes what is there and watches from there on. `done` tells
  // whether the log could be read; if not, this may be called again.
  void begin(Done done);
  void end();
  void tick();
  // Deletes entries that were acted on, while the writer is quiet.
  void delete_uncollected();

  // Calls `done` after a read of the whole log that began after this call. All that wait share one read, so a
  // flood of questions costs the state service no more than a few requests a second.
  void after_fresh_read(Done done);

  // The entry that goes into the transaction of a change. `sequence` makes the key unique in this process.
  static bookkeeping::WriteOp entry(protocol::JobId id, std::uint64_t incarnation, std::uint64_t sequence,
                                    bool cancelled);

 private:
  void load(const std::string& after, std::uint64_t watch_from, Done done);
  void watch(std::uint64_t after);
  void take_event(const bookkeeping::StateEvent& event);
  void read(const std::string& after);
  void finish_read(bool read);
  void start_read_if_due();
  void delete_entry(const std::string& key, std::uint64_t mod_revision);

  ControllerContext& context_;
  const Election& election_;
  Events events_;
  std::uint64_t generation_ = 0;  // of leadership: answers to calls of an earlier one are ignored
  bool reading_ = false;
  double read_began_ = 0;               // s, steady
  std::vector<Done> waiting_for_next_;  // requests that came after the open read began
  std::vector<Done> waiting_for_open_;
  std::vector<std::pair<std::string, std::uint64_t>>
      uncollected_;  // keys and mod revisions still to be deleted
};

}  // namespace robinford::coordination
