#include "store/job_state.hpp"

#include <algorithm>
#include <iterator>

namespace kestrelhoist {

ResourceUse FlowJobState::use() const {
  ResourceUse sum;
  for (const auto& [number, chunk] : chunks) sum += chunk.use;
  for (const auto& [first, use] : subChunks) sum += use;
  return sum;
}

JobPhase JobState::phase() const {
  bool active = record.phase == JobPhase::active;
  bool cancelledByDependency = active && dependencies && dependencies->state.cancelled;
  return cancelledByDependency ? JobPhase::cancelled : record.phase;
}

std::int64_t JobState::readyAtMs() const {
  std::int64_t lastEnd = dependencies ? dependencies->state.readyAtMs : 0;
  return std::max(record.acceptedAtMs, lastEnd);
}

bool JobState::isFinished(std::uint32_t index) const {
  if (record.chunkSize == 0) return false;
  auto it = finished.find(index / record.chunkSize);
  return it != finished.end() && it->second.test(index % record.chunkSize);
}

std::optional<TaskRange> JobState::subChunkOf(std::uint32_t index) const {
  if (!subChunks) return std::nullopt;
  auto after = subChunks->upper_bound(index);
  if (after == subChunks->begin()) return std::nullopt;
  const auto& [first, end] = *std::prev(after);
  return index < end ? std::optional(TaskRange{first, end}) : std::nullopt;
}

std::uint32_t JobState::failuresOf(std::uint32_t index) const {
  if (!flow || record.chunkSize == 0) return 0;
  auto chunk = flow->chunks.find(index / record.chunkSize);
  if (chunk == flow->chunks.end()) return 0;
  auto it = chunk->second.failures.find(index);
  return it == chunk->second.failures.end() ? 0 : it->second;
}

bool JobState::isGivenUp(std::uint32_t index) const {
  return record.flow && failuresOf(index) > record.flow->retries;
}

std::uint32_t JobState::waitingCount() const {
  std::uint32_t settled =
      finishedCount + static_cast<std::uint32_t>(placed.size()) + abandonedCount();
  return settled < tasks ? tasks - settled : 0;
}

std::uint32_t JobState::abandonedCount() const {
  if (!record.flow) return 0;
  auto ended = [this](std::uint32_t index) { return isFinished(index) || placed.contains(index); };
  std::uint32_t abandoned = 0;
  for (auto index : record.flow->dropped) {
    if (!ended(index)) ++abandoned;
  }
  if (!flow) return abandoned;
  for (const auto& [number, chunk] : flow->chunks) {
    for (const auto& [index, count] : chunk.failures) {
      if (count > record.flow->retries && !ended(index) && !isDropped(index)) ++abandoned;
    }
  }
  return abandoned;
}

TaskChunkRecord JobState::tasksOf(TaskRange range, bool wholeChunk) const {
  TaskChunkRecord result;
  const std::uint32_t number = range.first / record.chunkSize;
  if (auto bits = finished.find(number); bits != finished.end()) {
    if (wholeChunk) result.finished = bits->second;
    for (std::uint32_t index = range.first; index < range.end && !wholeChunk; ++index) {
      if (bits->second.test(index % record.chunkSize)) result.finished.set(index - range.first);
    }
  }
  result.placed.insert(placed.lower_bound(range.first), placed.lower_bound(range.end));
  if (!flow) return result;
  if (auto chunk = flow->chunks.find(number); chunk != flow->chunks.end()) {
    const auto& failures = chunk->second.failures;
    result.failures.insert(failures.lower_bound(range.first), failures.lower_bound(range.end));
    if (wholeChunk) result.use = chunk->second.use;
  }
  if (auto part = flow->subChunks.find(range.first); !wholeChunk && part != flow->subChunks.end()) {
    result.use = part->second;
  }
  return result;
}

}  // namespace kestrelhoist
