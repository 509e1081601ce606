// Keys of members while the transactions that write them get no answer: a key is made once, ends
// once and for good, and each attempt is told so in the end.
#include "base/log.hpp"
#include "member_user.hpp"
#include "scenario_late_messages.hpp"

namespace kestrelhoist::sim {
namespace {

class KeysLate : public testing::TestWithParam<std::tuple<bool, int, std::uint64_t>> {};

// At once or 2 to 12 s later; the author stays (-1) or ends and is back after so many ms.
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
  // Six tries in ten are lost and end the controller: within 60 s a client may rightly give up.
  constexpr Duration kPatience{170000};
  constexpr int kKeys = 4;
  std::vector<std::string> keys;
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back(
        makeKey(world, "team", "member" + std::to_string(i), "submit,read,cancel", kPatience));
  }
  ASSERT_EQ(world.state.keysBelow(keys::kKey).size(), static_cast<std::size_t>(kKeys));
  MemberUser root(world, "operator", rootCredential().str(), 5);
  // The newest: copies of the request that made it are still under way.
  std::string id = parseCredential(keys.back())->id.value;
  auto ended = root.await<client::KeyInfo>(
      [&](auto done) { return root.jobs->revokeKey(id, Duration{0}, kPatience, done); });
  ASSERT_TRUE(ended) << ended.error().text();
  // Whatever is still under way has arrived.
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
