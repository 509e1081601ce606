/// \file
/// Maps ids to small numbers, so that hot code compares numbers instead of texts. The numbers are
/// valid in one process only.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace kestrelhoist {

/// Holds the numbers given to ids so far.
template <class Id>
class Interned {
 public:
  /// Returns the number of an id and assigns the next number if the id is new.
  std::uint32_t of(const Id& id) {
    return numbers_.try_emplace(id, static_cast<std::uint32_t>(numbers_.size())).first->second;
  }
  std::size_t size() const { return numbers_.size(); }

 private:
  std::unordered_map<Id, std::uint32_t> numbers_;
};

}  // namespace kestrelhoist
