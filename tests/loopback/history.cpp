#include "loopback/history.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace robinford::loopback {
namespace {

using Task = std::pair<std::uint64_t, std::uint32_t>;

std::string text(const Event& event) {
  return "job " + std::to_string(event.job) + ", task " + std::to_string(event.task);
}

class Checker {
 public:
  explicit Checker(const History& history) : history_(history) {}

  Findings run() {
    for (const auto& event : history_.events) take(event);
    for (const auto job : accepted_)
      if (!answered_done_.contains(job) && !cancelled_.contains(job))
        wrong("job " + std::to_string(job) + " was accepted and has not ended");
    for (const auto& [task, workers] : placed_)
      if (!workers.empty()) wrong("job " + std::to_string(task.first) + " is left on a worker");
    findings_.accepted = accepted_.size();
    findings_.done = answered_done_.size();
    return findings_;
  }

 private:
  void wrong(const std::string& what) { findings_.violations.push_back(what); }

  void take(const Event& event) {
    const auto facts = history_.jobs.find(event.job);
    if (facts == history_.jobs.end()) return wrong(text(event) + ": nobody submitted it");
    switch (event.kind) {
      case EventKind::kAccepted:
        accepted_.insert(event.job);
        break;
      case EventKind::kTaskOn:
        task_on(event, facts->second);
        break;
      case EventKind::kTaskOff:
        if (placed_[{event.job, event.task}].erase(event.worker) == 1)
          use_[facts->second.team] -= facts->second.cpus;
        break;
      case EventKind::kTaskDone:
        if (!done_[event.job].insert(event.task).second) wrong(text(event) + ": completed twice");
        break;
      case EventKind::kAnsweredDone:
        answered_done_.insert(event.job);
        if (done_[event.job].size() != facts->second.tasks) wrong(text(event) + ": called done too early");
        break;
      case EventKind::kCancelled:
        cancelled_.insert(event.job);
        break;
      case EventKind::kAnsweredOther:
        if (answered_done_.contains(event.job)) wrong(text(event) + ": called something else after done");
        break;
    }
  }

  void task_on(const Event& event, const JobFacts& facts) {
    auto& workers = placed_[{event.job, event.task}];
    if (!workers.insert(event.worker).second) return;
    if (cancelled_.contains(event.job)) wrong(text(event) + ": started after its cancellation");
    if (workers.size() > 1) wrong(text(event) + ": on two workers at once");
    double& use = use_[facts.team];
    use += facts.cpus;
    auto& highest = findings_.highest_use[facts.team];
    highest = std::max(highest, use);
    const auto limit = history_.limits.find(facts.team);
    if (limit == history_.limits.end() || use > limit->second + 1e-6)
      wrong("team " + facts.team + " uses " + std::to_string(use) + " cpus");
  }

  const History& history_;
  Findings findings_;
  std::set<std::uint64_t> accepted_, answered_done_, cancelled_;
  std::map<Task, std::set<std::string>> placed_;
  std::map<std::uint64_t, std::set<std::uint32_t>> done_;
  std::map<std::string, double> use_;
};

}  // namespace

Findings check(const History& history) { return Checker(history).run(); }

double metric_sum(const std::vector<std::string>& pages, const std::string& name) {
  double sum = 0;
  for (const auto& page : pages) {
    std::istringstream lines(page);
    for (std::string key, value; lines >> key >> value;)
      if (key == "robinford_" + name) sum += std::stod(value);
  }
  return sum;
}

}  // namespace robinford::loopback
