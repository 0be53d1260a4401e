/// @file
/// The jobs of the leader, and a cache of final states.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "bookkeeping/job.hpp"
#include "bookkeeping/job_record.hpp"
#include "bookkeeping/store_keys.hpp"

namespace robinford::bookkeeping {

/// Owns the jobs in memory, by id.
///
/// On a leader it holds the jobs that are not over, and jobs that are over while a machine may still hold
/// tasks of them or their cancellation is not on record. A job that another controller admits is added once
/// the leader has read its live record. On other controllers the ledger holds no jobs. Every controller has a
/// bounded cache of final states.
class JobLedger {
 public:
  /// Removes the jobs at the end of a leader's term. Final states are immutable and are kept.
  void clear();
  /// The job, or null. Valid until the job is erased or added again, or the ledger is cleared.
  Job* find(JobId id);
  /// Adds a newly admitted job and replaces one with the same id. A job with dependencies starts as kWaiting.
  Job& add(JobSpec spec, std::uint64_t mod_revision, std::int64_t submitted_ms, double now);
  void erase(JobId id);
  std::map<JobId, std::unique_ptr<Job>>& all() { return jobs_; }

  /// The cached final state. Empty if it is not cached; the job may be over all the same.
  std::optional<FinalState> final_state(JobId id) const;
  /// Caches a final state that is durable, or implied by the durable cancellation of a dependency. The oldest
  /// entry is evicted above constants::kFinalCacheMax entries.
  void remember_final(JobId id, FinalState state);

  // Shorthands for the functions in job_record.hpp, for callers that do not need the reason of a failure.
  static boost::json::object record(const Job& job, std::size_t limit, bool& whole) {
    auto encoded = encode_job(job, limit);
    whole = encoded.complete;
    return std::move(encoded.value);
  }
  static boost::json::object cancelled_record(boost::json::object live, std::int64_t at_ms) {
    return mark_cancelled(std::move(live), at_ms);
  }
  static bool is_cancelled(const boost::json::value& live) { return is_marked_cancelled(live); }
  static std::unique_ptr<Job> from_record(const boost::json::value& value, std::uint64_t mod_revision,
                                          double now) {
    auto decoded = decode_job(value, mod_revision, now);
    return decoded ? std::move(*decoded) : nullptr;
  }
  static boost::json::object final_record(FinalState state) { return encode_final(state); }
  static std::optional<FinalState> final_from_record(const boost::json::value& value) {
    return decode_final(value);
  }
  static std::string live_key(JobId id) { return live_job_key(id); }
  static std::string final_key(JobId id) { return final_job_key(id); }

  // Setters of the three kinds of state. Each change is logged (those of runs at level trace).
  static void set_state(Job& job, JobState state);
  static void set_gang_state(Job& job, GangState state, double now);
  static void set_run_state(Job& job, TaskRun& run, RunState state);

 private:
  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::unordered_map<JobId, FinalState> finals_;
  std::list<JobId> final_order_;  // oldest first, for eviction
};

}  // namespace robinford::bookkeeping
