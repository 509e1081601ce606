/// \file
/// Draws message bodies that a receiver must answer without harm (DrawnBodies).
#pragma once

#include <random>
#include <string>

#include "base/codec.hpp"

namespace kestrelhoist {

/// Draws bodies from a seed: bytes at random, nesting of every kind with and without an end, and
/// sound messages that are cut, changed or have a deep unknown field.
class DrawnBodies {
 public:
  /// A request body is at most this long.
  static constexpr std::size_t kMaxBytes = 64 * 1024;

  explicit DrawnBodies(std::uint64_t seed) : random_(seed) {}

  /// Draws a body. `sound` is a message that the receiver expects.
  std::string draw(const Json& sound) {
    switch (below(6)) {
      case 0:
        return drawBytes(below(200));
      case 1:
        return openNesting();
      case 2:
        return closedNesting(drawDepth());
      case 3: {
        std::string body = encodeBody(sound);
        return body.substr(0, below(body.size()));
      }
      case 4: {
        std::string body = encodeBody(sound);
        for (std::size_t n = 1 + below(4); n > 0; --n) body[below(body.size())] = drawByte();
        return body;
      }
      default:
        return withUnknownField(sound, closedNesting(drawDepth()));
    }
  }

  /// Draws a body that is no CBOR, or nested beyond every limit. No receiver can act on it.
  std::string drawUnusable() {
    switch (below(3)) {
      case 0:
        return openNesting();
      case 1:
        return closedNesting(1000 + below(20000));
      default:
        return listWithoutItems();
    }
  }

  /// Returns a message with one more field, whose value is already encoded.
  static std::string withUnknownField(const Json& sound, const std::string& value) {
    // The map of the sound message is opened again as a map of unknown length.
    std::string out(1, '\xbf');
    for (const auto& [key, field] : sound.items()) out += encodeBody(key) + encodeBody(field);
    return out + encodeBody("unknown") + value + '\xff';
  }

  /// Returns a valid value that is nested so many levels deep, each of a drawn kind.
  std::string closedNesting(std::size_t depth) {
    std::string head, tail;
    for (std::size_t i = 0; i < depth && head.size() + tail.size() + 8 < kMaxBytes / 2; ++i) {
      switch (below(5)) {
        case 0:
          head += '\x81';  // list of one
          break;
        case 1:
          head += "\xa1\x61k";  // map with the key "k"
          break;
        case 2:
          head += '\xc6';  // tag
          break;
        case 3:
          head += '\x9f';  // list up to a break
          tail += '\xff';
          break;
        default:
          head += "\xbf\x61k";  // map up to a break
          tail += '\xff';
      }
    }
    return head + std::string(1, '\0') + tail;
  }

 private:
  std::size_t below(std::size_t end) { return end == 0 ? 0 : random_() % end; }
  char drawByte() { return static_cast<char>(below(256)); }

  std::string drawBytes(std::size_t count) {
    std::string out;
    while (out.size() < count) out += drawByte();
    return out;
  }

  std::size_t drawDepth() { return below(2) == 0 ? below(80) : below(kMaxBytes); }

  // Each byte begins one more level, and none of them ends.
  std::string openNesting() {
    static const std::string kOpeners = "\x7f\x5f\x81\x9f\xc6\xbf";
    std::size_t count = below(2) == 0 ? kMaxBytes : below(kMaxBytes);
    return std::string(count, kOpeners[below(kOpeners.size())]);
  }

  // A list that claims more items than any memory holds, and has none.
  std::string listWithoutItems() {
    std::string out = "\x9b";
    out += static_cast<char>(below(0x7f) + 1);
    return out + std::string(7, '\xff');
  }

  std::mt19937_64 random_;
};

}  // namespace kestrelhoist
