// The registry of controllers that know dependencies.
#include "coordination/election/peer_versions.hpp"

#include <gtest/gtest.h>

#include "protocol/names.hpp"

namespace robinford::coordination {
namespace {
namespace n = names;

constexpr std::uint64_t kOwn = 500, kFirst = 600, kSecond = 700;

class Registry : public ::testing::Test {
 protected:
  Registry() : core(settings(), {}, kOwn, 1), versions(core) { core.state.set_leading(true); }

  static protocol::Settings settings() {
    protocol::Settings s;
    s.member = "herder-0";
    s.count = 3;
    for (const auto* member : {"herder-1", "herder-2"}) s.peers.push_back({member, "a", {"10.0.0.1", 1}});
    return s;
  }
  void step(double by) {
    core.now.steady += by;
    core.state.tick(core.now.steady);
    versions.tick();
    core.writer.pump(core.now.steady);
  }
  protocol::Call next() {
    EXPECT_FALSE(core.out.calls.empty());
    if (core.out.calls.empty()) return {};
    auto call = core.out.calls.front();
    core.out.calls.erase(core.out.calls.begin());
    return call;
  }
  void register_self() {
    step(1);
    core.calls.on_result(next().id, {404, "{}"});
    step(0.1);
    const auto write = next();
    EXPECT_NE(write.body.find("v/herder-0"), std::string::npos);
    core.calls.on_result(write.id, {200, "{\"epoch\":3}"});
  }
  // The registry as a read of it shows it: incarnations by member.
  void show(const std::map<std::string, std::uint64_t>& registered) {
    step(3);
    boost::json::array items;
    for (const auto& [member, incarnation] : registered) {
      boost::json::object item;
      item[n::kKey] = "v/" + member;
      item[n::kValue] = {{"level", 2}, {"inc", incarnation}};
      if (offers_quota_leases) item[n::kValue].get_object()["quota"] = true;
      items.emplace_back(std::move(item));
    }
    boost::json::object page;
    page[n::kItems] = std::move(items);
    core.calls.on_result(next().id, {200, boost::json::serialize(page)});
  }

  bool offers_quota_leases = false;  // of the processes that are shown
  ControllerContext core;
  PeerVersions versions;
};

TEST_F(Registry, NobodyIsNewBeforeItIsRegistered) {
  register_self();
  versions.observe("herder-1", kFirst);
  show({{"herder-0", kOwn}, {"herder-1", kFirst}});
  EXPECT_TRUE(versions.understands_dependencies("herder-0"));
  EXPECT_TRUE(versions.understands_dependencies("herder-1"));
  EXPECT_FALSE(versions.understands_dependencies("herder-2"));
  EXPECT_FALSE(versions.upgrade_complete());
  show({{"herder-1", kFirst}, {"herder-2", kSecond}});
  EXPECT_TRUE(versions.upgrade_complete());
  EXPECT_FALSE(versions.understands_dependencies("herder-2"));  // not heard of yet
}

// A process that came back old wrote no record of its own; the one of its predecessor says nothing about it.
TEST_F(Registry, AnotherProcessOfAMemberCountsAsOldUntilItRegisters) {
  register_self();
  versions.observe("herder-1", kFirst);
  show({{"herder-1", kFirst}});
  ASSERT_TRUE(versions.understands_dependencies("herder-1"));
  versions.observe("herder-1", kFirst + 1);
  EXPECT_FALSE(versions.understands_dependencies("herder-1"));
  show({{"herder-1", kFirst}});
  EXPECT_FALSE(versions.understands_dependencies("herder-1"));
  show({{"herder-1", kFirst + 1}});
  EXPECT_TRUE(versions.understands_dependencies("herder-1"));
}

// A lessee must not talk to a process that does not know quota frames, or has them switched off.
TEST_F(Registry, OnlyTheRegisteredProcessOffersQuotaLeases) {
  register_self();
  versions.observe("herder-1", kFirst);
  versions.observe("herder-2", kSecond);
  offers_quota_leases = true;
  show({{"herder-1", kFirst}});
  offers_quota_leases = false;
  show({{"herder-2", kSecond}});
  EXPECT_TRUE(versions.serves_quota_leases("herder-1"));
  EXPECT_FALSE(versions.serves_quota_leases("herder-2"));
  EXPECT_FALSE(versions.serves_quota_leases("herder-0"));
  versions.observe("herder-1", kFirst + 1);
  EXPECT_FALSE(versions.serves_quota_leases("herder-1"));
}

TEST_F(Registry, AnUnansweredReadOrWriteIsTriedAgain) {
  step(1);
  core.calls.on_result(next().id, {0, ""});
  EXPECT_TRUE(core.out.calls.empty());
  step(3);
  core.calls.on_result(next().id, {404, "{}"});
  step(0.1);
  core.calls.on_result(next().id, {400, "{}"});
  step(3);
  EXPECT_FALSE(core.out.calls.empty());
}

}  // namespace
}  // namespace robinford::coordination
