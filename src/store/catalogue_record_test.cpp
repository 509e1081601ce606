// Tests how the catalogue is divided into records and put together again.
#include "store/catalogue_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "store/record_keys.hpp"
#include "store/transaction.hpp"

namespace kestrelhoist {
namespace {

// RapidCheck reads RC_PARAMS once, before its first check.
const int kSeeded = setenv("RC_PARAMS", "seed=20261201 max_success=150", 1);

Json catalogueOf(int types, int nameBytes) {
  Json list = Json::array();
  for (int n = 0; n < types; ++n) {
    list.push_back(
        {{"name", std::string(static_cast<std::size_t>(nameBytes), 'x') + std::to_string(n)},
         {"cpus", 8.0},
         {"sites", {"a", "b"}}});
  }
  return {{"rigs", std::move(list)}};
}

// Guards against a catalogue beyond the limit for values: no record is, in any order of reading
// they are the whole only together, and an undivided one keeps its form.
TEST(CatalogueRecords, AreWithinTheLimitAndMakeTheWhole) {
  EXPECT_TRUE(rc::check([] {
    const auto valueBytes = *rc::gen::element<std::size_t>(1024, 2048, 8192);
    const Json catalogue = catalogueOf(*rc::gen::inRange(1, 120), *rc::gen::inRange(1, 100));
    auto records = divideCatalogue(catalogue, valueBytes, FencingToken{9});
    for (const auto& record : records) RC_ASSERT(jsonBytes(record.value) <= valueBytes);
    RC_ASSERT((records.size() == 1) == (jsonBytes(catalogue) <= valueBytes));
    RC_ASSERT(records.back().key == keys::kCatalogue);
    if (records.size() == 1) RC_ASSERT(records.front().value == catalogue);
    std::mt19937 order(*rc::gen::arbitrary<unsigned>());
    std::shuffle(records.begin(), records.end(), order);
    CatalogueRecords read;
    for (const auto& record : records) {
      RC_ASSERT(!read.whole());
      read.apply(record.key, &record.value);
      RC_ASSERT(read.has(record.key, record.value));
    }
    RC_ASSERT(read.whole() == catalogue);
  }));
}

// Guards against a list of types from two leaders: the parts of one that ended count as missing.
TEST(CatalogueRecords, PartsOfTwoWritersAreNotPutTogether) {
  const auto first = divideCatalogue(catalogueOf(60, 20), 1024, FencingToken{4});
  const auto second = divideCatalogue(catalogueOf(60, 21), 1024, FencingToken{7});
  ASSERT_GT(first.size(), 2U);
  CatalogueRecords read;
  for (const auto& record : second) read.apply(record.key, &record.value);
  ASSERT_TRUE(read.whole());
  read.apply(first.front().key, &first.front().value);
  EXPECT_FALSE(read.whole());
  read.apply(second.front().key, &second.front().value);
  EXPECT_TRUE(read.whole());
  read.apply(second.front().key, nullptr);
  EXPECT_FALSE(read.whole());
}

}  // namespace
}  // namespace kestrelhoist
