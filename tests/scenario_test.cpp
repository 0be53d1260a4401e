// Runs each file of tests/scenarios in virtual time. The words of a scenario are listed in
// tests/scenarios/README.md.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

using Words = std::map<std::string, std::string>;

struct Line {
  int number = 0;
  double at = 0;
  std::vector<std::string> plain;
  Words named;
};

double number(const Line& line, const std::string& key, double otherwise) {
  const auto found = line.named.find(key);
  return found == line.named.end() ? otherwise : std::stod(found->second);
}

std::string word(const Line& line, std::size_t index) {
  if (index >= line.plain.size())
    throw std::runtime_error("line " + std::to_string(line.number) + ": a word is missing");
  return line.plain[index];
}

std::string job_name(int id) {
  char name[16];
  std::snprintf(name, sizeof name, "j-%06d", id);
  return name;
}

protocol::JobSpec job_of(const Line& line) {
  protocol::JobSpec spec;
  spec.id = protocol::parse_job_id(word(line, 1)).value();
  const auto text = [&](const char* key, const char* otherwise) {
    const auto found = line.named.find(key);
    return found == line.named.end() ? std::string(otherwise) : found->second;
  };
  spec.team = text("team", "red");
  spec.job_class = text("class", "plain");
  spec.image = text("image", "img-1");
  spec.gang = text("shape", "array") == "gang";
  spec.tasks = static_cast<std::uint32_t>(number(line, "tasks", 1));
  spec.cpus = number(line, "cpus", 1);
  spec.memory_gb = number(line, "mem", 1);
  spec.estimate_s = number(line, "run", 5);
  spec.checkpoint_s = number(line, "save_every", 0);
  spec.save_s = number(line, "save", 0);
  spec.one_zone = number(line, "one_zone", 0) > 0;
  spec.spread = number(line, "spread", 0) > 0;
  spec.spot = number(line, "spot", 0) > 0;
  spec.priority = text("priority", "normal") == "high"  ? protocol::Priority::kHigh
                  : text("priority", "normal") == "low" ? protocol::Priority::kLow
                                                        : protocol::Priority::kNormal;
  if (line.named.contains("zone")) spec.zone = line.named.at("zone");
  if (line.named.contains("needs")) {
    std::istringstream needs(line.named.at("needs"));
    for (std::string id; std::getline(needs, id, ',');)
      spec.dependencies.push_back(protocol::parse_job_id(id).value());
    std::sort(spec.dependencies.begin(), spec.dependencies.end());
  }
  if (line.named.contains("due")) spec.deadline_s = number(line, "due", 60);
  return spec;
}

class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& path) : name_(path.stem().string()) {
    std::ifstream in(path);
    std::string text;
    for (int n = 1; std::getline(in, text); ++n) {
      std::istringstream words(text.substr(0, text.find('#')));
      Line line;
      line.number = n;
      for (std::string w; words >> w;) {
        const auto equals = w.find('=');
        if (equals == std::string::npos)
          line.plain.push_back(w);
        else
          line.named[w.substr(0, equals)] = w.substr(equals + 1);
      }
      if (line.plain.empty()) continue;
      if (line.plain[0] == "at") {
        line.at = std::stod(word(line, 1));
        line.plain.erase(line.plain.begin(), line.plain.begin() + 2);
        if (line.plain[0] == "load")
          add_load(line);
        else
          steps_.push_back(line);
      } else if (line.plain[0] == "expect") {
        expects_.push_back(line);
      } else if (line.plain[0] == "until") {
        until_ = std::stod(word(line, 1));
      } else {
        setup(line);
      }
    }
    std::stable_sort(steps_.begin(), steps_.end(), [](const Line& a, const Line& b) { return a.at < b.at; });
  }

  void run() {
    options_.digest = digest_file() != nullptr;
    if (expects_.empty()) throw std::runtime_error("nothing is expected");
    for (int i = 0; i < seeds_; ++i, ++options_.seed) {
      SCOPED_TRACE("seed " + std::to_string(options_.seed));
      run_once();
    }
  }

 private:
  void run_once() {
    SimulatedCluster cluster(options_);
    for (const auto& step : steps_) {
      cluster.run_until(step.at);
      act(cluster, step);
    }
    cluster.run_until(until_);
    cluster.checker.close(until_);
    write_digest(cluster);
    bool breach_expected = false;
    for (const auto& line : expects_) breach_expected = check(cluster, line) || breach_expected;
    if (breach_expected) return;
    for (const auto& [rule, what] : cluster.checker.broken())
      ADD_FAILURE() << "rule broken: " << rule << " " << what;
  }

  // Outside CI, for comparing two versions of the sources: a line a scenario and seed, appended to the file
  // that the variable names.
  static const char* digest_file() { return std::getenv("ROBINFORD_SCENARIO_DIGESTS"); }

  void write_digest(const SimulatedCluster& cluster) const {
    if (digest_file() == nullptr) return;
    std::ofstream(digest_file(), std::ios::app)
        << name_ << ' ' << options_.seed << ' ' << cluster.outbox_digest().text() << '\n';
  }

  // A steady load: one flood a second, and cancellations of a share of its jobs.
  void add_load(const Line& line) {
    const double rate = number(line, "rate", 1), cancelled_share = number(line, "cancel", 0);
    int next_id = std::stoi(word(line, 1).substr(2));
    double due = 0, cancellations_due = 0;
    for (double at = line.at; at < line.at + number(line, "for", 5); ++at) {
      due += rate;
      const int jobs = static_cast<int>(due);
      due -= jobs;
      if (jobs == 0) continue;
      Line flood = line;
      flood.at = at;
      flood.plain = {"flood", std::to_string(jobs), job_name(next_id)};
      steps_.push_back(flood);
      for (const int end = next_id + jobs; next_id < end; ++next_id) {
        cancellations_due += cancelled_share;
        if (cancellations_due < 1) continue;
        --cancellations_due;
        Line cancellation;
        cancellation.number = line.number;
        cancellation.at = at + number(line, "cancel_after", 4.5);
        cancellation.plain = {"cancel", job_name(next_id)};
        steps_.push_back(cancellation);
      }
    }
  }

  void setup(const Line& line) {
    const std::string what = line.plain[0];
    if (what == "site") {
      options_.heartbeat_interval_s = number(line, "heartbeat", options_.heartbeat_interval_s);
      options_.lease_s = number(line, "lease", options_.lease_s);
      options_.fetch_s = number(line, "fetch", options_.fetch_s);
      options_.cancel_s = number(line, "cancel", options_.cancel_s);
      options_.controllers = static_cast<int>(number(line, "controllers", options_.controllers));
      options_.memory_mb = number(line, "memory", options_.memory_mb);
      options_.state_times = number(line, "state", options_.state_times);
      options_.next_value_kb = number(line, "next_kb", options_.next_value_kb);
      options_.next_txn_ops = static_cast<int>(number(line, "next_ops", options_.next_txn_ops));
      options_.next_write_rps = number(line, "next_writes", options_.next_write_rps);
      options_.capacity = static_cast<int>(number(line, "capacity", options_.capacity));
      options_.leases.enabled = number(line, "leases", 0) > 0;
      options_.leases.grant_idle_s = number(line, "grant_idle", options_.leases.grant_idle_s);
      options_.seed = static_cast<std::uint64_t>(number(line, "seed", 1));
      seeds_ = static_cast<int>(number(line, "seeds", 1));
      if (line.named.contains("zones")) {
        options_.zones.clear();
        std::istringstream zones(line.named.at("zones"));
        for (std::string zone; std::getline(zones, zone, ',');) options_.zones.push_back(zone);
      }
    } else if (what == "team") {
      options_.teams[word(line, 1)] = {number(line, "cpus", 0), number(line, "max", 0)};
    } else if (what == "teams") {
      for (int i = 0; i < std::stoi(word(line, 1)); ++i)
        options_.teams["team-" + std::to_string(i)] = {number(line, "cpus", 0), number(line, "max", 0)};
    } else if (what == "type") {
      protocol::MachineType type;
      type.name = word(line, 1);
      type.cpus = number(line, "cpus", 8);
      type.memory_gb = number(line, "mem", 64);
      type.price = number(line, "price", 1);
      type.spot_price = number(line, "spot_price", 0.4);
      type.boot_s = number(line, "boot", 5);
      type.cache_gb = 50;
      type.fetch_gb_per_s = 1;
      options_.types.push_back(type);
    } else if (what == "policy") {
      options_.policy = "return { " + line.named.at("lua") + " }";
    } else {
      throw std::runtime_error("line " + std::to_string(line.number) + ": unknown word " + what);
    }
  }

  // A machine by name, or "of" and a task, or a number in order of creation.
  std::string machine(const SimulatedCluster& cluster, const std::string& text) const {
    if (const auto task = protocol::parse_task(text)) return cluster.machine_of(*task);
    return text.starts_with("host-") ? text : cluster.nth_machine(std::stoi(text));
  }

  int node(const SimulatedCluster& cluster, const std::string& text) const {
    return text == "leader" ? cluster.leader() : std::stoi(text);
  }

  // What befalls the key-value store; false when the line is about something else.
  bool act_on_state_service(SimulatedCluster& cluster, const Line& line, const std::string& what,
                            double for_s) const {
    if (what == "state_outage") {
      cluster.state_outage(for_s);
    } else if (what == "refuse_state") {
      if (const int which = node(cluster, word(line, 1)); which >= 0) cluster.refuse_state(which, for_s);
    } else if (what == "slow_state") {
      cluster.slow_state(number(line, "by", 0.5), for_s);
    } else if (what == "count_changes") {
      cluster.count_changes_from_now();
    } else if (what == "late_writes") {
      cluster.late_writes(number(line, "share", 0.5), number(line, "by", 12), for_s);
    } else if (what == "lose_answers") {
      cluster.lose_answers(number(line, "share", 0.25), for_s);
    } else if (what == "repeat_writes") {
      cluster.repeat_writes(number(line, "share", 0.25), for_s);
    } else if (what == "lose_watches") {
      cluster.lose_watches(for_s);
    } else if (what == "unregistered") {
      cluster.unregistered(node(cluster, word(line, 1)), for_s);
    } else if (what == "state_limits") {
      cluster.state_limits(number(line, "value_kb", 16), static_cast<int>(number(line, "txn_ops", 32)),
                           number(line, "writes", 40));
    } else if (what == "late_txn") {
      cluster.late_txn(number(line, "by", 5));
    } else {
      return false;
    }
    return true;
  }

  void act(SimulatedCluster& cluster, const Line& line) const {
    const std::string what = line.plain[0];
    const double for_s = number(line, "for", 5);
    if (what != "machines" && what != "submit" && what != "flood" && what != "cancel" &&
        what != "inject_violation" && what != "leases" && what != "limit" && what != "count_changes")
      cluster.checker.fault_until(cluster.now() +
                                  std::max({for_s, number(line, "back", 0), number(line, "hang", 0),
                                            number(line, "by", 0) + (what == "duplicate" ? for_s : 0)}));
    if (act_on_state_service(cluster, line, what, for_s)) return;
    if (what == "machines") {
      cluster.machines(std::stoi(word(line, 1)), word(line, 2), word(line, 3), number(line, "spot", 0) > 0);
    } else if (what == "submit") {
      cluster.submit(job_of(line));
    } else if (what == "flood") {
      // Many small jobs, with ids that follow one another.
      Line each = line;
      const auto first = std::stoi(word(line, 2).substr(2));
      for (int i = 0; i < std::stoi(word(line, 1)); ++i) {
        each.plain = {"submit", job_name(first + i)};
        cluster.submit(job_of(each));
      }
    } else if (what == "cancel") {
      cluster.cancel(protocol::parse_job_id(word(line, 1)).value());
    } else if (what == "crash") {
      const double back = number(line, "back", 3);
      if (word(line, 1) == "all") {
        for (int i = 0; i < options_.controllers; ++i) cluster.crash(i, back);
      } else if (const int which = node(cluster, word(line, 1)); which >= 0) {
        cluster.crash(which, back);
      }
    } else if (what == "cloud_outage") {
      cluster.cloud_outage(for_s);
    } else if (what == "cut") {
      const auto place = [&](const std::string& text) {
        return text == "leader" ? "node-" + std::to_string(std::max(0, cluster.leader())) : text;
      };
      const bool hold = number(line, "hold", 0) > 0;
      if (word(line, 1) == "others") {
        for (int i = 0; i < options_.controllers; ++i)
          if (i != cluster.leader())
            cluster.cut("node-" + std::to_string(i), place(word(line, 2)), for_s, hold);
      } else {
        cluster.cut(place(word(line, 1)), place(word(line, 2)), for_s, hold);
      }
    } else if (what == "isolate") {
      if (const int which = node(cluster, word(line, 1)); which >= 0)
        cluster.isolate(which, for_s, number(line, "reset", 0) > 0);
    } else if (what == "freeze") {
      if (const int which = node(cluster, word(line, 1)); which >= 0) cluster.freeze(which, for_s);
    } else if (what == "duplicate") {
      SimulatedCluster::Duplicates duplicates{number(line, "by", 5), cluster.now() + for_s, {}};
      for (std::size_t i = 1; i < line.plain.size(); ++i) duplicates.kinds.insert(line.plain[i]);
      cluster.duplicate(std::move(duplicates));
    } else if (what == "inject_violation") {
      cluster.inject_violation(word(line, 1));
    } else if (what == "cancel_running") {
      cluster.cancel_running(std::stoi(word(line, 1)), number(line, "hang", 0));
    } else if (what == "cancel_at_end") {
      cluster.cancel_at_end(number(line, "share", 1), for_s);
    } else if (what == "slow_links") {
      cluster.slow_links(number(line, "by", 0.3), for_s);
    } else if (what == "boots_fail") {
      cluster.boots_fail(std::stoi(word(line, 1)));
    } else if (what == "polls_storm") {
      cluster.polls_storm(for_s);
    } else if (what == "odd_requests") {
      cluster.odd_requests(for_s);
    } else if (what == "limit") {
      cluster.set_limit(word(line, 1), std::stod(word(line, 2)));
    } else if (what == "leases") {
      cluster.switch_leases(std::stoi(word(line, 1)), word(line, 2) == "on");
    } else {
      const std::string target = machine(cluster, word(line, 1));
      if (target.empty())
        throw std::runtime_error("line " + std::to_string(line.number) + ": no such machine");
      if (what == "hang")
        cluster.hang(target, for_s);
      else if (what == "die")
        cluster.die(target);
      else if (what == "faulty")
        cluster.faulty(target, for_s);
      else if (what == "interruption_notice")
        cluster.interruption_notice(target, for_s);
      else if (what == "late_heartbeat")
        cluster.late_heartbeat(target, number(line, "by", 5));
      else if (what == "lose_inbound")
        cluster.lose_inbound(target, for_s);
      else if (what == "lose_outbound")
        cluster.lose_outbound(target, for_s);
      else if (what == "hold_heartbeat")
        cluster.hold_heartbeat(target);
      else if (what == "copy_heartbeat")
        cluster.copy_heartbeat(target, number(line, "by", 5));
      else if (what == "late_command")
        cluster.late_command(target, number(line, "by", 5));
      else if (what == "repeat_command")
        cluster.repeat_command(target, number(line, "by", 5));
      else if (what == "reset_agent")
        cluster.reset_agent(target);
      else
        throw std::runtime_error("line " + std::to_string(line.number) + ": unknown word " + what);
    }
  }

  // Expectations about numbers; false when the line is about something else.
  static bool check_count(SimulatedCluster& cluster, const Line& line, const std::string& what) {
    if (what == "starts") {
      EXPECT_LE(cluster.checker.starts, std::stoi(word(line, 2)));
      return true;
    }
    if (what == "refused") {
      EXPECT_LE(cluster.store().refusals(), std::stoi(word(line, 2)));
      return true;
    }
    if (what == "spot") {
      EXPECT_GE(cluster.spot_provisioned(), std::stoi(word(line, 2)));
      return true;
    }
    if (what == "keys") {
      EXPECT_LE(cluster.store().count(word(line, 2)), std::stoul(word(line, 3)));
      return true;
    }
    if (what == "changes") {
      EXPECT_GE(cluster.changes_counted(), std::stoul(word(line, 2)));
      return true;
    }
    if (what == "writes_waiting") {
      EXPECT_LE(cluster.writes_waiting(), std::stoul(word(line, 2)));
      return true;
    }
    if (what == "machines") {
      EXPECT_LE(cluster.machines_up(), std::stoi(word(line, 2)));
      return true;
    }
    if (what == "granted") {
      EXPECT_GE(cluster.jobs_granted(), std::stoul(word(line, 2)));
      return true;
    }
    if (what == "promised") {
      EXPECT_LE(cluster.grants_outstanding(), std::stoul(word(line, 2)));
      return true;
    }
    if (what == "shed") {
      EXPECT_LE(cluster.checker.submissions_shed, std::stoi(word(line, 2)));
      return true;
    }
    if (what == "answered") {
      EXPECT_GE(100.0 * cluster.checker.polls_answered, std::stod(word(line, 2)) * cluster.checker.polls_sent)
          << cluster.checker.polls_answered << " of " << cluster.checker.polls_sent << " questions answered";
      return true;
    }
    return false;
  }

  // True when the line expects a broken rule.
  bool check(SimulatedCluster& cluster, const Line& line) const {
    const std::string what = word(line, 1);
    if (what == "broken") {
      EXPECT_TRUE(cluster.checker.broken().contains(word(line, 2)))
          << "the judge did not see " << word(line, 2);
      return true;
    }
    if (check_count(cluster, line, what)) return false;
    const auto id = protocol::parse_job_id(word(line, 2)).value();
    if (what == "accepted") {
      EXPECT_LE(cluster.checker.accepted_at.contains(id) ? cluster.checker.accepted_at[id] : 1e9,
                number(line, "by", 0))
          << word(line, 2);
    } else if (what == "done" || what == "cancelled") {
      EXPECT_EQ(cluster.last_state[id], what == "done" ? names::kStateDone : names::kStateCancelled)
          << word(line, 2);
      if (line.named.contains("by")) {
        EXPECT_LE(cluster.finished_at.contains(id) ? cluster.finished_at[id] : 1e9, number(line, "by", 0))
            << word(line, 2);
      }
    } else if (what == "runs") {
      EXPECT_LE(cluster.first_run.contains(id) ? cluster.first_run[id] : 1e9, number(line, "by", 0))
          << word(line, 2);
    } else if (what == "waits") {
      EXPECT_FALSE(cluster.first_run.contains(id)) << word(line, 2);
    } else {
      ADD_FAILURE() << "line " << line.number << ": unknown word " << what;
    }
    return false;
  }

  const std::string name_;
  Options options_;
  std::vector<Line> steps_, expects_;
  double until_ = 60;
  int seeds_ = 1;
};

std::vector<std::string> scenario_names() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR))
    if (entry.path().extension() == ".txt") names.push_back(entry.path().stem().string());
  std::sort(names.begin(), names.end());
  return names;
}

class Scenarios : public ::testing::TestWithParam<std::string> {};

TEST_P(Scenarios, Holds) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  Scenario(std::filesystem::path(SCENARIO_DIR) / (GetParam() + ".txt")).run();
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, ::testing::ValuesIn(scenario_names()),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace robinford::simulation
