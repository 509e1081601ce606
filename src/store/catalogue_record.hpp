/// \file
/// Stores the machine types in one record, or in several if the list is longer than a value may be.
///
/// The first record has the form of an undivided one, and also says how many parts there are. It is
/// written after the others. All parts name their writer, so that parts of two leaders, whose lists
/// may be divided differently, are never put together.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Names the record format that introduces catalogues in several records.
inline constexpr unsigned kFormatWithCatalogueParts = 3;

/// Holds the records of the catalogue, as they are read in any order.
class CatalogueRecords {
 public:
  /// Applies the value of a key that begins with keys::kCatalogue, or its deletion.
  void apply(const std::string& key, const Json* value);
  /// Returns the catalogue, or nothing while a part of it is missing.
  const std::optional<Json>& whole() const { return whole_; }
  /// Returns whether the record with this key has this value.
  bool has(const std::string& key, const Json& value) const;

 private:
  std::optional<Json> joined() const;

  std::map<std::string, Json> records_;
  std::optional<Json> whole_;
};

/// Describes one record of a catalogue.
struct CatalogueRecord {
  std::string key;  ///< Names the record's key.
  Json value;       ///< Has the machine types of this part.
};

/// Divides the catalogue into records whose values have at most `valueBytes` of JSON text, in the
/// order in which they must be written. A machine type that is longer has a record of its own.
std::vector<CatalogueRecord> divideCatalogue(const Json& catalogue, std::size_t valueBytes,
                                             FencingToken writer);

}  // namespace kestrelhoist
