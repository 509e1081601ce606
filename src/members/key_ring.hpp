/// \file
/// Holds the keys of all members in a controller's replica of the state service.
#pragma once

#include <unordered_map>

#include "members/records.hpp"

namespace kestrelhoist {

/// Defines the paths of the keys' records in the state service.
namespace keys {
inline const std::string kKey = "kh/key/";
inline const std::string kCursorKey = "kh/cursorkey";
inline std::string key(const KeyId& id) { return kKey + id.value; }
}  // namespace keys

/// Holds the records of all keys, by key id.
class KeyRing {
 public:
  /// Holds a key's record and the revision of its last change.
  struct Entry {
    KeyRecord record;
    Revision modRevision;
  };
  /// Applies a change of a key's record. A null or malformed value removes the key.
  void apply(const KeyId& id, const Json* value, Revision modRevision) {
    auto record = value ? keyRecordFromJson(*value) : std::nullopt;
    if (record) {
      entries_[id] = {std::move(*record), modRevision};
    } else {
      entries_.erase(id);
    }
  }
  /// Returns the entry of a key, or null if there is none.
  const Entry* find(const KeyId& id) const {
    auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
  }
  const std::unordered_map<KeyId, Entry>& all() const { return entries_; }

 private:
  std::unordered_map<KeyId, Entry> entries_;
};

}  // namespace kestrelhoist
