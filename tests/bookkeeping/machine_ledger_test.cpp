// The durable record of a group of machines: which of them are on record as unanswered, and whose word
// counts.
#include "bookkeeping/machine_ledger.hpp"

#include <gtest/gtest.h>

namespace robinford::bookkeeping {
namespace {

constexpr char kName[] = "host-000001";
constexpr std::uint64_t kTerm = 7;
constexpr std::int64_t kSinceMs = 1'700'000'000'123;

MachineLedger ledger_with_machine() {
  MachineLedger ledger;
  Machine& machine = ledger.add(kName, 0);
  machine.addr = "10.1.0.2:9000";
  machine.type = "big";
  machine.zone = "a";
  return ledger;
}

TEST(MachineRecord, AnsweredMachineIsNamedAndRestoredAsUnreconciled) {
  MachineLedger writer = ledger_with_machine();
  std::vector<std::string> named;
  const auto record = writer.group_record(MachineLedger::group_of(kName), kTerm, named);
  EXPECT_EQ(named, std::vector<std::string>{kName});
  EXPECT_EQ(boost::json::serialize(record), R"({"all":[["host-000001","10.1.0.2:9000","big","a",false]]})");

  MachineLedger reader;
  ASSERT_TRUE(reader.read_group(MachineLedger::group_of(kName), 1, record, 0, kTerm));
  const Machine& machine = *reader.find(kName);
  EXPECT_TRUE(machine.unreconciled);
  EXPECT_TRUE(machine.recorded);
  EXPECT_FALSE(machine.unanswered_since_ms);
}

TEST(MachineRecord, UnansweredMachineIsNotNamedForLaunches) {
  MachineLedger writer = ledger_with_machine();
  writer.set_unanswered(*writer.find(kName), kSinceMs);
  std::vector<std::string> named;
  const auto record = writer.group_record(MachineLedger::group_of(kName), kTerm, named);
  EXPECT_TRUE(named.empty());
  EXPECT_TRUE(writer.find(kName)->unanswered_on_record);

  MachineLedger reader;
  ASSERT_TRUE(reader.read_group(MachineLedger::group_of(kName), 1, record, 0, kTerm));
  const Machine& machine = *reader.find(kName);
  EXPECT_EQ(machine.unanswered_since_ms, kSinceMs);
  EXPECT_TRUE(machine.unanswered_on_record);
  EXPECT_FALSE(machine.recorded);
}

// A leader of an older build between the two may have answered the machine without writing so.
TEST(MachineRecord, WordOfATermBeforeTheTrustedOnesCountsForNothing) {
  MachineLedger writer = ledger_with_machine();
  writer.set_unanswered(*writer.find(kName), kSinceMs);
  std::vector<std::string> named;
  const auto record = writer.group_record(MachineLedger::group_of(kName), kTerm, named);
  MachineLedger reader;
  ASSERT_TRUE(reader.read_group(MachineLedger::group_of(kName), 1, record, 0, kTerm + 1));
  EXPECT_FALSE(reader.find(kName)->unanswered_since_ms);
  EXPECT_TRUE(reader.find(kName)->unreconciled);
}

TEST(MachineRecord, MalformedWordsAreIgnored) {
  const auto record =
      boost::json::parse(R"({"all":[["host-000001","10.1.0.2:9000","big","a",false]],)"
                         R"("unanswered":{"host-000001":["x",1],"host-000009":[7,1],"other":3}})");
  MachineLedger reader;
  ASSERT_TRUE(reader.read_group(MachineLedger::group_of(kName), 1, record, 0, kTerm));
  EXPECT_FALSE(reader.find(kName)->unanswered_since_ms);
}

// What is cleared is not on record before a record without it is written.
TEST(MachineRecord, ClearedMachineStaysOnRecordUntilItIsRewritten) {
  MachineLedger writer = ledger_with_machine();
  writer.set_unanswered(*writer.find(kName), kSinceMs);
  std::vector<std::string> named;
  writer.group_record(MachineLedger::group_of(kName), kTerm, named);
  writer.clear_unanswered(*writer.find(kName));
  EXPECT_FALSE(writer.find(kName)->unanswered_since_ms);
  EXPECT_TRUE(writer.find(kName)->unanswered_on_record);
  EXPECT_TRUE(writer.groups().at(MachineLedger::group_of(kName)).urgent);
}

}  // namespace
}  // namespace robinford::bookkeeping
