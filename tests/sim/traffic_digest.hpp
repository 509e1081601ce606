/// \file
/// Hashes all traffic of a simulated world, so that two builds can be compared for equal behavior.
#pragma once

#include <sodium.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/runtime.hpp"

namespace kestrelhoist::sim {

/// Hashes every message with its virtual time, its hosts and its bytes, in the order of the events.
class TrafficDigest {
 public:
  /// Null unless the environment variable KESTRELHOIST_DIGEST names the file that collects digests.
  /// Also makes the random bytes of keys repeatable, as they are part of the messages.
  static std::unique_ptr<TrafficDigest> fromEnvironment();

  void onRequest(std::string_view event, std::int64_t atMs, const std::string& from,
                 const std::string& to, const Request& request);
  void onResponse(std::int64_t atMs, const std::string& from, const std::string& to,
                  const Response& response);
  /// Appends one line to the file: the running test, the hash and the number of messages.
  void report();

 private:
  explicit TrafficDigest(std::string file);
  void add(std::string_view bytes);
  void add(std::int64_t number);

  std::string file_;
  crypto_generichash_state state_{};
  std::uint64_t messages_ = 0;
};

}  // namespace kestrelhoist::sim
