// Lists that come from outside mean the same in any order and with any repeated entries: those of workers, of
// the cloud, and the machines in stored records.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bookkeeping/machine_record.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"
#include "protocol/peer_codec.hpp"
#include "protocol/task_list.hpp"

namespace robinford::protocol {
namespace {

namespace json = boost::json;
namespace n = names;

// The entries in an order of their own, each once or more often.
template <typename List>
List mixed(List entries, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::size_t count = entries.size();
  for (std::size_t i = 0; i < count; ++i)
    if (random() % 3 == 0) entries.push_back(List(entries)[i]);
  for (std::size_t i = entries.size(); i > 1; --i) std::swap(entries[i - 1], entries[random() % i]);
  return entries;
}

std::vector<TaskStatus> draw_tasks(std::uint64_t seed, int count) {
  std::mt19937_64 random(seed);
  std::vector<TaskStatus> tasks;
  for (int i = 0; i < count; ++i) {
    TaskStatus task;
    task.task = {400 + random() % 3, static_cast<std::uint32_t>(random() % 3)};
    task.attempt = random() % 3;
    task.phase = static_cast<TaskPhase>(random() % 5);
    if (task.phase == TaskPhase::kExited) task.exit_reason = static_cast<ExitReason>(1 + random() % 8);
    task.saved = random() % 2 == 0;
    tasks.push_back(task);
  }
  return tasks;
}

std::string bytes_of(const std::vector<TaskStatus>& tasks) {
  Heartbeat heartbeat;
  heartbeat.machine = heartbeat.addr = heartbeat.type = heartbeat.zone = "x";
  heartbeat.tasks = tasks;
  const auto read = read_heartbeat(heartbeat_json(heartbeat));
  RC_ASSERT(read);
  return heartbeat_state(*read);
}

TEST(ListOrder, ATaskListIsReadByTaskAndAttempt) {
  EXPECT_TRUE(rc::check("any order and repeats of a task list are read alike", [] {
    const auto tasks = draw_tasks(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(0, 40));
    const auto other = mixed(tasks, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(bytes_of(tasks) == bytes_of(other));
    const TaskList list(tasks);
    for (const auto& task : tasks) {
      const TaskStatus* found = list.find(task.task, task.attempt);
      RC_ASSERT(found != nullptr && found->task == task.task && found->attempt == task.attempt);
      RC_ASSERT(found->phase >= task.phase);
      if (TaskList::shows_result(task)) RC_ASSERT(TaskList::shows_result(*found));
    }
    RC_ASSERT(list.find({7, 0}, 0) == nullptr);
  }));
}

TEST(ListOrder, TheNewestAttemptOfATaskComesFirst) {
  const TaskList list({{{1, 0}, 4, TaskPhase::kExited, ExitReason::kStopped, false},
                       {{1, 0}, 9, TaskPhase::kRunning, ExitReason::kNone, false},
                       {{1, 0}, 9, TaskPhase::kFetching, ExitReason::kNone, false}});
  ASSERT_EQ(list.size(), 2U);
  EXPECT_EQ(list.begin()->attempt, 9U);
  EXPECT_EQ(list.begin()->phase, TaskPhase::kRunning);
}

TEST(ListOrder, ListsOfTheCloudAreSets) {
  json::array types;
  for (const char* name : {"small", "big", "huge"})
    types.push_back(json::object{
        {n::kTypeName, name}, {n::kCpus, 16}, {n::kMemoryGb, 64}, {n::kZones, json::array{"c", "a", "b"}}});
  types.push_back(json::object{{n::kTypeName, "big"}, {n::kCpus, 8}, {n::kMemoryGb, 64}});
  json::array machines;
  for (const char* name : {"host-2", "host-1", "host-3"})
    for (const char* state : {n::kBooting, n::kFailed})
      machines.push_back(
          json::object{{n::kMachineName, name}, {n::kType, "big"}, {n::kZone, "a"}, {n::kState, state}});
  const json::array names{"host-9", "host-10", "host-8"};
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto catalog = parse_catalog(json::serialize(json::object{{n::kTypes, mixed(types, seed)}}));
    EXPECT_EQ(catalog_json(*catalog),
              catalog_json(*parse_catalog(json::serialize(json::object{{n::kTypes, types}}))));
    EXPECT_EQ(catalog->size(), 3U);
    EXPECT_EQ(catalog->front().zones, (std::vector<std::string>{}));
    EXPECT_EQ(catalog->back().zones, (std::vector<std::string>{"a", "b", "c"}));
    const auto list = parse_machines(json::serialize(json::object{{n::kMachines, mixed(machines, seed)}}));
    ASSERT_EQ(list->machines.size(), 3U);
    EXPECT_EQ(list->machines.back().name, "host-3") << "the next page begins after the last name";
    for (const auto& machine : list->machines) EXPECT_TRUE(machine.failed);
    EXPECT_EQ(*parse_provisioned(json::serialize(json::object{{n::kMachines, mixed(names, seed)}})),
              (std::vector<std::string>{"host-10", "host-8", "host-9"}));
  }
}

TEST(ListOrder, MachinesInARecordAreASet) {
  std::vector<bookkeeping::MachineEntry> entries;
  for (const char* name : {"host-2", "host-1", "host-3"}) {
    entries.push_back({name, "", "big", "a", false, std::nullopt});
    entries.push_back({name, "10.0.0.1:9000", "big", "a", false, std::nullopt});
  }
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto record =
        bookkeeping::decode_machines(json::value(bookkeeping::encode_machines(mixed(entries, seed), 1)), 1);
    ASSERT_TRUE(record);
    ASSERT_EQ(record->machines.size(), 3U);
    EXPECT_EQ(record->machines.front().name, "host-1");
    for (const auto& machine : record->machines) EXPECT_EQ(machine.addr, "10.0.0.1:9000");
  }
}

}  // namespace
}  // namespace robinford::protocol
