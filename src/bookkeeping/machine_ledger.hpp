// The machines: what their reports prove, what may be on them, and when nothing can be on them any more.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::TaskId;

inline constexpr char kMachinePrefix[] = "m/";

enum class MachineState : std::uint8_t {
  kBooting,    // rented or listed, never reported to this leader
  kUp,         // reports
  kSilent,     // was expected to report and does not
  kReturning,  // its return was asked for; all on it counts until the cloud's answer
  kGone,       // the cloud confirmed the return
};
const char* to_text(MachineState state);

struct PendingClear {
  TaskId task;
  std::uint64_t attempt = 0;
  std::uint64_t needs_version = 0;  // durable completions of the job that must be reached first; 0: nothing
};

struct Machine {
  std::string name, addr, type, zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double cpus = 0, gpus = 0, memory_gb = 0;

  std::uint64_t session = 0, seq = 0;
  bool reported = false;      // to this leader
  bool saw_term = false;      // its worker has shown this leader's token
  double last_report = -1e9;
  double last_answer = -1e9;  // the last 200 with this leader's token
  std::optional<double> notice_until;  // steady, when the cloud takes it
  double known_at = 0, rented_at = 0, up_at = 0;
  bool listed_failed = false;
  double last_listed = -1e9;

  std::set<TaskId> tasks;           // runs of the job ledger on this machine
  std::set<JobId> holds;            // gangs that hold room here (possibly several holds each)
  std::vector<PendingClear> clears;
  std::vector<protocol::TaskReport> strays;  // on it by its last report, but nobody's: to be stopped

  std::set<JobId> noted;            // jobs in the durable note
  std::set<JobId> may_hold;         // jobs of an earlier leader's note, until the machine shows itself
  std::uint64_t note_stamp = 0;
  bool note_writing = false;

  std::set<JobId> error_jobs;       // jobs that failed here since the last success
  int errors = 0;
  bool set_aside = false;           // takes nothing new
  // What its time went into, in core seconds: for the log line at its end.
  double useful = 0, lost = 0, fetching = 0;
  bool winding_down = false;        // takes no new array tasks: more room than needed
  double idle_since = 0;
  std::optional<JobId> reserved_by; // room being emptied for this gang
  double reserved_until = 0;
  std::map<std::string, double> images;  // image -> last use
  std::map<std::string, double> image_gb;
};

class MachineLedger {
 public:
  void clear() { machines_.clear(); }
  Machine* find(const std::string& name);
  Machine& add(const std::string& name, double now);
  void erase(const std::string& name) { machines_.erase(name); }
  std::map<std::string, Machine>& all() { return machines_; }

  static bool newer(const Machine& machine, std::uint64_t session, std::uint64_t seq) {
    return session > machine.session || (session == machine.session && seq > machine.seq);
  }
  static void set_state(Machine& machine, MachineState state);
  static std::string key(const std::string& name) { return kMachinePrefix + name; }
  static boost::json::object note(const Machine& machine);
  // The machine as its durable note tells; `may_hold` filled.
  static bool read_note(const boost::json::value& value, Machine& machine);

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace robinford::bookkeeping
