#include "versions/versions.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kCommitTimeout{1000};
constexpr Duration kRetryDelay{1000};
constexpr std::uint64_t kMaxFormat = 1000000;
}  // namespace

ControllerVersions::ControllerVersions(const Platform& platform) : controllers_{platform.member} {
  for (const auto& peer : platform.peers) controllers_.push_back(peer.member);
}

bool ControllerVersions::owns(const std::string& key) const {
  return key.starts_with(keys::kVersion);
}

void ControllerVersions::apply(const std::string& key, const Json* value, Revision) {
  MemberId member{key.substr(keys::kVersion.size())};
  auto format = value ? countField(*value, "format") : std::nullopt;
  if (value && !format)
    logError("version record is malformed; assuming format 1", "member", member);
  if (format) {
    formats_[member] = static_cast<unsigned>(std::min(*format, kMaxFormat));
  } else {
    formats_.erase(member);
  }
}

std::optional<unsigned> ControllerVersions::formatOf(const MemberId& member) const {
  auto it = formats_.find(member);
  return it == formats_.end() ? std::nullopt : std::optional(it->second);
}

bool ControllerVersions::allSupport(unsigned format) const {
  return std::all_of(controllers_.begin(), controllers_.end(),
                     [&](const MemberId& m) { return formatOf(m).value_or(1) >= format; });
}

VersionWriter::VersionWriter(Runtime& runtime, StoreClient& store, Replica& replica,
                             const ControllerVersions& versions, const MemberId& member)
    : runtime_(runtime), store_(store), replica_(replica), versions_(versions), member_(member) {}

void VersionWriter::onTimer() {
  if (writeInProgress_ || versions_.formatOf(member_) == kRecordFormat ||
      !store_.tryAcquireRequest())
    return;
  writeInProgress_ = true;
  std::string key = keys::version(member_);
  Transaction t;
  t.compares.push_back({key, replica_.modRevisionOf(key)});
  t.writes.push_back({key, Json{{"format", kRecordFormat}}, std::nullopt});
  store_.commit(t, kCommitTimeout, [this, t](const CommitResult& r) {
    if (r.outcome == CommitOutcome::applied) {
      logInfo("record format of this controller written to the state service", "format",
              kRecordFormat);
      replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
    }
    // After any outcome, the next attempt waits until the change feed may have returned the record.
    runtime_.after(kRetryDelay, [this] { writeInProgress_ = false; });
  });
}

}  // namespace kestrelhoist
