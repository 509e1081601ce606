#include "base/message_limits.hpp"

#include <gtest/gtest.h>
#include <pthread.h>
#include <rapidcheck.h>

#include <functional>

#include "base/codec.hpp"
#include "drawn_bodies.hpp"

namespace kestrelhoist {
namespace {

std::string repeated(const std::string& part, std::size_t count) {
  std::string out;
  while (count-- > 0) out += part;
  return out;
}

/// Describes one kind of nesting: what opens a level, what stands in the deepest one, what ends a
/// level.
struct Nesting {
  const char* name;
  std::string open, deepest, close;

  std::string body(std::size_t levels) const {
    return repeated(open, levels) + deepest + repeated(close, levels);
  }
};

const std::vector<Nesting> kNestings{
    {"lists", "\x81", std::string(1, '\0'), ""},
    {"lists up to a break", "\x9f", "", "\xff"},
    {"maps", "\xa1\x61k", std::string(1, '\0'), ""},
    {"maps up to a break", "\xbf\x61k", std::string(1, '\0'), "\xff"},
    {"tags", "\xc6", std::string(1, '\0'), ""},
    {"tags with a longer number", std::string("\xd9\x01\x00", 3), std::string(1, '\0'), ""},
};

// Runs `f` in a thread with a stack of the given size.
void runOnStack(std::size_t bytes, std::function<void()> f) {
  pthread_attr_t attributes;
  ASSERT_EQ(pthread_attr_init(&attributes), 0);
  ASSERT_EQ(pthread_attr_setstacksize(&attributes, bytes), 0);
  pthread_t thread{};
  auto run = [](void* call) -> void* {
    (*static_cast<std::function<void()>*>(call))();
    return nullptr;
  };
  ASSERT_EQ(pthread_create(&thread, &attributes, run, &f), 0);
  pthread_join(thread, nullptr);
  pthread_attr_destroy(&attributes);
}

// Guards against a controller that ends by SIGSEGV when it decodes a body of 64 KiB that opens a
// level with each byte: the decoder took stack for each level.
TEST(MessageLimits, ABodyThatOpensALevelWithEachByteTakesNoStack) {
  constexpr std::size_t kStackBytes = 1024 * 1024;
  runOnStack(kStackBytes, [] {
    for (char opener : {'\x7f', '\x5f', '\x81', '\x9f', '\xc6', '\xbf'}) {
      EXPECT_FALSE(decodeBody(std::string(DrawnBodies::kMaxBytes, opener), kInternalLimits));
    }
    for (const auto& nesting : kNestings) {
      EXPECT_FALSE(decodeBody(nesting.body(DrawnBodies::kMaxBytes / 8), kInternalLimits))
          << nesting.name;
    }
  });
}

TEST(MessageLimits, NestingIsAllowedUpToTheLimit) {
  for (const auto& limits : {kExternalLimits, kInternalLimits}) {
    for (const auto& nesting : kNestings) {
      EXPECT_FALSE(findFault(nesting.body(limits.nesting), limits)) << nesting.name;
      EXPECT_TRUE(decodeBody(nesting.body(limits.nesting), limits)) << nesting.name;
      EXPECT_EQ(findFault(nesting.body(limits.nesting + 1), limits), MessageFault::tooDeep)
          << nesting.name;
    }
  }
}

// Guards against stored data and batches that no controller can read although it has accepted their
// parts: they are some levels deeper than the requests that they came with.
TEST(MessageLimits, PartsOfAnExternalMessageCanBeReadBackFromTheStore) {
  const auto part = kNestings[0].body(kExternalLimits.nesting);
  const std::string events =
      "\xa1\x66"
      "events\x81\xa1\x64"
      "data\xa1\x64"
      "past\x81\xa1\x63"
      "doc";
  EXPECT_TRUE(decodeBody(events + part, kInternalLimits));
}

TEST(MessageLimits, WideMessagesAreNotDeep) {
  Json wide = Json::array();
  for (int i = 0; i < 1000; ++i) wide.push_back({{"a", Json::array()}, {"b", Json::object()}});
  EXPECT_EQ(decodeBody(encodeBody(wide)), wide);
}

TEST(MessageLimits, ItemsAreCounted) {
  constexpr MessageLimits kThreeItems{4, 3};
  EXPECT_FALSE(findFault(encodeBody(Json{1, 2}), kThreeItems));
  EXPECT_EQ(findFault(encodeBody(Json{1, 2, 3}), kThreeItems), MessageFault::tooManyItems);
  EXPECT_EQ(findFault(encodeBody(Json{{"a", 1}, {"b", 2}}), kThreeItems),
            MessageFault::tooManyItems);
}

TEST(MessageLimits, WhatIsNoCborIsMalformed) {
  const std::vector<std::string> bodies{
      "",
      "\xa1",                                  // a map that lacks its entry
      std::string("\x00\x00", 2),              // more than one item
      "\xff",                                  // a break outside of a container
      "\x81\xff",                              // a break in a list of known length
      "\xbf\x61k\xff",                         // a key without a value
      "\x7f\x7f\x61k\xff\xff",                 // a text in chunks within another
      "\x7f\x41k\xff",                         // bytes as a chunk of a text
      std::string("\x7f\x00\xff", 3),          // a number as a chunk of a text
      "\x1c",                                  // a reserved initial byte
      "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",  // a list longer than the message
      "\xbb\x80\x00\x00\x00\x00\x00\x00\x01",
      "\x7b\xff\xff\xff\xff\xff\xff\xff\xff",
  };
  for (const auto& body : bodies) {
    EXPECT_EQ(findFault(body, kExternalLimits), MessageFault::malformed) << body;
    EXPECT_FALSE(decodeBody(body)) << body;
  }
  EXPECT_EQ(decodeBody("\x7f\x61"
                       "a\x60\x61"
                       "b\xff"),
            Json("ab"));
  EXPECT_EQ(decodeBody("\xbf\x61k\x9f\x01\xff\xff"), (Json{{"k", {1}}}));
}

TEST(MessageLimits, RefusedMessagesAreCounted) {
  auto before = refusedMessages(MessageFault::tooDeep);
  EXPECT_FALSE(decodeBody(kNestings[0].body(kExternalLimits.nesting + 1)));
  EXPECT_EQ(refusedMessages(MessageFault::tooDeep), before + 1);
}

// Asks the decoder without the check. It throws if a list claims more items than memory can hold.
Json decodeUnchecked(const std::string& body) {
  try {
    return Json::from_cbor(body, true, false, Json::cbor_tag_handler_t::ignore);
  } catch (const Json::out_of_range&) {
    return Json(Json::value_t::discarded);
  }
}

bool hasChunks(const std::string& body) {
  return body.find_first_of("\x7f\x5f") != std::string::npos;
}

// Guards against a check that refuses what the decoder has always read. Texts in chunks within
// others are left out: the decoder reads them, though they are no CBOR.
TEST(MessageLimits, WhatTheDecoderReadsIsNotMalformed) {
  EXPECT_TRUE(rc::check([] {
    DrawnBodies bodies(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 20; ++i) {
      std::string body = bodies.draw({{"ref", "j-1"}, {"list", {1, 2.5, "x", nullptr, true}}});
      constexpr std::size_t kMaxBytesForTheDecoderAlone = 1000;
      if (body.size() > kMaxBytesForTheDecoderAlone || hasChunks(body)) continue;
      Json alone = decodeUnchecked(body);
      auto fault = findFault(body, kExternalLimits);
      RC_ASSERT(alone.is_discarded() || !fault || fault == MessageFault::tooDeep);
    }
  }));
  for (int initialByte = 0xc6; initialByte <= 0xd4; ++initialByte) {
    EXPECT_EQ(decodeBody(std::string(1, static_cast<char>(initialByte)) + "\x01"), Json(1));
  }
}

// Everything that the check lets through is decoded as without it.
TEST(MessageLimits, DrawnBodiesAreDecodedAsWithoutTheCheck) {
  EXPECT_TRUE(rc::check([] {
    DrawnBodies bodies(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 20; ++i) {
      std::string body = bodies.draw({{"ref", "j-1"}, {"list", {1, 2.5, "x", nullptr, true}}});
      auto fault = findFault(body, kInternalLimits);
      // Without a fault the nesting is bounded, so the library alone can be asked.
      if (fault) continue;
      Json alone = decodeUnchecked(body);
      auto decoded = decodeBody(body, kInternalLimits);
      RC_ASSERT(decoded.has_value() == !alone.is_discarded());
      if (!decoded) continue;
      RC_ASSERT(encodeBody(*decoded) == encodeBody(alone));
      RC_ASSERT(!findFault(encodeBody(*decoded), kInternalLimits));
    }
  }));
}

}  // namespace
}  // namespace kestrelhoist
