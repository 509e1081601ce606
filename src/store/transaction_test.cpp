// Tests the sizes of transactions, how builders keep within the limits, and what is learned from
// transactions that the state service rejects.
#include "store/transaction.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "store/commit_limits.hpp"

namespace kestrelhoist {
namespace {

// RapidCheck reads RC_PARAMS once, before its first check.
const int kSeeded = setenv("RC_PARAMS", "seed=20261201 max_success=150", 1);

constexpr std::size_t kValueBytes = 2048;
constexpr std::size_t kOperations = 8;
const TransactionLimits kLimits{kOperations, kValueBytes};

using Result = TransactionBuilder::Result;

// Returns a text whose JSON form has this many bytes.
Json textOf(std::size_t bytes) { return std::string(bytes - 2, 'x'); }

Write writeOf(const std::string& key, std::size_t valueBytes) {
  return {key, textOf(valueBytes), std::nullopt};
}

Transaction withLeaderKey() { return {{{"kh/leader", Revision{7}}}, {}}; }

std::string drawnText() {
  return *rc::gen::container<std::string>(rc::gen::element('a', '"', '\\', '\n', '/', '0'));
}

Transaction drawnTransaction() {
  Transaction transaction;
  for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
    transaction.compares.push_back({drawnText(), Revision{*rc::gen::arbitrary<std::uint64_t>()}});
  }
  for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
    Write write{drawnText(), std::nullopt, std::nullopt};
    if (*rc::gen::arbitrary<bool>()) write.value = Json{{drawnText(), {drawnText(), 1.5, nullptr}}};
    if (write.value && *rc::gen::arbitrary<bool>()) write.lease = LeaseId{12};
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

// Guards against estimates in place of sizes: the size is the length of the request's JSON text.
TEST(TransactionSizes, AreTheLengthOfTheJsonText) {
  EXPECT_TRUE(rc::check([] {
    const Transaction transaction = drawnTransaction();
    RC_ASSERT(sizeOf(transaction).bytes == toJson(transaction).dump().size());
    RC_ASSERT(sizeOf(transaction).operations == transaction.writes.size());
    RC_ASSERT(sizeOf(transaction).compares == transaction.compares.size());
  }));
}

// Guards against an exception in the middle of a write: text that is not UTF-8 has a size, too.
TEST(TransactionSizes, TextThatIsNotUtf8IsMeasured) {
  EXPECT_GT(jsonBytes(Json{{"text", "\xc3\x28\xff"}}), std::string(R"({"text":""})").size());
}

// Guards against transactions that are one beyond a limit: what is exactly at it fits.
TEST(TransactionSizes, LimitsAreInclusive) {
  EXPECT_FALSE(exceededLimit({kOperations, 32, kMaxTransactionBytes, kValueBytes}, kLimits));
  EXPECT_EQ(exceededLimit({kOperations + 1, 0, 0, 0}, kLimits), "writes");
  EXPECT_EQ(exceededLimit({0, 33, 0, 0}, kLimits), "compares");
  EXPECT_EQ(exceededLimit({0, 0, kMaxTransactionBytes + 1, 0}, kLimits), "bytes");
  EXPECT_EQ(exceededLimit({0, 0, 0, kValueBytes + 1}, kLimits), "bytes of a value");
  const std::string longest(kMaxKeyBytes, 'k');
  EXPECT_FALSE(exceededLimit(sizeOf(Compare{longest, {}}), kLimits));
  EXPECT_EQ(exceededLimit(sizeOf(Compare{longest + "k", {}}), kLimits), "form of a key");
  EXPECT_EQ(exceededLimit(sizeOf(Compare{"a b", {}}), kLimits), "form of a key");
}

// A part of a drawn size: some have more than the limits allow.
TransactionPart drawnPart(std::size_t number, const TransactionLimits& limits) {
  TransactionPart part;
  const int writes = *rc::gen::weightedElement<int>(
      {{6, 1}, {3, 2}, {1, static_cast<int>(limits.operations) + 1}});
  for (int n = 0; n < writes; ++n) {
    const std::size_t bytes = *rc::gen::weightedOneOf<std::size_t>(
        {{8, rc::gen::inRange<std::size_t>(2, limits.valueBytes + 1)},
         {1, rc::gen::just(limits.valueBytes)},
         {1, rc::gen::just(limits.valueBytes + 1)}});
    const std::string key = "kh/" + std::to_string(number) + "/" + std::to_string(n);
    part.writes.push_back(writeOf(key, bytes));
    part.compares.push_back({key, Revision{number}});
  }
  // A condition that several parts share, as those of one job do.
  if (*rc::gen::arbitrary<bool>()) part.compares.push_back({"kh/job", Revision{3}});
  return part;
}

TransactionLimits drawnLimits() {
  return {*rc::gen::inRange<std::size_t>(3, 40), *rc::gen::element<std::size_t>(1024, 2048, 16384)};
}

std::vector<TransactionPart> drawnParts(const TransactionLimits& limits) {
  std::vector<TransactionPart> parts;
  const auto count = *rc::gen::inRange<std::size_t>(1, 40);
  for (std::size_t n = 0; n < count; ++n) parts.push_back(drawnPart(n, limits));
  return parts;
}

bool fitsAlone(const TransactionPart& part, const TransactionLimits& limits) {
  Transaction alone = withLeaderKey();
  alone.compares.insert(alone.compares.end(), part.compares.begin(), part.compares.end());
  alone.writes = part.writes;
  return toJson(alone).dump().size() <= kMaxTransactionBytes &&
         !exceededLimit(sizeOf(alone), limits);
}

bool hasCompare(const Transaction& transaction, const Compare& compare) {
  return std::any_of(transaction.compares.begin(), transaction.compares.end(), [&](const auto& c) {
    return c.key == compare.key && c.modRevision == compare.modRevision;
  });
}

// Guards against ends, rentals or uploads that are sent beyond a limit: all drawn parts are written
// in order, each in one transaction with its conditions, and only one that fits alone nowhere is
// not.
TEST(TransactionBuilders, WriteAllThatFits) {
  EXPECT_TRUE(rc::check([] {
    const TransactionLimits limits = drawnLimits();
    CommitLimits commitLimits(limits, limits.valueBytes);
    const std::vector<TransactionPart> parts = drawnParts(limits);
    std::size_t next = 0, unwritable = 0;
    while (next < parts.size()) {
      TransactionBuilder builder(commitLimits, withLeaderKey());
      std::vector<const TransactionPart*> added;
      for (; next < parts.size(); ++next) {
        const Result result = builder.add(parts[next]);
        if (result == Result::full) break;
        RC_ASSERT((result == Result::added) == fitsAlone(parts[next], limits));
        if (result == Result::added) added.push_back(&parts[next]);
        unwritable += result == Result::unwritable ? 1 : 0;
      }
      const Transaction transaction = builder.take();
      RC_ASSERT(!exceededLimit(sizeOf(transaction), limits));
      RC_ASSERT(toJson(transaction).dump().size() <= kMaxTransactionBytes);
      RC_ASSERT(next == parts.size() || !added.empty());
      RC_ASSERT(transaction.parts == added.size());
      auto write = transaction.writes.begin();
      for (const auto* part : added) {
        for (const auto& w : part->writes) RC_ASSERT((write++)->key == w.key);
        for (const auto& c : part->compares) RC_ASSERT(hasCompare(transaction, c));
      }
      RC_ASSERT(write == transaction.writes.end());
    }
    RC_CLASSIFY(unwritable > 0);
  }));
}

// Rejects what exceeds limits that its clients do not know, and some keys.
struct StateService {
  TransactionLimits limits;
  std::set<std::string> badKeys;

  bool accepts(const Transaction& transaction) const {
    if (exceededLimit(sizeOf(transaction), limits)) return false;
    return std::none_of(transaction.writes.begin(), transaction.writes.end(),
                        [&](const Write& write) { return badKeys.contains(write.key); });
  }
};

// Guards against a rejected transaction that is sent again and again and holds up all others:
// limits fall while a backlog is written, some records are refused alone, and the writer starts
// anew.
TEST(CommitLimits, ABacklogIsWrittenWhateverIsRejected) {
  EXPECT_TRUE(rc::check([] {
    const TransactionLimits limits{24, 16384};
    std::vector<TransactionPart> backlog;
    std::set<std::string> writable;
    StateService service{limits, {}};
    const StateService later{{*rc::gen::inRange<std::size_t>(2, 25), 2048}, {}};
    for (std::size_t n = 0; n < 60; ++n) {
      const std::string key = "kh/" + std::to_string(n);
      const bool bad = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
      const auto bytes = *rc::gen::inRange<std::size_t>(2, 2500);
      if (bad) service.badKeys.insert(key);
      if (!bad && bytes <= later.limits.valueBytes) writable.insert(key);
      backlog.push_back({{{key, Revision{}}}, {writeOf(key, bytes)}});
    }
    const auto fallsAt = *rc::gen::inRange(0, 8), endsAt = *rc::gen::inRange(0, 20);
    auto commitLimits = std::make_unique<CommitLimits>(limits, limits.valueBytes);
    std::set<std::string> written, rejected;
    constexpr int kMaxRounds = 500;
    int round = 0;
    for (; round < kMaxRounds; ++round) {
      if (round == fallsAt) service.limits = later.limits;
      if (round == endsAt) {
        commitLimits = std::make_unique<CommitLimits>(limits, limits.valueBytes);
        rejected.clear();
      }
      TransactionBuilder builder(*commitLimits, withLeaderKey());
      for (const auto& part : backlog) {
        if (written.contains(part.writes[0].key)) continue;
        if (builder.add(part) == Result::full) break;
      }
      if (builder.empty()) break;
      const Transaction transaction = builder.take();
      RC_ASSERT(!commitLimits->refusalOf(transaction));
      RC_ASSERT(!rejected.contains(toJson(transaction).dump()));
      if (service.accepts(transaction)) {
        commitLimits->onApplied();
        for (const auto& write : transaction.writes) written.insert(write.key);
      } else {
        commitLimits->onRejected(transaction, "too large");
        rejected.insert(toJson(transaction).dump());
      }
    }
    RC_ASSERT(round < kMaxRounds);
    for (const auto& key : writable) RC_ASSERT(written.contains(key));
  }));
}

// Guards against a record that stays unwritten for ever: a shorter value may be sent, and so may
// any once the record has changed.
TEST(CommitLimits, SetAsideWritesMayBecomeShorter) {
  CommitLimits limits(kLimits, kValueBytes);
  int setAside = 0;
  limits.onSetAside = [&] { ++setAside; };
  const TransactionPart part{{{"kh/a", Revision{5}}}, {writeOf("kh/a", 500)}};
  limits.onRejected({part.compares, part.writes}, "too large");
  limits.onRejected({part.compares, part.writes}, "too large");
  EXPECT_EQ(setAside, 1);
  EXPECT_EQ(limits.setAsideFrom("kh/a"), 500U);
  EXPECT_GT(limits.setAsideFrom("kh/b"), kMaxTransactionBytes);
  EXPECT_TRUE(limits.refusalOf({part.compares, part.writes}));
  EXPECT_TRUE(limits.refusalOf({part.compares, {writeOf("kh/a", 501)}}));
  EXPECT_FALSE(limits.refusalOf({part.compares, {writeOf("kh/a", 499)}}));
  EXPECT_FALSE(limits.refusalOf({{{"kh/a", Revision{6}}}, part.writes}));
  EXPECT_FALSE(limits.refusalOf({part.compares, {part.writes[0], writeOf("kh/b", 20)}}));
}

// Guards against larger values of an older version that are sent on after the announced fall.
TEST(CommitLimits, TheLargerLimitForValuesEndsWithTheFirstRejection) {
  CommitLimits limits(kLimits, 4 * kValueBytes);
  const Transaction large{{}, {writeOf("kh/a", 3 * kValueBytes)}};
  EXPECT_FALSE(limits.refusalOf(large));
  limits.onRejected(large, "too large");
  EXPECT_EQ(limits.presentValueBytes(), kValueBytes);
  EXPECT_TRUE(limits.refusalOf(large));
}

// Guards against a leader that can't be elected: a claim has a new lease each time.
TEST(CommitLimits, WritesWithALeaseAreNotSetAside) {
  CommitLimits limits(kLimits, kValueBytes);
  const Transaction claim{{{"kh/leader", Revision{}}}, {{"kh/leader", Json(1), LeaseId{4}}}};
  limits.onRejected(claim, "?");
  EXPECT_FALSE(limits.refusalOf(claim));
}

}  // namespace
}  // namespace kestrelhoist
