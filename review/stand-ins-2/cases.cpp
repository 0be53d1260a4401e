#include "cases.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "site.hpp"

namespace standin {
namespace protocol = robinford::protocol;
using protocol::Priority;

namespace {

// Trazo Central, by its page: 3 controllers in three zones, reports every 3 s.
SiteOptions trazo(const CaseArguments& arguments) {
  SiteOptions options;
  options.folder = arguments.folder;
  options.program = arguments.program;
  options.zones = options.locations = {"palermo", "nueva", "cuyo"};
  options.report_s = 3;
  options.lease_s = 44;
  options.cancel_s = 74;
  options.limits = {250, 60, 16, 16};
  options.cloud_rps = 10;
  options.list_lag_s = 3;
  options.cpu = 0.064;
  options.ram_mb = 200;
  options.sockets = 4000;
  for (int i = 0; i < 12; ++i) options.teams.push_back({"estudios-" + std::to_string(i), 45, 135});
  options.objectives = {{"wait", "finalframe", 10, 0.85, 1},
                        {"finished", "finalframe", 300, 0.88, 1},
                        {"finished", "previewpass", 80, 0.88, 1},
                        {"guarantee", "", 15, 0.92, 1}};
  MachineType tablero;
  tablero.name = "tablero";
  tablero.cpus = 16;
  tablero.memory_gb = 64;
  tablero.price = 0.64;
  tablero.spot_price = 0.21;
  tablero.boot_s = 50;
  tablero.cache_gb = 60;
  tablero.fetch_gb_per_s = 0.25;
  tablero.zones = options.zones;
  options.types = {tablero};
  return options;
}

// Pickline Plovdiv, by its page: 3 controllers, reports every second.
SiteOptions pickline(const CaseArguments& arguments) {
  SiteOptions options;
  options.folder = arguments.folder;
  options.program = arguments.program;
  options.zones = {"dunav", "trakia", "vitosha"};
  options.locations = {"trakia", "trakia", "trakia"};
  options.teams = {{"routing", 48, 200},  {"slotting", 112, 408},   {"inbound", 80, 200},
                   {"outbound", 48, 152}, {"forecasting", 64, 248}, {"platform", 48, 90}};
  options.objectives = {{"wait", "wavesolve", 20, 0.82, 1},
                        {"finished", "wavesolve", 100, 0.82, 1},
                        {"deadline", "slotscore", 0, 0.82, 1},
                        {"deadline", "slotscore", 0, 0.88, 1.5},
                        {"guarantee", "", 15, 0.8, 1}};
  MachineType kutia;
  kutia.name = "kutia";
  kutia.cpus = 16;
  kutia.memory_gb = 64;
  kutia.price = 0.97;
  kutia.spot_price = 0.34;
  kutia.boot_s = 30;
  kutia.cache_gb = 40;
  kutia.fetch_gb_per_s = 0.2;
  kutia.zones = options.zones;
  MachineType sklad = kutia;
  sklad.name = "sklad";
  sklad.cpus = 32;
  sklad.price = 1.73;
  sklad.spot_price = 0.7;
  sklad.boot_s = 15;
  options.types = {kutia, sklad};
  return options;
}

JobSpec job(JobId id, const std::string& job_class, const std::string& team, std::uint32_t tasks, double cpus,
            double memory_gb, double estimate_s) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = job_class;
  spec.team = team;
  spec.image = "img-" + job_class;
  spec.image_gb = 0.7;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = memory_gb;
  spec.estimate_s = estimate_s;
  return spec;
}

int verdict(Site& site, bool broken, const std::string& what) {
  site.note(broken ? "the rule was broken: " + what : "the rule held");
  std::cout << (broken ? "broken: " + what : std::string("held")) << '\n';
  return broken ? kBroken : kHeld;
}

bool wait_for_leader(Site& site) {
  for (int i = 0; i < 20; ++i) {
    if (site.leader() >= 0) return true;
    site.run(0.5);
  }
  return false;
}

// An array's tasks make room for a gang, and start again on their machine when the gang is done.
int attempts_listed(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  options.newest_first = std::getenv("OLDEST_FIRST") == nullptr;
  options.at_start = {{"tablero", "palermo", false, 1}};
  options.pools = {{"tablero", "palermo", false, 1}};
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  // Soon after the machine's second report, which shows the token, so that the next one is a second away at
  // least and the array is launched by a direct command.
  if (!site.run(10, [&] { return site.workers().front()->baton > 0; })) return kCouldNotRun;
  site.run(0.8);
  auto array = job(412, "previewpass", "estudios-0", 6, 2, 3.8, 15);
  site.submit(array, 15);
  if (!site.run(20, [&] { return site.tasks_present(412) == 6; })) return kCouldNotRun;
  site.watch(412, 1);
  site.run(3);
  if (arguments.trouble) {
    auto gang = job(413, "finalframe", "estudios-1", 1, 15, 51, 12);
    gang.gang = true;
    gang.priority = Priority::kHigh;
    gang.checkpoint_s = 15;
    gang.save_s = 4;
    site.submit(gang, 12);
    site.watch(413, 1);
    if (!site.run(30, [&] { return site.results(413) == 1; })) return kCouldNotRun;
  }
  const auto all_done = [&] { return site.results(412) == 6; };
  if (!site.run(60, all_done)) site.note("not all tasks completed");
  site.run(30, [&] { return site.told_over_at(412) >= 0; });
  return verdict(site, site.told_over_at(412) < 0,
                 "all tasks have completed and the job is not called done, launches of completed tasks: " +
                     std::to_string(site.launches_after_result()));
}

// The state service lowers its limits after the upgrade, as the settings had announced. A job with a long
// description was accepted before.
int limits_lowered(const CaseArguments& arguments) {
  auto options = pickline(arguments);
  options.at_start = {{"sklad", "trakia", false, 2}};
  options.pools = {{"sklad", "trakia", false, 4}};
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  site.run(3);
  auto wide = job(501, "slotscore", "slotting", 4, 1, 1, 60);
  auto wide_done = job(502, "slotscore", "slotting", 2, 1, 1, 2);
  std::vector<std::string> allowed{"kutia", "sklad"};
  for (int i = 0; i < 120; ++i) allowed.push_back("maquina-" + std::to_string(100 + i) + ".2024");
  wide.types = wide_done.types = allowed;
  site.submit(wide, 300);
  site.submit(wide_done, 2);
  if (!site.run(15, [&] { return site.tasks_present(501) == 4 && site.results(502) == 2; }))
    return kCouldNotRun;
  site.watch(502, 1);
  site.watch(501);
  if (!site.run(10, [&] { return site.told_over_at(502) >= 0; })) return kCouldNotRun;
  if (arguments.trouble) site.set_next_limits("rps = 100.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 10");
  for (int i = 0; i < site.count(); ++i) {
    site.restart(i, 3);
    site.run(6);
  }
  if (!wait_for_leader(site)) return kCouldNotRun;
  site.run(4);
  if (arguments.trouble) {
    site.note("the state service has its new limits");
    site.store().set_limits({100, 28, 2, 10});
  }
  site.run(2);
  const auto again = boost::json::serialize(protocol::job_json(wide_done));
  for (int node = 0; node < site.count(); ++node) site.post_once(502, again, node, {});
  site.cancel(501);
  site.run(50, [&] { return site.told_over_at(501) >= 0; });
  site.run(2);
  const bool unanswered = site.told_over_at(501) < 0;
  site.note("tasks of j-000501 on machines at the end: " + std::to_string(site.tasks_present(501)));
  if (unanswered) site.breach("the abort of j-000501 gets no answer");
  return verdict(site, !site.breaches().empty(), site.breaches().empty() ? "" : site.breaches().front());
}

// The machine of an array hangs. The array may not use cheap machines, and a cheap one is up with room.
int idle_machine_counts(const CaseArguments& arguments) {
  auto options = pickline(arguments);
  options.at_start = {{"kutia", "trakia", false, 1}};
  for (const auto& zone : options.zones) {
    options.pools.push_back({"kutia", zone, false, 4});
    options.pools.push_back({"kutia", zone, true, 2});
  }
  options.boot_factor = 0.6;
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  if (!site.run(10, [&] { return site.workers()[0]->baton > 0; })) return kCouldNotRun;
  auto bound = job(601, "slotscore", "slotting", 4, 1, 1, 50);
  site.submit(bound, 50);
  if (!site.run(10, [&] { return site.tasks_present(601) == 4; })) return kCouldNotRun;
  site.watch(601);
  for (JobId id = 602; id < 604; ++id) {
    auto cheap = job(id, "slotscore", "inbound", 40, 1, 1, 10);
    cheap.spot = true;
    cheap.deadline_s = 40;
    site.submit(cheap, 10);
    site.watch(id);
  }
  const auto cheap_up = [&] {
    const auto& all = site.workers();
    return std::any_of(all.begin(), all.end(), [](const auto& one) { return one->spot && one->baton > 0; });
  };
  if (!site.run(40, cheap_up)) return kCouldNotRun;
  const int rented = site.rented();
  auto* home = site.worker_of({601, 0});
  if (arguments.trouble && home != nullptr) site.hang(*home, 25);
  site.run(82, [&] { return site.told_over_at(601) >= 0; });
  return verdict(site, site.told_over_at(601) < 0 && site.tasks_present(601) == 0,
                 "j-000601 is not run; requests for machines that were filled since the hang: " +
                     std::to_string(site.rented() - rented));
}

// A zone has no machine left. The largest array may only run there, and other arrays may run anywhere.
int full_zone(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  // Half of the machines of a zone are not to be had, as on the days of the site file.
  options.at_start = {{"tablero", "palermo", false, 1}};
  options.pools = {{"tablero", "palermo", false, arguments.trouble ? 1 : 2},
                   {"tablero", "nueva", false, 6},
                   {"tablero", "cuyo", false, 6}};
  for (auto& type : options.types) type.boot_s = 20;
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  auto gang = job(700, "finalframe", "estudios-3", 1, 15, 51, 200);
  gang.gang = true;
  gang.priority = Priority::kHigh;
  site.submit(gang, 300);
  if (!site.run(15, [&] { return site.tasks_present(700) == 1; })) return kCouldNotRun;
  auto bound = job(701, "previewpass", "estudios-0", 8, 2, 3.8, 20);
  bound.zone = "palermo";
  auto small = job(702, "previewpass", "estudios-1", 6, 2, 3.8, 10);
  auto other = job(703, "previewpass", "estudios-2", 6, 2, 3.8, 10);
  site.submit(bound, 10);
  site.submit(small, 10);
  site.submit(other, 10);
  for (const JobId id : {701, 702, 703}) site.after(3, [&site, id] { site.watch(id); });
  site.run(95, [&] { return site.told_over_at(702) >= 0 && site.told_over_at(703) >= 0; });
  return verdict(site, site.told_over_at(702) < 0 || site.told_over_at(703) < 0,
                 "j-000702 and j-000703 are not run, requests for machines that were filled: " +
                     std::to_string(site.rented()));
}

// The rule of the page: no job waits for 90 s while there is room for it and its team is under its limit.
constexpr double kLeftWaitingS = 90;

// Follows one job: for how long it has waited, without a break, beside room for it.
class Waiting {
 public:
  Waiting(Site& site, JobSpec spec, double team_limit)
      : site_(site), spec_(std::move(spec)), team_limit_(team_limit), since_(site.now()) {}
  // True: the rule is broken.
  bool look() {
    const int wanted = spec_.gang ? static_cast<int>(spec_.tasks) : 1;
    const bool waits = site_.tasks_present(spec_.id) == 0 && site_.results(spec_.id) < spec_.tasks;
    const bool under_limit = site_.used_by(spec_.team) + spec_.cpus * wanted <= team_limit_;
    if (!waits || !under_limit || site_.room_for(spec_) < wanted) since_ = site_.now();
    longest_ = std::max(longest_, site_.now() - since_);
    return longest_ > kLeftWaitingS;
  }
  double longest() const { return longest_; }

 private:
  Site& site_;
  JobSpec spec_;
  double team_limit_, since_, longest_ = 0;
};

int left_waiting(Site& site, const Waiting& waiting, JobId id) {
  return verdict(site, waiting.longest() > kLeftWaitingS,
                 protocol::job_id_text(id) + " waited for " +
                     std::to_string(static_cast<int>(waiting.longest())) + " s beside room for it");
}

// A machine of a gang of two dies. The other one lives on, and a third one has nothing to do.
int gang_barred(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  for (const auto& zone : options.zones) {
    options.at_start.push_back({"tablero", zone, false, 2});
    options.pools.push_back({"tablero", zone, false, 9});
  }
  options.boot_factor = 0.6;
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  const auto known = [&] {
    const auto& all = site.workers();
    return std::all_of(all.begin(), all.end(), [](const auto& one) { return one->baton > 0; });
  };
  if (!site.run(10, known)) return kCouldNotRun;
  const auto final_frame = [](JobId id, std::uint32_t tasks) {
    auto gang = job(id, "finalframe", "estudios-" + std::to_string(id % 12), tasks, 15, 51, 150);
    gang.gang = true;
    gang.priority = Priority::kHigh;
    gang.checkpoint_s = 15;
    gang.save_s = 4;
    return gang;
  };
  const auto gang = final_frame(801, 2);
  site.submit(gang, 30);
  for (JobId id = 802; id < 805; ++id) site.submit(final_frame(id, 1), 150);
  if (!site.run(15, [&] { return site.tasks_present(801) == 2; })) return kCouldNotRun;
  site.watch(801);
  site.run(1);
  if (arguments.trouble) {
    auto* lost = site.worker_of({801, 1});
    site.die(*lost);
    // Until the machine is returned, nobody can be sure that the task isn't on it.
    if (!site.run(40, [&] { return lost->gone; })) return kCouldNotRun;
  }
  Waiting waiting(site, gang, 135);
  site.run(95, [&] { return waiting.look() || site.told_over_at(801) >= 0; });
  return left_waiting(site, waiting, 801);
}

// A machine fails every task for some seconds and is well again.
int sick_machine(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  options.at_start = {{"tablero", "palermo", false, 1}};
  for (const auto& zone : options.zones) options.pools.push_back({"tablero", zone, false, 9});
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  if (!site.run(10, [&] { return site.workers()[0]->baton > 0; })) return kCouldNotRun;
  if (arguments.trouble) site.sicken(*site.workers()[0], 8);
  const auto drafts = job(951, "previewpass", "estudios-0", 2, 2, 3.8, 25);
  site.submit(drafts, 25);
  site.watch(951);
  site.run(8, [&] { return site.told_over_at(951) >= 0; });
  Waiting waiting(site, drafts, 135);
  site.run(95, [&] { return waiting.look() || site.told_over_at(951) >= 0; });
  return left_waiting(site, waiting, 951);
}

// A gang whose tasks must be spread over zones loses one of its machines.
int spread_gang(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  options.at_start = {{"tablero", "palermo", false, 1}, {"tablero", "nueva", false, 1}};
  for (const auto& zone : options.zones) options.pools.push_back({"tablero", zone, false, 8});
  options.boot_factor = 0.6;
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  if (!site.run(10, [&] { return site.workers()[0]->baton > 0 && site.workers()[1]->baton > 0; }))
    return kCouldNotRun;
  auto gang = job(901, "walkthrough", "estudios-0", 2, 2, 6.4, 20);
  gang.gang = gang.spread = true;
  gang.checkpoint_s = 20;
  gang.save_s = 4;
  site.submit(gang, 20);
  if (!site.run(15, [&] { return site.tasks_present(901) == 2; })) return kCouldNotRun;
  site.watch(901);
  site.run(1);
  if (arguments.trouble) site.die(*site.worker_of({901, 1}));
  // A few small drafts of other studios.
  std::vector<JobId> drafts;
  for (int i = 0; i < 6; ++i) {
    drafts.push_back(902 + i);
    auto draft = job(902 + i, "previewpass", "estudios-" + std::to_string(1 + i), 2, 2, 3.8, 10);
    site.after(2 + 10 * i, [&site, draft] {
      site.submit(draft, 10);
      site.watch(draft.id);
    });
  }
  const auto all_over = [&] {
    return site.told_over_at(901) >= 0 &&
           std::all_of(drafts.begin(), drafts.end(), [&](JobId id) { return site.told_over_at(id) >= 0; });
  };
  site.run(105, all_over);
  int waiting = 0;
  for (const auto id : drafts) waiting += site.told_over_at(id) < 0 ? 1 : 0;
  return verdict(
      site, site.told_over_at(901) < 0,
      "the gang is not run, and " + std::to_string(waiting) +
          " of 6 arrays wait; requests for machines that were filled: " + std::to_string(site.rented()));
}

// Gangs of a team come that need a machine more than the cloud has. An array of the same team would fit.
int wide_gangs(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  options.at_start = {{"tablero", "palermo", false, 2}};
  options.pools = {{"tablero", "palermo", false, 2}};
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  if (!site.run(10, [&] { return site.workers()[0]->baton > 0 && site.workers()[1]->baton > 0; }))
    return kCouldNotRun;
  // Drafts of another studio keep the machines.
  auto others = job(920, "previewpass", "estudios-1", 12, 2, 3.8, 25);
  site.submit(others, 25);
  if (arguments.trouble)
    for (JobId id = 921; id < 924; ++id) {
      auto gang = job(id, "finalframe", "estudios-0", 3, 15, 51, 150);
      gang.gang = true;
      gang.priority = Priority::kHigh;
      gang.checkpoint_s = 15;
      gang.save_s = 4;
      site.submit(gang, 150);
    }
  site.run(2);
  auto drafts = job(930, "previewpass", "estudios-0", 4, 2, 3.8, 25);
  site.submit(drafts, 25);
  site.watch(930);
  site.watch(920);
  Waiting waiting(site, drafts, 135);
  site.run(108, [&] { return waiting.look() || site.told_over_at(930) >= 0; });
  site.note("no task has started for " + std::to_string(site.now() - site.last_start()) + " s");
  return left_waiting(site, waiting, 930);
}

// A gang must be in one zone. The zone that has some room for it has no machine left.
int one_zone_gang(const CaseArguments& arguments) {
  auto options = trazo(arguments);
  options.at_start = {{"tablero", "palermo", false, 1}};
  options.pools = {{"tablero", "palermo", false, arguments.trouble ? 1 : 2},
                   {"tablero", "nueva", false, 6},
                   {"tablero", "cuyo", false, 6}};
  options.boot_factor = 0.6;
  Site site(std::move(options));
  if (!wait_for_leader(site)) return kCouldNotRun;
  auto first = job(910, "finalframe", "estudios-1", 1, 11, 30, 300);
  first.gang = true;
  first.priority = Priority::kHigh;
  site.submit(first, 300);
  if (!site.run(15, [&] { return site.tasks_present(910) == 1; })) return kCouldNotRun;
  auto gang = job(911, "walkthrough", "estudios-0", 4, 2, 6.4, 20);
  gang.gang = gang.one_zone = true;
  gang.checkpoint_s = 20;
  gang.save_s = 4;
  site.submit(gang, 20);
  site.after(3, [&site] { site.watch(911); });
  site.run(100, [&] { return site.told_over_at(911) >= 0; });
  return verdict(
      site, site.told_over_at(911) < 0,
      "the gang is not run, requests for machines that were filled: " + std::to_string(site.rented()));
}

}  // namespace

const std::map<std::string, std::function<int(const CaseArguments&)>>& cases() {
  static const std::map<std::string, std::function<int(const CaseArguments&)>> all{
      {"attempts_listed", attempts_listed},
      {"limits_lowered", limits_lowered},
      {"idle_machine_counts", idle_machine_counts},
      {"full_zone", full_zone},
      {"gang_barred", gang_barred},
      {"wide_gangs", wide_gangs},
      {"sick_machine", sick_machine},
      {"spread_gang", spread_gang},
      {"one_zone_gang", one_zone_gang}};
  return all;
}

}  // namespace standin
