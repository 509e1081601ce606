/// \file
/// Which format of records each controller's version of the program knows. While two versions serve
/// side by side, forms that the older one can't read are not written.
#pragma once

#include <map>
#include <optional>

#include "config/platform.hpp"
#include "store/client.hpp"
#include "store/record_handler.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kVersion = "kh/version/";
inline std::string version(const MemberId& member) { return kVersion + member.value; }
}  // namespace keys

/// What this version of the program reads and writes. Versions that write no record know 1.
inline constexpr unsigned kRecordFormat = 2;

/// A controller's copy of what is on record of all members of the settings.
class MemberVersions : public RecordHandler {
 public:
  explicit MemberVersions(const Platform& platform);

  bool owns(const std::string& key) const override;
  void apply(const std::string& key, const Json* value, Revision modRevision) override;
  void clear() override { formats_.clear(); }

  /// Whether each member, this one included, has told that it knows this format. What it once told
  /// holds: a process that ends comes back with the same version or a newer one.
  bool allAtLeast(unsigned format) const;
  std::optional<unsigned> formatOf(const MemberId& member) const;

 private:
  std::vector<MemberId> members_;
  std::map<MemberId, unsigned> formats_;
};

/// Puts this controller's own format on record, once it has read the records and only if another or
/// none is there.
class VersionWriter {
 public:
  VersionWriter(Runtime& runtime, StoreClient& store, Replica& replica,
                const MemberVersions& versions, const MemberId& member);

  /// Of a controller whose copy is loaded.
  void onTimer();

 private:
  Runtime& runtime_;
  StoreClient& store_;
  Replica& replica_;
  const MemberVersions& versions_;
  const MemberId member_;
  bool asked_ = false;
};

}  // namespace kestrelhoist
