/// \file
/// Defines the interface through which a module receives the records of its own keys from the
/// replica. The replica does not interpret the values of these records.
#pragma once

#include <string>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Receives the records of the keys that it owns.
class RecordHandler {
 public:
  virtual ~RecordHandler() = default;
  /// Returns whether this handler receives the record of the key.
  virtual bool owns(const std::string& key) const = 0;
  /// Applies a new value of the key, or its deletion if `value` is null. The handler logs a
  /// malformed value and does not keep it.
  virtual void apply(const std::string& key, const Json* value, Revision modRevision) = 0;
  /// Removes all records. The replica calls this before it loads all records again.
  virtual void clear() = 0;
};

}  // namespace kestrelhoist
