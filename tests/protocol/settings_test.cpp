// Settings and policy files: good ones, and one clear error for each kind of bad one.
#include "protocol/settings.hpp"

#include <gtest/gtest.h>

#include "protocol/policy.hpp"

namespace robinford::protocol {
namespace {

const char* const kGood = R"(
member = "herder-0"
location = "a"
listen = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
something_new = 3
[[known]]
member = "herder-1"
location = "b"
addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
zones = ["a", "b"]
clock_error_ms = 100.0
[[deployment.teams]]
name = "routing"
cpus = 48.0
cpus_max = 200.0
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 35.0
[deployment.state]
rps = 100.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 32
[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.quota]
cpu = 0.08
ram_mb = 40.0
sockets = 500
)";

std::string with(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Settings, ReadsAGoodFile) {
  const auto s = parse_settings(kGood);
  EXPECT_EQ(s.member, "herder-0");
  EXPECT_EQ(s.peers.at(0).addr.port, 8081);
  EXPECT_EQ(s.team("routing")->cpus_max, 200);
  EXPECT_EQ(s.team("routing")->gpus_max, 0);
  EXPECT_EQ(s.team("nobody"), nullptr);
}

TEST(Settings, AGuestHasNoLimit) {
  const auto s = parse_settings(with(kGood, "[deployment.workers]",
                                     "[[deployment.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n"
                                     "gpus = 0.0\ngpus_max = 0.0\n[deployment.workers]"));
  EXPECT_EQ(s.team("guest")->cpus, 0);
  EXPECT_GT(s.team("guest")->cpus_max, 1e8);
  EXPECT_EQ(s.team("routing")->gpus_max, 0);
}

TEST(Settings, KeepsToTheSmallerOfPresentAndComingLimits) {
  const auto s =
      parse_settings(with(kGood, "txn_ops = 32",
                          "txn_ops = 32\n[deployment.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\n"
                          "txn_ops = 10\nrps = 100000.0\n"));
  const auto before = parse_settings(kGood);
  EXPECT_EQ(s.state_write_rps, 28);
  EXPECT_EQ(s.value_bytes(), 2048u);
  EXPECT_EQ(s.txn_ops, 10);
  EXPECT_EQ(s.state_rps, before.state_rps);
}

TEST(Settings, NamesWhatIsWrong) {
  const std::tuple<const char*, const char*, const char*> bad[] = {
      {"member = \"herder-0\"", "", "member"},
      {"10.0.0.1:8080", "localhost:8080", "localhost"},
      {"10.0.0.1:8080", "10.0.0.1:99999", "port"},
      {"lease_s = 10.0", "lease_s = -1", "lease_s"},
      {"lease_s = 10.0", "lease_s = nan", "lease_s"},
      {"txn_ops = 32", "", "txn_ops"},
      {"txn_ops = 32", "txn_ops = 32\nnext = 3", "next"},
      {"txn_ops = 32", "txn_ops = 32\n[deployment.state.next]\nvalue_kb = 0", "value_kb"},
      {"[deployment.state]", "[deployment.other]", "state"},
      {"\"herder-1\"", "\"herder-0\"", "twice"},
      {"count = 2", "count = = 2", "line"}};
  for (const auto& [from, to, word] : bad) {
    try {
      parse_settings(with(kGood, from, to));
      ADD_FAILURE() << from << " -> " << to;
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(word), std::string::npos) << error.what();
    }
  }
}

TEST(Policy, ReadsATable) {
  const auto p = parse_policy(
      "local j = 2 * 3\nreturn { jobs_per_machine = j, overbook = 0.2, mapping = 'spread', shares = { "
      "routing = 3 } }",
      "=t");
  EXPECT_EQ(p.jobs_per_machine, 6);
  EXPECT_FALSE(p.concentrate);
  EXPECT_EQ(p.shares.at("routing"), 3);
}

TEST(Policy, IsBoundedAndSandboxed) {
  for (const char* bad :
       {"return 1", "while true do end", "return { overbook = 2 }", "return { jobs_per_machine = 'x' }",
        "os.exit(0)", "return io.open('/etc/passwd')", "require('os')",
        "local s = 'x' while true do s = s .. s end", "return { shares = { a = 0 } }",
        "return { mapping = 'up' }", "return {", "error({})"})
    EXPECT_THROW(parse_policy(bad, "=t"), PolicyError) << bad;
}

}  // namespace
}  // namespace robinford::protocol
