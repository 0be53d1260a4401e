/// @file
/// The change log in the state service: one entry for each job that a controller other than the leader
/// admitted, unless it was recorded as cancelled at once, and for each cancellation that a user requested and
/// that a controller wrote, as it was not a leader with the job in its ledger. An entry is written in the
/// same transaction as the change that it records. Only the leader deletes entries: those that exist when its
/// term begins before it reads the jobs, later ones after it has acted on them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"

namespace robinford::coordination {

/// The leader's reader of the change log. It watches for entries, and also reads the whole log about once a
/// second, less often under a low rate limit: a watch that gets no usable answer reports no entries, while a
/// read shows which ones exist. Requests that need a new read start one as soon as the rate limit allows.
/// Owns the list of entries whose deletion is to be retried. Answers that belong to an earlier term of
/// leadership are ignored.
class ChangeLog {
 public:
  /// Callbacks for the changes on which the leader acts.
  struct Events {
    std::function<void(protocol::JobId)> cancelled;  // another controller made a cancellation durable
    std::function<void(protocol::JobId)> changed;    // another controller admitted the job
    std::function<void()> entries_missed;            // entries may have been missed
  };
  /// `read`: whether the log could be read.
  using Done = std::function<void(bool read)>;

  /// The references must outlive this object.
  ChangeLog(ControllerContext& context, const Election& election, Events events);

  /// Called by a new leader before it reads the jobs: deletes the existing entries and watches for new ones.
  /// May be called again if the log could not be read.
  void begin(Done done);
  /// Called when this controller is no longer the leader: all waiting requests fail.
  void end();
  /// Starts the regular read when it is due.
  void tick();
  /// Retries refused deletions of entries while the writer has few writes queued.
  void retry_deletions();

  /// Calls `done` after a read of the whole log that began after this call, or with false when the term ends.
  /// Requests that wait for the same read share it, so a flood of requests starts at most one read in the
  /// time in which the state service allows kChangeLogCallsPerRead calls, or in kChangeLogReadIntervalS if
  /// that is shorter.
  void after_fresh_read(Done done);

  /// Returns the entry to be written in the transaction of a change. `sequence` makes the key unique in this
  /// process.
  static bookkeeping::WriteOp make_entry(protocol::JobId id, std::uint64_t incarnation,
                                         std::uint64_t sequence, bool cancelled);

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
  std::uint64_t generation_ = 0;  // changed by `begin` and `end`, so that earlier answers are ignored
  bool reading_ = false;
  double read_began_ = 0;                    // s, steady
  std::vector<Done> waiting_for_next_read_;  // requests that no read in progress covers
  std::vector<Done> waiting_for_current_read_;
  std::vector<StoredEntry> failed_deletions_;  // entries whose deletion the writer refused, to be retried
};

}  // namespace robinford::coordination
