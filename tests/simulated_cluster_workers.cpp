// The stand-ins of the workers.
#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
using protocol::Command;
using protocol::ExitReason;
using protocol::TaskId;
using protocol::TaskPhase;

void SimulatedCluster::drop_task(Worker& worker, const TaskId& id) {
  checker.off_machine(id, worker.name);
  worker.changed = true;
}

void SimulatedCluster::clear_worker(Worker& worker) {
  for (const auto& [id, task] : worker.tasks) drop_task(worker, id);
  worker.tasks.clear();
  worker.earlier.clear();
}

void SimulatedCluster::record_result(const TaskId& task) {
  auto& results = results_[task.job];
  results.insert(task.index);
  checker.task_done(now_, task);
  if (results.size() == described_.at(task.job).tasks) completed_at.emplace(task.job, now_);
}

void SimulatedCluster::complete_earlier_attempt(const TaskId& task) {
  auto& worker = workers_.at(machine_of(task));
  Task earlier;
  earlier.attempt = worker.tasks.at(task).attempt - 1;
  earlier.phase = TaskPhase::kExited;
  earlier.exit_reason = ExitReason::kDone;
  worker.earlier.emplace_back(task, earlier);
  worker.changed = true;
  record_result(task);
}

void SimulatedCluster::end_attempt(const TaskId& task, ExitReason exit_reason) {
  exit_task(workers_.at(machine_of(task)), task, exit_reason, false);
}

int SimulatedCluster::launches_of(const TaskId& task) const {
  const auto found = launches_.find(task);
  return found == launches_.end() ? 0 : found->second;
}

void SimulatedCluster::exit_task(Worker& worker, const TaskId& id, ExitReason exit_reason, bool saved) {
  auto& task = worker.tasks.at(id);
  if (task.phase == TaskPhase::kExited) return;
  task.phase = TaskPhase::kExited;
  task.exit_reason = exit_reason;
  task.saved = saved;
  drop_task(worker, id);
}

// All tasks of the gang's attempt on some machine? `ready`: how many have their image and wait or run.
bool SimulatedCluster::gang_present(const TaskId& id, std::uint64_t attempt, int& ready) const {
  std::set<std::uint32_t> present;
  ready = 0;
  for (const auto& [name, worker] : workers_) {
    if (worker.gone || worker.dead || now_ < worker.hung_until) continue;
    for (const auto& [other, task] : worker.tasks) {
      if (other.job != id.job || task.attempt != attempt || task.phase == TaskPhase::kExited) continue;
      present.insert(other.index);
      if (task.phase == TaskPhase::kWaiting || task.phase == TaskPhase::kRunning) ++ready;
    }
  }
  return present.size() == described_.at(id.job).tasks;
}

void SimulatedCluster::worker_step(Worker& worker) {
  if (worker.gone || worker.dead) return;
  after(kWorkerStep, [this, name = worker.name] { worker_step(workers_.at(name)); });
  if (now_ < worker.hung_until) return;
  if (!worker.up) {
    worker.up = true;
    worker.lease_from = now_;
    worker.changed = true;
  }
  if (now_ - worker.lease_from > options_.lease_s && injected_violation_ != "never_stops") {
    clear_worker(worker);
    ++worker.agent_epoch;
    worker.seq = 0;
    worker.lease_from = now_;
    worker.changed = true;
    worker.in_flight = false;
  }
  std::vector<TaskId> ids;
  for (const auto& [id, task] : worker.tasks) ids.push_back(id);
  for (const auto& id : ids) {
    auto& task = worker.tasks.at(id);
    const auto& spec = described_.at(id.job);
    int ready = 0;
    switch (task.phase) {
      case TaskPhase::kFetching:
        if (now_ < task.ready_at) break;
        if (now_ < worker.faulty_until) {
          task.phase = TaskPhase::kExited;
          task.exit_reason = ExitReason::kError;
          worker.changed = true;
          break;
        }
        checker.on_machine(now_, id, {worker.name, worker.type, worker.zone, worker.spot});
        worker.changed = true;
        if (results_[id.job].contains(id.index)) {
          exit_task(worker, id, ExitReason::kDone, false);
          break;
        }
        // As if something on the machine ended each task as soon as it starts.
        if (injected_violation_ == "stops_at_once") {
          exit_task(worker, id, ExitReason::kStopped, false);
          break;
        }
        task.phase = spec.gang ? TaskPhase::kWaiting : TaskPhase::kRunning;
        task.waits_until = now_ + options_.gang_wait_s;
        task.started_at = now_;
        task.ends_at = now_ + run_s_[id.job];
        if (!spec.gang) {
          first_run.emplace(id.job, now_);
          checker.began(now_, id);
        }
        break;
      case TaskPhase::kWaiting:
        if (gang_present(id, task.attempt, ready) && ready == static_cast<int>(spec.tasks)) {
          first_run.emplace(id.job, now_);
          checker.began(now_, id);
          for (auto& [name, other] : workers_)
            for (auto& [mate, mate_task] : other.tasks)
              if (mate.job == id.job && mate_task.attempt == task.attempt &&
                  mate_task.phase == TaskPhase::kWaiting) {
                mate_task.phase = TaskPhase::kRunning;
                mate_task.started_at = now_;
                mate_task.ends_at = now_ + run_s_[id.job] - progress_[id.job];
                other.changed = true;
              }
        } else if (now_ > task.waits_until) {
          exit_task(worker, id, ExitReason::kAlone, false);
        }
        break;
      case TaskPhase::kRunning: {
        const bool whole = !spec.gang || gang_present(id, task.attempt, ready);
        if (!whole) {
          if (task.lost_mate_at == 0) task.lost_mate_at = now_;
          if (spec.checkpoint_s > 0) {
            const double reached = progress_[id.job] + task.lost_mate_at - task.started_at;
            progress_[id.job] =
                std::max(progress_[id.job], std::floor(reached / spec.checkpoint_s) * spec.checkpoint_s);
          }
          if (now_ - task.lost_mate_at > options_.gang_peer_s)
            exit_task(worker, id, ExitReason::kPeers, false);
          break;
        }
        task.lost_mate_at = 0;
        if (now_ < task.ends_at) break;
        if (!spec.gang) {
          record_result(id);
          exit_task(worker, id, ExitReason::kDone, false);
          job_ended(id.job);
          break;
        }
        for (auto& [name, other] : workers_) {
          std::vector<TaskId> mates;
          for (const auto& [mate, mate_task] : other.tasks)
            if (mate.job == id.job && mate_task.attempt == task.attempt) mates.push_back(mate);
          for (const auto& mate : mates) {
            record_result(mate);
            exit_task(other, mate, ExitReason::kDone, false);
          }
        }
        job_ended(id.job);
        break;
      }
      case TaskPhase::kSaving:
        if (now_ < task.save_until) break;
        progress_[id.job] = std::max(progress_[id.job], task.save_until - spec.save_s - task.started_at);
        exit_task(worker, id, ExitReason::kStopped, true);
        break;
      case TaskPhase::kExited:
        break;
    }
  }
  if (worker.in_flight && now_ - worker.last_sent > 4) {
    worker.in_flight = false;
    worker.node = (worker.node + 1) % options_.controllers;
    worker.next_heartbeat = now_ + 1;
  }
  if (!worker.in_flight && now_ - worker.last_sent >= 0.5 &&
      (now_ >= worker.next_heartbeat ||
       (worker.changed && now_ >= worker.next_heartbeat - options_.heartbeat_interval_s)))
    send_heartbeat(worker);
}

protocol::Heartbeat SimulatedCluster::heartbeat_of(Worker& worker) {
  protocol::Heartbeat heartbeat;
  heartbeat.machine = worker.name;
  heartbeat.addr = worker.addr;
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.spot = worker.spot;
  heartbeat.agent_epoch = worker.agent_epoch;
  heartbeat.seq = ++worker.seq;
  heartbeat.fencing_token = worker.fencing_token;
  if (worker.taken_at > now_) heartbeat.interruption_notice_s = worker.taken_at - now_;
  heartbeat.tasks = list_of(worker);
  return heartbeat;
}

std::vector<protocol::TaskStatus> SimulatedCluster::list_of(const Worker& worker) {
  std::vector<std::pair<TaskId, Task>> listed(worker.earlier);
  listed.insert(listed.end(), worker.tasks.begin(), worker.tasks.end());
  const auto launched_before = [](const auto& left, const auto& right) {
    return left.second.order < right.second.order;
  };
  switch (options_.list_order) {
    case ListOrder::kByTask:
      std::stable_sort(listed.begin(), listed.end(),
                       [](const auto& left, const auto& right) { return left.first < right.first; });
      break;
    case ListOrder::kOldestFirst:
      std::stable_sort(listed.begin(), listed.end(), launched_before);
      break;
    case ListOrder::kNewestFirst:
      std::stable_sort(listed.begin(), listed.end(), launched_before);
      std::reverse(listed.begin(), listed.end());
      break;
    case ListOrder::kMixed:
      for (std::size_t i = 0, count = listed.size(); i < count; i += 1 + list_random_() % 4)
        listed.push_back(listed[i]);
      std::shuffle(listed.begin(), listed.end(), list_random_);
      break;
  }
  std::vector<protocol::TaskStatus> result;
  result.reserve(listed.size());
  for (const auto& [id, task] : listed)
    result.push_back({id, task.attempt, task.phase, task.exit_reason, task.saved});
  return result;
}

void SimulatedCluster::send_heartbeat(Worker& worker) {
  const auto heartbeat = heartbeat_of(worker);
  worker.changed = false;
  worker.in_flight = true;
  worker.last_sent = now_;
  worker.next_heartbeat = now_ + options_.heartbeat_interval_s *
                                     (0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(random_));
  const auto flight = ++worker.flight;
  const double sent = now_;
  const std::string name = worker.name;
  const auto send = [this, name, flight, sent, body = protocol::heartbeat_json(heartbeat), node = worker.node,
                     agent_epoch = worker.agent_epoch] {
    request(node, "workers-" + workers_.at(name).zone, "POST", n::kPathHeartbeat, body,
            [=, this](int status, const std::string& answer) {
              auto& w = workers_.at(name);
              if (w.gone || w.dead || flight != w.flight || !w.in_flight || now_ - sent > 4 ||
                  now_ < w.hung_until || agent_epoch != w.agent_epoch)
                return;
              if (now_ < w.inbound_lost_until) return;  // the answer is lost
              w.in_flight = false;
              if (status != 200) {
                w.node = (w.node + 1) % options_.controllers;
                w.next_heartbeat = now_ + 1;
                w.changed = false;
                return;
              }
              const auto list = protocol::parse_commands(answer);
              if (!list || !list->fencing_token || *list->fencing_token < w.fencing_token) return;
              if (*list->fencing_token > w.fencing_token) w.changed = true;
              w.fencing_token = *list->fencing_token;
              w.lease_from = sent;
              execute_commands(w, list->commands);
            });
  };
  if (now_ < worker.outbound_lost_until) return;  // no connection to any controller
  if (std::exchange(worker.hold_heartbeat, false))
    return deliver_held(name, protocol::heartbeat_json(heartbeat), leader(), now_ + 120);
  if (worker.copy_by > 0 || duplicates("heartbeat")) {
    const double by = worker.copy_by > 0 ? std::exchange(worker.copy_by, 0) : duplicates_.by;
    after(by, [this, name, body = protocol::heartbeat_json(heartbeat)] {
      for (int i = 0; i < options_.controllers; ++i)
        request(i, "workers-" + workers_.at(name).zone, "POST", n::kPathHeartbeat, body,
                [](int, const std::string&) {});
    });
  }
  if (worker.late_by > 0)
    after(std::exchange(worker.late_by, 0), send);
  else
    send();
}

// Carries a direct command out if its token and agent epoch allow it. Returns whether they do.
bool SimulatedCluster::carry_out(Worker& worker, const protocol::CommandList& list, int sender) {
  if (*list.fencing_token < worker.fencing_token || *list.agent_epoch != worker.agent_epoch) return false;
  if (*list.fencing_token > worker.fencing_token) worker.changed = true;
  worker.fencing_token = *list.fencing_token;
  const bool launches = std::any_of(list.commands.begin(), list.commands.end(), [](const Command& command) {
    return command.op == Command::Op::kLaunch;
  });
  if (launches) {
    launch_senders_.insert(sender);
    worker.direct_launches.push_back({list, sender});
  }
  execute_commands(worker, list.commands);
  return true;
}

void SimulatedCluster::repeat_launches(const std::string& machine) {
  auto& worker = workers_.at(machine);
  if (!worker.up || worker.dead || worker.gone || now_ < worker.hung_until) return;
  const auto launches = std::exchange(worker.direct_launches, {});
  for (const auto& launch : launches) carry_out(worker, launch.list, launch.sender);
  worker.direct_launches = launches;
}

void SimulatedCluster::execute_commands(Worker& worker, const std::vector<Command>& commands) {
  for (const auto& command : commands) {
    auto found = worker.tasks.find(command.task);
    if (command.op == Command::Op::kClear) {
      if (found != worker.tasks.end() && found->second.attempt == command.attempt &&
          found->second.phase == TaskPhase::kExited)
        worker.tasks.erase(found);
      std::erase_if(worker.earlier, [&](const auto& entry) {
        return entry.first == command.task && entry.second.attempt == command.attempt;
      });
      continue;
    }
    if (command.op == Command::Op::kLaunch) {
      if (injected_violation_ == "starves") continue;
      if (found != worker.tasks.end() && found->second.attempt == command.attempt) continue;
      const auto lists = [&](std::uint64_t attempt) {
        return std::any_of(worker.earlier.begin(), worker.earlier.end(), [&](const auto& entry) {
          return entry.first == command.task && entry.second.attempt == attempt;
        });
      };
      if (lists(command.attempt)) continue;
      Task task;
      task.attempt = command.attempt;
      task.ready_at = now_ + options_.fetch_s;
      task.order = ++launch_order_;
      worker.changed = true;
      if (found != worker.tasks.end() && found->second.phase != TaskPhase::kExited) {
        task.phase = TaskPhase::kExited;
        task.exit_reason = ExitReason::kBusy;
        worker.earlier.emplace_back(command.task, task);
        continue;
      }
      if (found != worker.tasks.end()) worker.earlier.emplace_back(command.task, found->second);
      for (int i = options_.listed_earlier_attempts; i > 0; --i) {
        Task earlier;
        earlier.attempt = command.attempt - static_cast<std::uint64_t>(i);
        earlier.phase = TaskPhase::kExited;
        earlier.exit_reason = ExitReason::kStopped;
        earlier.order = task.order;
        if (!lists(earlier.attempt)) worker.earlier.emplace_back(command.task, earlier);
      }
      ++launches_[command.task];
      if (results_[command.task.job].contains(command.task.index)) ++launches_after_result;
      if (!described_.contains(command.task.job)) {
        task.phase = TaskPhase::kExited;
        task.exit_reason = ExitReason::kUnknown;
      }
      double used = 0, have = 0;
      for (const auto& [id, other] : worker.tasks)
        if (other.phase != TaskPhase::kExited) used += described_.at(id.job).cpus;
      for (const auto& type : options_.types)
        if (type.name == worker.type) have = type.cpus;
      if (task.exit_reason == ExitReason::kNone &&
          used + described_.at(command.task.job).cpus > have + 1e-6) {
        task.phase = TaskPhase::kExited;
        task.exit_reason = ExitReason::kInsufficientResources;
      }
      worker.tasks[command.task] = task;
      if (task.exit_reason == ExitReason::kNone) {
        checker.launched(now_, command.task);
        for (const auto id : described_.at(command.task.job).dependencies)
          if (!store_.contains(bookkeeping::JobLedger::final_key(id)))
            checker.breach("too_early", now_, protocol::task_text(command.task) + ": an end is not durable");
      }
      // As if whatever waits for this job were launched with it.
      if (injected_violation_ == "too_early")
        for (const auto& [id, spec] : described_)
          if (std::count(spec.dependencies.begin(), spec.dependencies.end(), command.task.job) > 0)
            checker.launched(now_, {id, 0});
      if (injected_violation_ == "starts_twice") {
        // As if a scheduler launched the same task elsewhere too.
        for (auto& [name, other] : workers_)
          if (name != worker.name && other.up && !other.tasks.contains(command.task)) {
            other.tasks[command.task] = task;
            other.tasks[command.task].ready_at = now_;  // before the scheduler sees and stops it
            worker.tasks[command.task].ready_at = now_;
            break;
          }
      }
      continue;
    }
    if (injected_violation_ == "never_stops" || found == worker.tasks.end() ||
        found->second.attempt != command.attempt)
      continue;
    auto& task = found->second;
    const auto& spec = described_.at(command.task.job);
    if (task.phase == TaskPhase::kExited) continue;
    if (task.phase == TaskPhase::kRunning && spec.checkpoint_s > 0 && command.grace_s >= spec.save_s) {
      task.phase = TaskPhase::kSaving;
      task.save_until = now_ + spec.save_s;
      worker.changed = true;
    } else if (task.phase != TaskPhase::kSaving || command.grace_s == 0) {
      exit_task(worker, command.task, ExitReason::kStopped, false);
    }
  }
}

}  // namespace robinford::simulation
