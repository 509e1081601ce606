#include "placement/consolidate.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

// Builds an input of machines that hold 4 replicas each. Each replica belongs to its own service,
// and all of them use image 1.
struct Builder {
  ConsolidationInput in;
  int jobs = 0;
  Builder() {
    in.surplus = 10;
    in.maxMoves = 10;
  }
  ConsolidationCandidate& machine(const char* id, std::uint32_t zone, int replicas,
                                  bool hasImage = true) {
    ConsolidationCandidate m;
    m.id = MachineId{id};
    m.zone = zone;
    m.capacity = m.free = {4, 4, 4};
    if (hasImage) m.images = {{1, 8, true}};
    for (int i = 0; i < replicas; ++i) {
      JobSpec s;
      s.id = JobId{"j-" + std::to_string(1000 + jobs++)};
      s.kind = JobKind::service;
      s.tasks = 2;
      s.perTask = {1, 1, 1};
      in.perZone[s.id].resize(3);
      ++in.perZone[s.id][zone];
      m.free -= s.perTask;
      m.services.push_back(
          {{{s.id, 0}, Attempt{1}}, std::make_shared<const JobSpec>(s), 1, Duration{100000}});
    }
    in.machines.push_back(std::move(m));
    return in.machines.back();
  }
};

TEST(Consolidate, TheEmptiestMachineGoesToFullerOnesThatHoldItsImages) {
  Builder b;
  b.machine("one", 0, 1);
  b.machine("two", 0, 2);
  b.machine("three", 0, 3);
  auto d = chooseDrainCandidates(b.in);
  ASSERT_EQ(d.machines.size(), 1U);  // After this move, no other machine's replicas fit elsewhere.
  EXPECT_EQ(d.machines[0], MachineId{"one"});
  EXPECT_EQ(d.moves.size(), 1U);
}

TEST(Consolidate, NothingMovesToWhereItsImageIsMissing) {
  Builder b;
  b.machine("one", 0, 1);
  b.machine("two", 0, 2, false);
  EXPECT_TRUE(chooseDrainCandidates(b.in).moves.empty());
}

TEST(Consolidate, AllReplicasOfAMachineOrNone) {
  Builder b;
  b.machine("one", 0, 2);
  b.machine("two", 0, 3);
  EXPECT_TRUE(chooseDrainCandidates(b.in).moves.empty());
  b.in.machines[1].free += {1, 1, 1};
  EXPECT_EQ(chooseDrainCandidates(b.in).moves.size(), 2U);
}

TEST(Consolidate, SpreadHoldsAndFreshReplicasStay) {
  Builder b;
  b.machine("one", 0, 1);
  b.machine("two", 1, 2);
  auto spec = std::make_shared<JobSpec>(*b.in.machines[0].services[0].spec);
  spec->spread = true;  // Each zone may have one replica, and the other zone already has one.
  b.in.machines[0].services[0].spec = spec;
  b.in.perZone[spec->id] = {1, 1, 0};
  EXPECT_TRUE(chooseDrainCandidates(b.in).moves.empty());
  b.in.perZone[spec->id] = {1, 0, 1};
  EXPECT_EQ(chooseDrainCandidates(b.in).moves.size(), 1U);
  b.in.machines[0].services[0].age = Duration{1000};
  EXPECT_TRUE(chooseDrainCandidates(b.in).moves.empty());
}

TEST(Consolidate, OnlyAsManyAsAreSurplusAndMayMove) {
  Builder b;
  for (const char* id : {"a", "b", "c", "d"}) b.machine(id, 0, 1);
  b.in.surplus = 1;
  EXPECT_EQ(chooseDrainCandidates(b.in).machines.size(), 1U);
  b.in.surplus = 10;
  b.in.maxMoves = 2;
  EXPECT_EQ(chooseDrainCandidates(b.in).moves.size(), 2U);
}

}  // namespace
}  // namespace kestrelhoist
