/// @file
/// The change log: what controllers other than the leader wrote about jobs, one entry for each change, in the
/// state service. An entry is written in the same transaction as the change that it records. Only the leader
/// deletes entries, after it has acted on them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"

namespace robinford::coordination {

/// The leader's reader of the change log. It watches for entries, and reads the whole log about once a
/// second, since a watch that the service refused goes unnoticed while a read proves what there is. Requests
/// that need proof get a read at once. Owns the entries that are still to be deleted. Answers that belong to
/// an earlier term of leadership are ignored.
class ChangeLog {
 public:
  /// What the leader has to act on.
  struct Events {
    std::function<void(protocol::JobId)> cancelled;  // another controller made a cancellation durable
    std::function<void(protocol::JobId)> changed;    // another controller admitted the job
    std::function<void()> entries_missed;            // entries may have been missed
  };
  /// `read`: whether the log could be read.
  using Done = std::function<void(bool read)>;

  /// The references must outlive the reader.
  ChangeLog(ControllerContext& context, const Election& election, Events events);

  /// For a new leader, before it reads the jobs: deletes what is there and watches from there on. If the log
  /// could not be read, this may be called again.
  void begin(Done done);
  /// This controller is not the leader any more: all requests that wait are answered with failure.
  void end();
  /// Starts the regular read when it is due.
  void tick();
  /// Deletes entries that were acted on, while the writer is quiet.
  void retry_deletions();

  /// Calls `done` after a read of the whole log that began after this call. All that wait share one read, so
  /// a flood of requests costs the state service no more than a few reads a second.
  void after_fresh_read(Done done);

  /// The entry that goes into the transaction of a change. `sequence` makes the key unique in this process.
  static bookkeeping::WriteOp entry(protocol::JobId id, std::uint64_t incarnation, std::uint64_t sequence,
                                    bool cancelled);

 private:
  struct StoredEntry {
    std::string key;
    std::uint64_t mod_revision;
  };
  void load(const std::string& after, std::uint64_t watch_from, Done done);
  void watch(std::uint64_t after);
  void handle_event(const bookkeeping::StateEvent& event);
  void read(const std::string& after);
  void finish_read(bool read);
  void start_read_if_due();
  void delete_entry(const std::string& key, std::uint64_t mod_revision);

  ControllerContext& context_;
  const Election& election_;
  Events events_;
  std::uint64_t generation_ = 0;  // of leadership: answers to calls of an earlier one are ignored
  bool reading_ = false;
  double read_began_ = 0;                    // s, steady
  std::vector<Done> waiting_for_next_read_;  // requests that came after the open read began
  std::vector<Done> waiting_for_current_read_;
  std::vector<StoredEntry> failed_deletions_;  // still to be deleted
};

}  // namespace robinford::coordination
