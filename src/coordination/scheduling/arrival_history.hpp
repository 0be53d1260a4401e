/// @file
/// What arrived lately: the load that new gangs and arrays bring, and the kinds of machines that gangs use.
#pragma once

#include <deque>
#include <map>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/machine_kind.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// Owns copies of the descriptions of recently admitted jobs, bounded by `kRecentGangsMax` and
/// `kRecentArraysMax`. The fleet decides from them how much capacity to keep ready; nothing of safety depends
/// on it. The history outlives a term of leadership, since arrivals don't change with the leader.
class ArrivalHistory {
 public:
  /// Both references must outlive the history. `run_times` predicts the work of recorded arrays.
  ArrivalHistory(const ControllerContext& context, const RunTimes& run_times)
      : context_(context), run_times_(run_times) {}

  /// Records a job that became eligible. `time_left_s`: seconds until the job should be over.
  void record(const bookkeeping::Job& job, double time_left_s);

  /// Whether some recent gang could place a task on the whole machine.
  bool suits_gangs(const bookkeeping::Machine& machine) const { return gang_use(machine).fits; }
  /// Whether one task of some recent gang takes most of the machine. Machines are kept ready for such gangs
  /// only: a gang of small tasks finds its place beside other work.
  bool kept_for_gangs(const bookkeeping::Machine& machine) const { return gang_use(machine).fills; }
  /// The last gang of which each task takes most of a machine; without one, the last gang; null if no gang
  /// came. Valid until the next call of `record`.
  const protocol::JobSpec* typical_gang() const;
  /// Machines that arriving gangs fill, per second, over the last `kGangArrivalWindowS`.
  double gang_machines_per_second() const;
  /// Cores that the arrays of the last `kArrayLoadWindowS` keep busy, each team's up to its limit. An array
  /// that can wait for machines to boot (`boot_s` seconds each) counts for less.
  double array_cores(double boot_s) const;

 private:
  struct GangArrival {
    double at;  // steady time, s
    protocol::JobSpec spec;
  };
  struct ArrayArrival {
    double at;  // steady time, s
    protocol::JobSpec spec;
    double cores;      // of all its tasks together
    double allowed_s;  // from its arrival to the time at which it should be over, at least 1
  };
  // What recent gangs could do with a machine of one kind.
  struct GangUse {
    bool fits = false;
    bool fills = false;
  };

  GangUse gang_use(const bookkeeping::Machine& machine) const;
  std::uint32_t tasks_per_machine(const protocol::JobSpec& spec) const;

  const ControllerContext& context_;
  const RunTimes& run_times_;
  std::deque<GangArrival> gangs_;
  std::deque<ArrayArrival> arrays_;
  // Answers of `gang_use`, computed once for each kind and kept for `kGangUseCacheS`.
  mutable std::map<MachineKind, GangUse> gang_use_cache_;
  mutable double gang_use_cached_until_ = 0;
};

}  // namespace robinford::coordination
