// Tests how a leader takes up a token that it raised itself.
#include "leadership/election.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

struct RaisedToken : testing::Test {
  Election election{{MemberId{"node0"}, "start-1"}};
  Election::View view{true, std::nullopt, FencingToken{}};

  void lead(std::uint64_t revision) {
    ASSERT_EQ(election.nextStep(Instant{1000}, view), Election::Step::grant);
    election.onGranted(LeaseId{1});
    election.onClaimed(Instant{1000}, {CommitOutcome::applied, Revision{revision}});
    ASSERT_TRUE(election.leads());
  }
};

TEST_F(RaisedToken, IsTheNewRevisionOfTheOwnLeaderKey) {
  lead(5);
  EXPECT_FALSE(election.adoptRaisedToken(election.record(), FencingToken{5}));
  EXPECT_TRUE(election.adoptRaisedToken(election.record(), FencingToken{9}));
  EXPECT_EQ(election.token(), FencingToken{9});
  EXPECT_FALSE(election.adoptRaisedToken(election.record(), FencingToken{7}));
  view.leader = election.record();
  view.token = FencingToken{9};
  election.nextStep(Instant{1100}, view);
  EXPECT_TRUE(election.leads());
}

TEST_F(RaisedToken, IsNotThatOfAnotherLeaderOrOfAnEarlierClaim) {
  lead(5);
  EXPECT_FALSE(
      election.adoptRaisedToken(LeaderRecord{MemberId{"node1"}, "start-1.1"}, FencingToken{9}));
  EXPECT_FALSE(
      election.adoptRaisedToken(LeaderRecord{MemberId{"node0"}, "start-1.0"}, FencingToken{9}));
  EXPECT_FALSE(election.adoptRaisedToken(std::nullopt, FencingToken{9}));
  EXPECT_EQ(election.token(), FencingToken{5});
}

TEST_F(RaisedToken, IsNotTakenUpByAControllerThatSteppedDown) {
  lead(5);
  const LeaderRecord record = election.record();
  election.stepDown(Instant{2000});
  EXPECT_FALSE(election.adoptRaisedToken(record, FencingToken{9}));
  EXPECT_FALSE(election.leads());
}

}  // namespace
}  // namespace kestrelhoist
