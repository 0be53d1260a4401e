// What happened on a loopback site, in order, and a checker of it. The checker knows the protocol's rules
// only, nothing of how the scheduler works.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace robinford::loopback {

enum class EventKind : std::uint8_t {
  kAccepted,       // a user was told that the job is accepted
  kTaskOn,         // a task began to take capacity on a worker
  kTaskOff,        // it takes none any more
  kTaskDone,       // it completed
  kAnsweredDone,   // a user was told that the job is done
  kAnsweredOther,  // a user was told of another state
  kCancelled,      // a user was told that the job is cancelled
};

struct Event {
  EventKind kind = EventKind::kAccepted;
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  std::string worker;
};

struct JobFacts {
  std::string team;
  std::uint32_t tasks = 1;
  double cpus = 1;
};

struct History {
  std::map<std::uint64_t, JobFacts> jobs;
  std::map<std::string, double> limits;  // cpus by team
  std::vector<Event> events;
};

struct Findings {
  std::vector<std::string> violations;
  std::map<std::string, double> highest_use;  // cpus by team
  std::size_t accepted = 0, done = 0;
};

// Limits kept at each moment, no task twice at once or completed twice, no older answer after `done`, every
// accepted job ended with all its tasks or cancelled, nothing left on a worker, and no start of a task that
// was on no worker when its job's cancellation was confirmed.
Findings check(const History& history);

// Sums of one gauge or counter over the text pages of metrics.
double metric_sum(const std::vector<std::string>& pages, const std::string& name);

}  // namespace robinford::loopback
