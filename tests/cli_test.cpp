// The command line as its users meet it: checks, errors on one line, exit codes. No port is opened.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace robinford {
namespace {

struct Outcome {
  int code;
  std::string text;
};

Outcome run(const std::string& arguments) {
  const std::string command = std::string(ROBINFORD_BINARY) + " " + arguments + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  std::string text;
  std::array<char, 512> chunk{};
  while (std::fgets(chunk.data(), chunk.size(), pipe) != nullptr) text += chunk.data();
  return {pclose(pipe), text};
}

std::string file(const std::string& name, const std::string& content) {
  const auto path =
      std::filesystem::path(testing::TempDir()) / ("robinford-" + std::to_string(getpid()) + "-" + name);
  std::ofstream(path) << content;
  return path.string();
}

const char* const kSettings = R"(member = "m-0"
location = "a"
listen = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
[[deployment.teams]]
name = "red"
cpus = 1
cpus_max = 2
[deployment.workers]
report_s = 1
lease_s = 10
gang_wait_s = 30
gang_peer_s = 5
cancel_s = 35
[deployment.state]
rps = 100
write_rps = 40
value_kb = 16
txn_ops = 32
[deployment.cloud]
rps = 2
list_lag_s = 5
[deployment.quota]
)";

TEST(CommandLine, ChecksGoodFiles) {
  const auto outcome = run("--check --config " + file("good.toml", kSettings) + " --policy " +
                           file("good.lua", "return { shares = { red = 2 }, jobs_per_machine = 4 }"));
  EXPECT_EQ(outcome.code, 0) << outcome.text;
}

TEST(CommandLine, SaysOneLineAboutBadFiles) {
  const std::string good = file("good.toml", kSettings);
  for (const std::string& arguments : std::initializer_list<std::string>{
           "--config " + file("bad.toml", "member = 3"), "--config /nowhere/settings.toml",
           "--config " + good + " --policy " + file("bad.lua", "return { overbook = 'x' }"),
           "--config " + good + " --policy " + file("team.lua", "return { shares = { nobody = 1 } }")}) {
    const auto outcome = run(arguments);
    EXPECT_NE(outcome.code, 0) << arguments;
    EXPECT_EQ(std::count(outcome.text.begin(), outcome.text.end(), '\n'), 1) << outcome.text;
  }
}

TEST(CommandLine, RefusesABadSwitchFileByNameOfKeyWithStatus2) {
  const std::string arguments = "--check --config " + file("good.toml", kSettings) + " --quota-leases ";
  EXPECT_EQ(run(arguments + QUOTA_SWITCH_FILE).code, 0);
  const std::string head = "[quota_leases]\nenabled = true\n";
  for (const char* key : {"ttl_s", "leased_shares", "write_share"}) {
    std::string content = head;
    content.append(key).append(" = 1000\n");
    const auto outcome = run(arguments + file("bad-switch.toml", content));
    EXPECT_EQ(WEXITSTATUS(outcome.code), 2) << outcome.text;
    EXPECT_NE(outcome.text.find(key), std::string::npos) << outcome.text;
  }
  EXPECT_EQ(WEXITSTATUS(run(arguments + "/nowhere/switch.toml").code), 2);
}

TEST(CommandLine, KnowsVersionAndHelpAndNeedsSettings) {
  EXPECT_EQ(run("--version").code, 0);
  EXPECT_NE(run("--help").text.find("submit"), std::string::npos);
  EXPECT_NE(run("").code, 0);
  EXPECT_NE(run("--nonsense").code, 0);
}

}  // namespace
}  // namespace robinford
