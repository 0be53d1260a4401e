// How machines are spread over durable records, and how they move from records by number to records by size.
#include <gtest/gtest.h>

#include "bookkeeping/machine_ledger.hpp"

namespace robinford::bookkeeping {
namespace {
namespace json = boost::json;

constexpr std::size_t kLimit = 1920;
constexpr std::uint64_t kTerm = 7;
constexpr std::int64_t kSinceMs = 1'700'000'000'123;

std::string name_of(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "host-%06d", number);
  return name;
}

void add_machines(MachineLedger& ledger, int from, int to) {
  for (int i = from; i < to; ++i) {
    Machine& machine = ledger.add(name_of(i), 0);
    machine.type = "tablero";
    machine.zone = "palermo";
    machine.addr = "10.100.200." + std::to_string(i % 200) + ":9000";
  }
}

using Records = std::map<std::string, json::object>;

// Writes what the ledger asks for, as the leader does when each write succeeds.
void write_all(MachineLedger& ledger, Records& records) {
  for (auto& [name, group] : ledger.groups()) {
    if (!group.leaving.empty()) continue;
    if (MachineLedger::deletable(group)) {
      records.erase(name);
      group.mod_revision = 0;
      continue;
    }
    if (group.members.empty() || (!group.urgent && !group.outdated)) continue;
    std::vector<std::string> named;
    records[name] = ledger.group_record(name, kTerm, named);
    group.mod_revision = 1;
    group.urgent = group.outdated = false;
    for (const auto& member : group.members) ledger.on_record_written(*ledger.find(member), name);
    for (const auto& member : named) ledger.find(member)->recorded = true;
  }
}

std::set<std::string> all_named(const Records& records) {
  std::set<std::string> names;
  for (const auto& [key, record] : records)
    for (const auto& entry : record.at("all").as_array())
      names.emplace(entry.as_array().at(0).as_string().c_str());
  return names;
}

MachineLedger read_back(const Records& records) {
  MachineLedger ledger;
  for (const auto& [key, record] : records) EXPECT_TRUE(ledger.read_group(key, 1, record, 0, kTerm)) << key;
  return ledger;
}

TEST(MachineRecords, FourThousandMachinesFitSmallValues) {
  MachineLedger ledger;
  ledger.lay_out_by_size(kLimit, kTerm);
  add_machines(ledger, 0, 4000);
  ledger.assign_records();
  Records records;
  write_all(ledger, records);
  EXPECT_EQ(all_named(records).size(), 4000u);
  EXPECT_LE(records.size(), 4000u / 15);
  for (const auto& [key, record] : records) EXPECT_LE(json::serialize(record).size(), kLimit) << key;
  EXPECT_EQ(read_back(records).all().size(), 4000u);
}

TEST(MachineRecords, AlsoWhenAllOfThemAreUnanswered) {
  MachineLedger ledger;
  ledger.lay_out_by_size(kLimit, kTerm);
  add_machines(ledger, 0, 200);
  ledger.assign_records();
  for (auto& [name, machine] : ledger.all()) ledger.set_unanswered(machine, kSinceMs);
  Records records;
  write_all(ledger, records);
  EXPECT_EQ(all_named(records).size(), 200u);
  for (const auto& [key, record] : records) EXPECT_LE(json::serialize(record).size(), kLimit) << key;
}

// The production version wrote them, up to 64 a record.
TEST(MachineRecords, EachMachineIsNamedThroughoutTheMove) {
  MachineLedger old;
  add_machines(old, 0, 300);
  Records records;
  write_all(old, records);
  ASSERT_EQ(records.size(), 5u);

  MachineLedger ledger = read_back(records);
  ledger.lay_out_by_size(kLimit, kTerm);
  ledger.assign_records();
  for (int step = 0; step < 5; ++step) {
    // One write after the other, and a new leader could read after each.
    for (auto& [name, group] : ledger.groups()) {
      if (!group.leaving.empty() || (!group.urgent && !group.outdated && !MachineLedger::deletable(group)))
        continue;
      if (MachineLedger::deletable(group)) {
        records.erase(name);
        group.mod_revision = 0;
        group.outdated = false;
      } else if (!group.members.empty()) {
        std::vector<std::string> named;
        records[name] = ledger.group_record(name, kTerm, named);
        group.mod_revision = 1;
        group.urgent = group.outdated = false;
        for (const auto& member : group.members) ledger.on_record_written(*ledger.find(member), name);
      }
      EXPECT_EQ(all_named(records).size(), 300u);
      EXPECT_EQ(read_back(records).all().size(), 300u);
    }
  }
  for (const auto& [key, record] : records) {
    EXPECT_EQ(key[0], 's');
    EXPECT_LE(json::serialize(record).size(), kLimit);
  }
}

// The answer to the write of the new record was lost with its leader: both name the machine.
TEST(MachineRecords, OneNamedTwiceLeavesTheRecordByNumberOnlyAfterAnotherWrite) {
  Records records;
  MachineLedger old;
  add_machines(old, 0, 3);
  write_all(old, records);
  MachineLedger moving = read_back(records);
  moving.lay_out_by_size(kLimit, kTerm);
  moving.assign_records();
  Records both = records;
  write_all(moving, both);
  both["g0"] = records["g0"];

  MachineLedger ledger = read_back(both);
  EXPECT_EQ(ledger.all().size(), 3u);
  EXPECT_EQ(ledger.groups().at("g0").leaving.size(), 3u);
  ledger.lay_out_by_size(kLimit, kTerm + 1);
  ledger.assign_records();
  EXPECT_FALSE(MachineLedger::deletable(ledger.groups().at("g0")));
  write_all(ledger, both);
  write_all(ledger, both);
  EXPECT_FALSE(both.contains("g0"));
  EXPECT_EQ(all_named(both).size(), 3u);
}

// Its lease is reckoned from a record only if every record that names it says so.
TEST(MachineRecords, OneRecordThatKnowsNothingOfItOutweighsTheOther) {
  Records records;
  MachineLedger old;
  add_machines(old, 0, 1);
  write_all(old, records);
  MachineLedger moving = read_back(records);
  moving.lay_out_by_size(kLimit, kTerm);
  moving.set_unanswered(*moving.find(name_of(0)), kSinceMs);
  moving.assign_records();
  Records both = records;
  write_all(moving, both);
  both["g0"] = records["g0"];
  MachineLedger ledger = read_back(both);
  EXPECT_FALSE(ledger.find(name_of(0))->unanswered_since_ms);
  EXPECT_TRUE(ledger.find(name_of(0))->unanswered_on_record);
  EXPECT_TRUE(ledger.find(name_of(0))->unreconciled);
}

// A machine that is gone during the move holds up nothing.
TEST(MachineRecords, AMachineThatIsGoneLeavesItsRecord) {
  MachineLedger old;
  add_machines(old, 0, 2);
  Records records;
  write_all(old, records);
  MachineLedger ledger = read_back(records);
  ledger.lay_out_by_size(kLimit, kTerm);
  Machine& gone = *ledger.find(name_of(0));
  MachineLedger::set_state(gone, MachineState::kGone);
  ledger.mark_record_for_writing(gone);
  ledger.assign_records();
  write_all(ledger, records);
  write_all(ledger, records);
  EXPECT_EQ(all_named(records), std::set<std::string>{name_of(1)});
  EXPECT_FALSE(records.contains("g0"));
}

}  // namespace
}  // namespace robinford::bookkeeping
