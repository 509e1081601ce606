// These tests lose the responses to the transactions that create and revoke member keys. They guard
// against keys that are created twice or stay valid after a revocation, and against calls that
// never get a final answer.
#include "base/log.hpp"
#include "member_user.hpp"
#include "scenario_late_messages.hpp"

namespace kestrelhoist::sim {
namespace {

class KeysLate : public testing::TestWithParam<std::tuple<bool, int, std::uint64_t>> {};

// The parameters are: whether a transaction without a response arrives 2 to 12 s late instead of
// immediately, the downtime in ms of the controller that sent it (-1 if it doesn't crash), and the
// seed.
TEST_P(KeysLate, AreMadeAndEndedOnce) {
  spdlog::set_level(spdlog::level::off);
  auto [late, downMs, seed] = GetParam();
  WorldSettings settings;
  settings.seed = seed;
  settings.members = true;
  World world(settings);
  world.runFor(15);
  std::size_t lost = 0;
  world.network.requestFault = [&, late = late, downMs = downMs](
                                   const std::string& from,
                                   const Request& q) -> Network::RequestFault {
    if (q.path != "/commit" || writerOf(*decodeBody(q.body)) != "member") return {};
    if (!std::bernoulli_distribution(0.6)(world.random)) return {};
    ++lost;
    if (downMs >= 0) {
      int node = std::stoi(from.substr(4));
      world.clock.in(6, [&world, node, downMs] { world.crash(node, downMs); });
    }
    std::int64_t later = late ? 2000 + static_cast<std::int64_t>(world.random() % 10000) : 0;
    return {later, true};
  };
  // With 60% of the transactions unanswered and crashes of the controllers, a client may correctly
  // exceed its default deadline of 60 s, so this test uses a longer one.
  constexpr Duration kPatience{170000};
  constexpr int kKeys = 4;
  std::vector<std::string> keys;
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back(
        makeKey(world, "team", "member" + std::to_string(i), "submit,read,cancel", kPatience));
  }
  ASSERT_EQ(world.state.keysBelow(keys::kKey).size(), static_cast<std::size_t>(kKeys));
  MemberUser root(world, "operator", rootCredential().str(), 5);
  // The test revokes the newest key because delayed copies of its creation request may still
  // arrive.
  std::string id = parseCredential(keys.back())->id.value;
  auto ended = root.await<client::KeyInfo>(
      [&](auto done) { return root.jobs->revokeKey(id, Duration{0}, kPatience, done); });
  ASSERT_TRUE(ended) << ended.error().text();
  // All delayed requests arrive within this time.
  world.runFor(30);
  for (int i = 0; i < kKeys; ++i) {
    MemberUser member(world, "member", keys[static_cast<std::size_t>(i)], 7);
    auto answer = member.raw({"GET", "/v2/whoami", "", keys[static_cast<std::size_t>(i)]},
                             static_cast<int>(world.random() % 3));
    EXPECT_EQ(answer.status, i == kKeys - 1 ? 401 : 200) << i;
  }
  EXPECT_EQ(world.state.keysBelow(keys::kKey).size(), static_cast<std::size_t>(kKeys));
  EXPECT_GT(lost, 0U);
  EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

INSTANTIATE_TEST_SUITE_P(Meetings, KeysLate,
                         testing::Combine(testing::Bool(), testing::Values(-1, 200, 4000),
                                          testing::Range<std::uint64_t>(1, 5)));

}  // namespace
}  // namespace kestrelhoist::sim
