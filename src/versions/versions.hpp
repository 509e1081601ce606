/// \file
/// Tracks which record format each controller can read. While two versions of the program run side
/// by side, controllers do not write records in a format that the older version can't read.
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

/// Names the newest record format that this version of the program reads and writes. A controller
/// without a version record supports format 1 only.
inline constexpr unsigned kRecordFormat = kFormatWithCatalogueParts;

/// Holds the record formats that the controllers in the settings support, as read from their
/// version records.
class ControllerVersions : public RecordHandler {
 public:
  explicit ControllerVersions(const Platform& platform);

  bool owns(const std::string& key) const override;
  void apply(const std::string& key, const Json* value, Revision modRevision) override;
  void clear() override { formats_.clear(); }

  /// Returns whether every controller in the settings, including this one, supports the format. The
  /// record of a stopped controller stays valid, because the controller restarts with the same
  /// version or a newer one.
  bool allSupport(unsigned format) const;
  /// Returns the format in the controller's version record, or nothing if there is no such record.
  std::optional<unsigned> formatOf(const MemberId& member) const;

 private:
  std::vector<MemberId> controllers_;
  std::map<MemberId, unsigned> formats_;
};

/// Writes this controller's version record if the record is missing or contains another format.
class VersionWriter {
 public:
  VersionWriter(Runtime& runtime, StoreClient& store, Replica& replica,
                const ControllerVersions& versions, const MemberId& member);

  /// Writes the version record if necessary. The caller calls this periodically once the replica
  /// has been loaded.
  void onTimer();

 private:
  Runtime& runtime_;
  StoreClient& store_;
  Replica& replica_;
  const ControllerVersions& versions_;
  const MemberId member_;
  bool writeInProgress_ = false;
};

}  // namespace kestrelhoist
