#include "versions/versions.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

Platform threeControllers() {
  Platform p;
  p.member = MemberId{"a"};
  p.peers = {{MemberId{"b"}, ZoneId{"z"}, "x:1"}, {MemberId{"c"}, ZoneId{"z"}, "x:2"}};
  return p;
}

void applyVersionRecord(Replica& replica, const std::string& member, std::optional<Json> record,
                        std::uint64_t modRevision) {
  replica.apply({keys::version(MemberId{member}), std::move(record), Revision{modRevision}});
}

TEST(Versions, all_members_of_the_settings_have_to_tell) {
  Platform platform = threeControllers();
  ControllerVersions versions(platform);
  Replica replica;
  replica.add(versions);
  applyVersionRecord(replica, "a", Json{{"format", 2}}, 1);
  applyVersionRecord(replica, "b", Json{{"format", 2}}, 2);
  applyVersionRecord(replica, "stranger", Json{{"format", 2}}, 3);
  EXPECT_FALSE(versions.allSupport(2)) << "c has never written";
  EXPECT_TRUE(versions.allSupport(1)) << "what a version knows that writes none";
  applyVersionRecord(replica, "c", Json{{"format", 3}}, 4);
  EXPECT_TRUE(versions.allSupport(2));
  EXPECT_FALSE(versions.allSupport(3));
}

TEST(Versions, what_cannot_be_read_or_was_dropped_counts_as_the_oldest) {
  Platform platform = threeControllers();
  ControllerVersions versions(platform);
  Replica replica;
  replica.add(versions);
  for (const char* member : {"a", "b", "c"})
    applyVersionRecord(replica, member, Json{{"format", 2}}, 1);
  ASSERT_TRUE(versions.allSupport(2));
  applyVersionRecord(replica, "b", Json{{"format", "two"}}, 2);
  EXPECT_FALSE(versions.allSupport(2));
  applyVersionRecord(replica, "b", Json{{"format", 2}}, 3);
  ASSERT_TRUE(versions.allSupport(2));
  applyVersionRecord(replica, "c", std::nullopt, 4);
  EXPECT_FALSE(versions.allSupport(2));
  applyVersionRecord(replica, "c", Json{{"format", 2}}, 4);
  EXPECT_FALSE(versions.allSupport(2)) << "older than what is known";
  replica.clear();
  EXPECT_FALSE(versions.allSupport(2));
  EXPECT_EQ(versions.formatOf(MemberId{"a"}), std::nullopt);
}

}  // namespace
}  // namespace kestrelhoist
