/// \file
/// Records the periods in which a service had fewer running replicas than it should have.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace kestrelhoist::sim {

/// Derives the gaps of one service from samples of its running replicas.
class ReplicaGaps {
 public:
  explicit ReplicaGaps(int replicas) : replicas_(replicas) {}

  /// Adds a sample. Samples must be added in the order of their times.
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

  /// Returns the lengths of all gaps, shortest first. A gap that has not ended counts up to the
  /// last sample.
  std::vector<std::int64_t> sortedLengthsMs() const {
    auto lengths = lengthsMs_;
    if (since_) lengths.push_back(*last_ - *since_);
    std::sort(lengths.begin(), lengths.end());
    return lengths;
  }
  /// Returns the sum over time of missing replicas, in replica milliseconds.
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
