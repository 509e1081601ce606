/// \file
/// How a slice's records get into a controller's copy: it registers, owns its keys and their form,
/// and takes in changes of them. The copy itself knows bytes, keys and stamps.
#pragma once

#include <string>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

class RecordHandler {
 public:
  virtual ~RecordHandler() = default;
  virtual bool owns(const std::string& key) const = 0;
  /// `value` null: the key was dropped. What can't be read is kept out, and told in the log.
  virtual void apply(const std::string& key, const Json* value, Revision modRevision) = 0;
  /// The copy begins anew.
  virtual void clear() = 0;
};

}  // namespace kestrelhoist
