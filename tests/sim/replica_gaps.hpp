/// \file
/// Spells in which a service had fewer replicas running than it should have.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace kestrelhoist::sim {

/// The spells of one service, from samples of its running replicas.
class ReplicaGaps {
 public:
  explicit ReplicaGaps(int replicas) : replicas_(replicas) {}

  /// Adds a sample; they come in the order of their times.
  void sample(std::int64_t nowMs, int running) {
    if (last_) missingMs_ += (replicas_ - lastRunning_) * (nowMs - *last_);
    last_ = nowMs;
    lastRunning_ = std::min(running, replicas_);
    if (running >= replicas_) {
      close(nowMs);
    } else if (!since_) {
      since_ = nowMs;
    }
  }

  /// How long each spell lasted, the shortest first; one that is under way counts so far.
  std::vector<std::int64_t> sortedLengthsMs() const {
    auto lengths = lengthsMs_;
    if (since_) lengths.push_back(*last_ - *since_);
    std::sort(lengths.begin(), lengths.end());
    return lengths;
  }
  /// Replicas that were missing, times how long.
  std::int64_t missingMs() const { return missingMs_; }

 private:
  void close(std::int64_t nowMs) {
    if (since_) lengthsMs_.push_back(nowMs - *since_);
    since_.reset();
  }

  int replicas_;
  int lastRunning_ = 0;
  std::optional<std::int64_t> last_;
  std::optional<std::int64_t> since_;
  std::vector<std::int64_t> lengthsMs_;
  std::int64_t missingMs_ = 0;
};

}  // namespace kestrelhoist::sim
