/// @file
/// Stored records and peer frames keep their bytes. Each file below tests/data was written by the version
/// that the data of running sites comes from: what is decoded from it has to be encoded to the same bytes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "bookkeeping/job_ledger.hpp"
#include "bookkeeping/machine_ledger.hpp"
#include "protocol/peer_codec.hpp"
#include "quota/lease_record.hpp"
#include "quota/messages.hpp"

namespace robinford {
namespace {
namespace json = boost::json;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::MachineLedger;
using protocol::PeerKind;

constexpr std::size_t kRoomyLimit = std::size_t{16} * 1024;
constexpr std::size_t kTightLimit = 1920;
constexpr std::uint64_t kTerm = 7;

/// The text of a file below tests/data, without the newline at its end.
std::string recorded(const std::string& name) {
  std::ifstream file(std::string(RECORDED_DATA_DIR) + "/" + name, std::ios::binary);
  EXPECT_TRUE(file) << name;
  std::string text{std::istreambuf_iterator<char>(file), {}};
  EXPECT_TRUE(text.ends_with('\n')) << name;
  if (!text.empty()) text.pop_back();
  return text;
}

std::string recorded_record(const std::string& name) { return recorded("records/" + name + ".json"); }

std::unique_ptr<Job> job_of(const std::string& text) {
  auto job = JobLedger::from_record(json::parse(text), 5, 0);
  EXPECT_TRUE(job) << text;
  return job;
}

json::object encoded(const Job& job, std::size_t limit = kRoomyLimit) {
  bool whole = false;
  auto record = JobLedger::record(job, limit, whole);
  EXPECT_TRUE(whole);
  return record;
}

TEST(RecordedBytes, LiveJobs) {
  for (const auto* name : {"live_job", "live_gang", "live_service"}) {
    const auto text = recorded_record(name);
    const auto job = job_of(text);
    EXPECT_EQ(job->state, JobState::kActive) << name;
    EXPECT_EQ(json::serialize(encoded(*job)), text) << name;
  }
  EXPECT_EQ(job_of(recorded_record("live_job"))->done,
            (std::vector<bool>{true, true, false, false, true, false}));
}

TEST(RecordedBytes, LiveJobWithCompletionsAsBits) {
  const auto text = recorded_record("live_job_bits");
  const auto job = job_of(text);
  EXPECT_EQ(job->done_count, 450u);
  EXPECT_EQ(json::serialize(encoded(*job, kTightLimit)), text);
}

TEST(RecordedBytes, WaitingJob) {
  const auto text = recorded_record("waiting_job");
  const auto job = job_of(text);
  EXPECT_EQ(job->state, JobState::kWaiting);
  EXPECT_EQ(job->spec.zone, "trakia");
  EXPECT_EQ(json::serialize(encoded(*job)), text);
}

TEST(RecordedBytes, CancelledJob) {
  const auto text = recorded_record("cancelled_job");
  EXPECT_TRUE(JobLedger::is_cancelled(json::parse(text)));
  const auto job = job_of(text);
  EXPECT_EQ(job->state, JobState::kOver);
  EXPECT_EQ(job->final_state, FinalState::kCancelled);
  EXPECT_EQ(job->cancelled_ms, 1'700'000'123'456);
  EXPECT_EQ(json::serialize(JobLedger::cancelled_record(encoded(*job), job->cancelled_ms)), text);
}

TEST(RecordedBytes, FinalStates) {
  const std::pair<const char*, FinalState> kinds[] = {{"final_done", FinalState::kDone},
                                                      {"final_cancelled", FinalState::kCancelled}};
  for (const auto& [name, expected] : kinds) {
    const auto text = recorded_record(name);
    const auto state = JobLedger::final_from_record(json::parse(text));
    ASSERT_EQ(state, expected) << name;
    EXPECT_EQ(json::serialize(JobLedger::final_record(*state)), text) << name;
  }
}

void expect_same_machines(MachineLedger& ledger, const std::string& group, const std::string& text) {
  ASSERT_TRUE(ledger.read_group(group, 5, json::parse(text), 0, kTerm));
  ASSERT_EQ(ledger.all().size(), 3u);
  EXPECT_EQ(ledger.find("host-000049")->unanswered_since_ms, 1'700'000'000'123);
  std::vector<std::string> named;
  EXPECT_EQ(json::serialize(ledger.group_record(group, kTerm, named)), text);
  EXPECT_EQ(named, (std::vector<std::string>{"host-000048", "host-000050"}));
}

TEST(RecordedBytes, MachinesByNumber) {
  MachineLedger ledger;
  expect_same_machines(ledger, MachineLedger::group_of("host-000048"), recorded_record("machines_by_number"));
}

TEST(RecordedBytes, MachinesBySize) {
  MachineLedger ledger;
  ledger.lay_out_by_size(kTightLimit, kTerm);
  expect_same_machines(ledger, "s7-1", recorded_record("machines_by_size"));
}

TEST(RecordedBytes, QuotaLease) {
  const auto text = recorded_record("quota_lease");
  const auto decoded = quota::decode_lease(json::parse(text));
  const auto* lease = std::get_if<quota::LeaseRecord>(&decoded);
  ASSERT_NE(lease, nullptr) << std::get<quota::RecordError>(decoded).reason;
  EXPECT_EQ(json::serialize(quota::encode_lease(*lease)), text);
}

std::string bytes_of_hex(const std::string& text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2)
    bytes.push_back(static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16)));
  return bytes;
}

std::string recorded_frame(const std::string& name) {
  const auto text = recorded("frames/" + name + ".hex");
  EXPECT_GT(text.size(), 0u) << name;
  EXPECT_EQ(text.size() % 2, 0u) << name;
  EXPECT_EQ(text.find_first_not_of("0123456789abcdef"), std::string::npos) << name;
  return bytes_of_hex(text);
}

const std::pair<const char*, PeerKind> kFrames[] = {
    {"status", PeerKind::kStatus},
    {"forward", PeerKind::kForward},
    {"answer", PeerKind::kAnswer},
    {"job_changed", PeerKind::kJobChanged},
    {"heartbeat", PeerKind::kHeartbeat},
    {"unchanged_heartbeat", PeerKind::kUnchangedHeartbeat},
    {"commands", PeerKind::kCommands},
    {"probe", PeerKind::kProbe},
    {"probe_result", PeerKind::kProbeResult},
    {"cancellations_announced", PeerKind::kCancellationsAnnounced},
    {"quota", PeerKind::kQuota},
};

TEST(RecordedBytes, PeerFrames) {
  for (const auto& [name, kind] : kFrames) {
    const auto bytes = recorded_frame(name);
    const auto message = protocol::decode(bytes);
    ASSERT_TRUE(message) << name;
    EXPECT_EQ(message->kind, kind) << name;
    EXPECT_EQ(message->member, "herder-1") << name;
    EXPECT_EQ(protocol::encode(*message), bytes) << name;
  }
}

TEST(RecordedBytes, QuotaMessages) {
  const auto from_lessee = recorded_frame("quota_lessee");
  EXPECT_FALSE(quota::is_lessor_message(from_lessee));
  const auto lessee = quota::decode_lessee(from_lessee);
  ASSERT_TRUE(lessee);
  EXPECT_EQ(quota::encode(*lessee), from_lessee);

  const auto from_lessor = recorded_frame("quota_lessor");
  EXPECT_TRUE(quota::is_lessor_message(from_lessor));
  const auto lessor = quota::decode_lessor(from_lessor);
  ASSERT_TRUE(lessor);
  EXPECT_EQ(quota::encode(*lessor), from_lessor);
}

// A file that no test reads would protect nothing.
TEST(RecordedBytes, EveryFileIsRead) {
  std::set<std::string> expected;
  for (const auto& [name, kind] : kFrames) expected.insert(std::string(name) + ".hex");
  for (const auto* name :
       {"quota_lessee.hex", "quota_lessor.hex", "live_job.json", "live_gang.json", "live_service.json",
        "live_job_bits.json", "waiting_job.json", "cancelled_job.json", "final_done.json",
        "final_cancelled.json", "machines_by_number.json", "machines_by_size.json", "quota_lease.json"})
    expected.insert(name);
  std::set<std::string> found;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(RECORDED_DATA_DIR))
    if (entry.is_regular_file()) found.insert(entry.path().filename().string());
  EXPECT_EQ(found, expected);
}

}  // namespace
}  // namespace robinford
