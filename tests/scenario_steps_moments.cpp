/// Implements the scenario step `at`, whose inner step is played at a moment of a machine's lease
/// instead of a time of the world.
#include "scenario.hpp"

namespace kestrelhoist::sim {
namespace {

// Returns this machine's report in a request body, which is one report or a batch of forwarded
// reports.
const Json* reportOf(const std::string& host, const Json& body) {
  if (body.is_array()) {
    for (const auto& report : body) {
      if (const Json* own = reportOf(host, report)) return own;
    }
    return nullptr;
  }
  return textField(body, "host") == host ? &body : nullptr;
}

}  // namespace

// at MACHINE before|after|known SECONDS STEP: plays the step once, SECONDS before the machine's
// lease expires, after it has expired, or after the leader could first know of the new session.
void Scenario::playAtMoment(const Line& line) {
  constexpr std::size_t kStepFrom = 4;
  const auto& words = line.words;
  const std::string host = busyMachine(words.at(1));
  ASSERT_TRUE(world_->workers.contains(host)) << "no such machine";
  Line inner{line.file, line.number, {words.begin() + kStepFrom, words.end()}};
  for (auto& word : inner.words) {
    if (word == words[1]) word = host;  // The step gets the machine that has tasks at that moment.
  }
  auto play = [this, inner] {
    SCOPED_TRACE(inner.where());
    step(inner);
  };
  const std::int64_t offset = toMilliseconds(words.at(3));
  if (words.at(2) == "before") {
    playBeforeLeaseEnds(host, offset, play);
  } else if (words.at(2) == "after") {
    playAfterLeaseEnds(host, world_->workers.at(host)->session(), offset, play);
  } else {
    ASSERT_EQ(words.at(2), "known");
    playWhenSessionKnown(host, offset, play);
  }
}

void Scenario::playBeforeLeaseEnds(const std::string& host, std::int64_t leftMs,
                                   const std::function<void()>& play) {
  if (world_->workers.at(host)->leaseRemainingMs() <= leftMs) return play();
  world_->clock.in(kMomentStep, [=, this] { playBeforeLeaseEnds(host, leftMs, play); });
}

void Scenario::playAfterLeaseEnds(const std::string& host, std::uint64_t session, std::int64_t ms,
                                  const std::function<void()>& play) {
  if (world_->workers.at(host)->session() != session) return world_->clock.in(ms, play);
  world_->clock.in(kMomentStep, [=, this] { playAfterLeaseEnds(host, session, ms, play); });
}

// A leader knows the new session once it has answered a report of that session, or has received one
// as the answer to a request.
void Scenario::playWhenSessionKnown(const std::string& host, std::int64_t ms,
                                    const std::function<void()>& play) {
  auto& network = world_->network;
  const std::uint64_t session = world_->workers.at(host)->session();
  network.onResponse = [=, this, before = network.onResponse, over = false](
                           const Request& q, const Response& r) mutable {
    if (before) before(q, r);
    const bool heartbeat = q.path == "/agent/beat" || q.path.starts_with("/mesh/reports");
    const bool command = q.path.ends_with("/commands");
    if (over || (!heartbeat && !command) || (heartbeat && r.status != 200)) return;
    auto body = decodeBody(heartbeat ? q.body : r.body);
    const Json* report = body ? reportOf(host, *body) : nullptr;
    if (!report || countField(*report, "tenure").value_or(0) <= session) return;
    over = true;
    world_->clock.in(ms, play);
  };
}

}  // namespace kestrelhoist::sim
