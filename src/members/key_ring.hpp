/// \file
/// A controller's copy of the keys, part of the replica.
#pragma once

#include <unordered_map>

#include "members/records.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kKey = "kh/key/";
inline const std::string kCursorKey = "kh/cursorkey";
inline std::string key(const KeyId& id) { return kKey + id.value; }
}  // namespace keys

class KeyRing {
 public:
  struct Entry {
    KeyRecord record;
    Revision modRevision;
  };
  void apply(const KeyId& id, const Json* value, Revision modRevision) {
    auto record = value ? keyRecordFrom(*value) : std::nullopt;
    if (record) {
      entries_[id] = {std::move(*record), modRevision};
    } else {
      entries_.erase(id);
    }
  }
  const Entry* find(const KeyId& id) const {
    auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
  }
  const std::unordered_map<KeyId, Entry>& all() const { return entries_; }

 private:
  std::unordered_map<KeyId, Entry> entries_;
};

}  // namespace kestrelhoist
