#include "store/record_keys.hpp"

#include <charconv>
#include <string_view>
#include <system_error>

namespace kestrelhoist::keys {
namespace {

// Removes a leading number from `text` and returns it. Returns nothing if `text` starts with none.
std::optional<std::uint32_t> takeNumber(std::string_view& text) {
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{}) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return number;
}

// Returns the text after the job id and the slash that follows it. Returns nothing if no slash
// follows the job id.
std::optional<std::string_view> afterJob(const std::string& key, const std::string& prefix) {
  auto slash = key.find('/', prefix.size());
  if (slash == std::string::npos) return std::nullopt;
  return std::string_view(key).substr(slash + 1);
}

}  // namespace

std::string job(const JobId& id) { return kJob + id.value; }

std::string tasks(const JobId& id, std::uint32_t chunk) {
  return kTasks + id.value + "/" + std::to_string(chunk);
}

std::string dependencyPart(const JobId& id, std::uint32_t part) {
  return kDependencyPart + id.value + "/" + std::to_string(part);
}

std::string subChunk(const JobId& id, std::uint32_t first, std::uint32_t end) {
  return kSubChunk + id.value + "/" + std::to_string(first) + "-" + std::to_string(end);
}

std::string rental(const RentalId& id) { return kRental + id.value; }

std::optional<TaskChunkKey> parseTasks(const std::string& key) {
  auto rest = afterJob(key, kTasks);
  if (!rest) return std::nullopt;
  auto chunk = takeNumber(*rest);
  if (!chunk) return std::nullopt;
  return TaskChunkKey{jobOf(key, kTasks), *chunk};
}

std::optional<SubChunkKey> parseSubChunk(const std::string& key) {
  auto rest = afterJob(key, kSubChunk);
  if (!rest) return std::nullopt;
  auto first = takeNumber(*rest);
  if (!first || !rest->starts_with('-')) return std::nullopt;
  rest->remove_prefix(1);
  auto end = takeNumber(*rest);
  if (!end) return std::nullopt;
  return SubChunkKey{jobOf(key, kSubChunk), {*first, *end}};
}

std::optional<DependencyPartKey> parseDependencyPart(const std::string& key) {
  auto rest = afterJob(key, kDependencyPart);
  if (!rest) return std::nullopt;
  auto part = takeNumber(*rest);
  if (!part) return std::nullopt;
  return DependencyPartKey{jobOf(key, kDependencyPart), *part};
}

JobId jobOf(const std::string& key, const std::string& prefix) {
  auto slash = key.find('/', prefix.size());
  return JobId{key.substr(prefix.size(), slash - prefix.size())};
}

}  // namespace kestrelhoist::keys
