// Tests credentials, job names, cursors, the job index, rate limits and the fair queue without I/O.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "members/admission.hpp"
#include "members/job_index.hpp"
#include "store/records.hpp"

namespace kestrelhoist {
namespace {

const Owner kAna{TeamId{"herbarium"}, "ana"}, kBen{TeamId{"herbarium"}, "ben"};

TEST(Credentials, AreReadAsTheyWereWrittenAndNothingElseIs) {
  for (int i = 0; i < 50; ++i) {
    Credential c = generateCredential();
    auto back = parseCredential(c.str());
    ASSERT_TRUE(back) << c.str();
    EXPECT_EQ(back->id, c.id);
    EXPECT_TRUE(sameHash(hashOfSecret(*back), hashOfSecret(c)));
    EXPECT_FALSE(parseCredential(c.str().substr(1)));
    EXPECT_FALSE(parseCredential(c.str() + "a"));
    // The hash covers the id, so a secret is invalid under the id of another key.
    Credential moved{generateCredential().id, c.secret};
    EXPECT_FALSE(sameHash(hashOfSecret(moved), hashOfSecret(c)));
  }
  EXPECT_FALSE(parseCredential(""));
  EXPECT_EQ(parseRights("read,cancel"), right::kRead | right::kCancel);
  EXPECT_EQ(rightsToString(right::kAll), "submit,read,cancel,admin");
  for (const char* bad : {"", "reed", "read,,cancel", "read, cancel"})
    EXPECT_FALSE(parseRights(bad));
}

TEST(Names, AreApartByMemberAndTheSameForEver) {
  EXPECT_NE(memberJob(kAna, "j-1"), memberJob(kBen, "j-1"));
  // The hash covers the length of each field, so these two lists of fields give different ids.
  EXPECT_NE(memberJob({TeamId{"a"}, "bj-1"}, "j-1"), memberJob({TeamId{"ab"}, "j-1"}, "j-1"));
  EXPECT_FALSE(validJobId(memberJob(kAna, "j-1").value));
  EXPECT_TRUE(validJobId(refForIdempotencyKey(kAna, "drawer-12")));
  // The reference is the same as in version 0.4.0, because scripts rely on it.
  EXPECT_EQ(refForIdempotencyKey(kAna, "drawer-12"), refForIdempotencyKey(kAna, "drawer-12"));
  EXPECT_NE(refForIdempotencyKey(kAna, "drawer-12"), refForIdempotencyKey(kBen, "drawer-12"));
}

TEST(Records, KeepWhoseAJobIs) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = memberJob(kAna, "j-1");
  spec->team = kAna.team;
  spec->tasks = 1;
  JobRecord r{spec, JobPhase::active, 5,
              8,    nullptr,          std::make_shared<const JobOwner>(JobOwner{kAna, "j-1"})};
  auto back = jobRecordFromJson(spec->id, toJson(r));
  ASSERT_TRUE(back && back->owner);
  EXPECT_EQ(back->owner->owner, kAna);
  EXPECT_EQ(back->owner->ref, "j-1");
  KeyRecord k{std::string(64, 'a'), kAna, right::kRead, 7, 9, "a note"};
  auto key = keyRecordFromJson(toJson(k));
  ASSERT_TRUE(key);
  EXPECT_EQ(key->owner, kAna);
  EXPECT_FALSE(key->isExpiredAt(8));
  EXPECT_TRUE(key->isExpiredAt(9));
}

TEST(Cursors, TellNothingAndBelongToTheirOwner) {
  CursorCipher cipher("secret"), same("secret"), other("another");
  ChangePosition position{Revision{12345}, memberJob(kAna, "j-1")}, end{Revision{7}, JobId{}};
  std::string text = cipher.encrypt(kAna, position);
  EXPECT_EQ(same.decrypt(kAna, text), position);
  EXPECT_EQ(same.decrypt(kAna, cipher.encrypt(kAna, end)), end);
  EXPECT_EQ(text, same.encrypt(kAna, position));
  EXPECT_FALSE(cipher.decrypt(kBen, text));
  EXPECT_FALSE(other.decrypt(kAna, text));
  EXPECT_EQ(text.size(), cipher.encrypt(kAna, {Revision{}, JobId{}}).size());
  EXPECT_TRUE(rc::check([&] {
    std::string changed = text;
    auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
    char letter = *rc::gen::elementOf(std::string("ABCXYZabcxyz0189-_"));
    RC_PRE(changed[at] != letter);
    changed[at] = letter;
    RC_ASSERT(!cipher.decrypt(kAna, changed));
  }));
}

// Compares the index with a plain sorted list, for changes read in any order.
TEST(JobIndexProperty, PagesCoverEachJobInTheOrderOfItsLastChange) {
  EXPECT_TRUE(rc::check([] {
    JobIndex index;
    std::map<JobId, Revision> last;
    auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(1, 60)));
    for (auto [job, at] : changes) {
      JobId id = memberJob(kAna, "j-" + std::to_string(job));
      Revision r{static_cast<std::uint64_t>(at)};
      index.recordChange(kAna, id, r);
      auto [it, isNew] = last.try_emplace(id, r);
      if (!isNew) it->second = std::max(it->second, r);
    }
    std::set<std::pair<Revision, JobId>> expected;
    for (const auto& [id, r] : last) expected.emplace(r, id);
    const auto* order = index.of(kAna);
    RC_ASSERT((order ? *order : JobIndex::Order{}) == expected);
    if (!order) return;
    // Each page starts after the last position of the page before.
    auto page = *rc::gen::inRange<std::size_t>(1, 4);
    ChangePosition position;
    std::vector<std::pair<Revision, JobId>> read;
    for (bool more = true; more;) {
      std::size_t n = 0;
      auto it = after(*order, position);
      for (; it != order->end() && n < page; ++it, ++n) {
        read.push_back(*it);
        position = {it->first, it->second};
      }
      more = it != order->end();
    }
    RC_ASSERT(read == std::vector(expected.begin(), expected.end()));
    ChangePosition all{Revision{position.revision}, JobId{}};
    RC_ASSERT(after(*order, all) == order->end());
  }));
}

TEST(FairTurns, GoRoundAmongMembersAndCancellationsGoFirst) {
  FairQueue turns(2, 4, 100);
  std::vector<std::string> order;
  auto offer = [&](const Owner& who, RequestKind work, const std::string& name) {
    return turns.offer(who, work, [&order, name] { order.push_back(name); });
  };
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(offer(kAna, RequestKind::submit, "a" + std::to_string(i)));
  }
  EXPECT_FALSE(offer(kAna, RequestKind::submit, "a6")) << "four of one member wait";
  EXPECT_TRUE(offer(kBen, RequestKind::submit, "b0"));
  EXPECT_TRUE(offer(kBen, RequestKind::cancel, "bc"));
  EXPECT_EQ(order, (std::vector<std::string>{"a0", "a1"}));
  for (int i = 0; i < 8; ++i) turns.finished();
  EXPECT_EQ(order, (std::vector<std::string>{"a0", "a1", "bc", "a2", "b0", "a3", "a4", "a5"}));
  EXPECT_EQ(turns.waiting(), 0U);
  EXPECT_EQ(turns.inProgress(), 0U);
}

// A write that is answered at once calls finished() from within its own start callback.
TEST(FairTurns, MayBeAnsweredAtOnce) {
  FairQueue turns(1, 100, 100);
  int ended = 0;
  std::function<void()> first;
  turns.offer(kAna, RequestKind::submit, [] {});
  for (int i = 0; i < 50; ++i) {
    turns.offer(kBen, RequestKind::submit, [&] {
      ++ended;
      turns.finished();
    });
  }
  turns.finished();
  EXPECT_EQ(ended, 50);
  EXPECT_EQ(turns.inProgress(), 0U);
}

// The admitted requests never exceed burst plus rate, and the retry delays are spread.
TEST(MemberRates, BoundWhatAMemberDoesAndSpreadItsReturn) {
  MemberLimits limits;
  limits.submitsPerS = 5;
  limits.submitBurst = 20;
  MemberRates rates(limits, 1);
  int taken = 0;
  std::set<int> seconds;
  for (std::int64_t ms = 0; ms < 10000; ms += 5) {
    auto refused = rates.refuse(Instant{1000 + ms}, kAna, RequestKind::submit, 100);
    taken += refused ? 0 : 1;
    if (refused) seconds.insert(*refused);
    if (ms % 1000 == 0) {
      EXPECT_FALSE(rates.refuse(Instant{1000 + ms}, kBen, RequestKind::submit, 100));
      EXPECT_FALSE(rates.refuse(Instant{1000 + ms}, kAna, RequestKind::poll, 100));
    }
  }
  EXPECT_GE(taken, 68);
  EXPECT_LE(taken, 71);
  EXPECT_GE(seconds.size(), 3U);
  // The bytes of an answer are charged afterwards, so the next request is refused.
  rates.charge(Instant{20000}, kBen, 10 * 1024 * 1024);
  EXPECT_TRUE(rates.refuse(Instant{20000}, kBen, RequestKind::poll, 1));
  // The buckets of a member without recent requests are removed.
  rates.refuse(Instant{20000 + 3600000}, kAna, RequestKind::poll, 1);
  EXPECT_EQ(rates.memberCount(), 1U);
}

TEST(LoadGauge, GivesUpTheLeastImportantFirst) {
  LoadGauge gauge;
  auto takes = [&] {
    std::string out;
    for (RequestKind w :
         {RequestKind::cancel, RequestKind::submit, RequestKind::poll, RequestKind::list}) {
      out += gauge.admits(w) ? toString(w)[0] : '-';
    }
    return out;
  };
  EXPECT_EQ(takes(), "cspl");
  gauge.recordTimer(Duration{100}, Duration{500});
  EXPECT_EQ(takes(), "csp-");
  gauge.recordTimer(Duration{100}, Duration{1400});
  EXPECT_EQ(takes(), "cs--");
  gauge.recordTimer(Duration{100}, Duration{4000});
  EXPECT_EQ(takes(), "c---");
  for (int i = 0; i < 5; ++i) gauge.recordTimer(Duration{100}, Duration{101});
  EXPECT_EQ(takes(), "cspl");
}

}  // namespace
}  // namespace kestrelhoist
