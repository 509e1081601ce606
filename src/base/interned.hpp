/// \file
/// Small numbers for names that repeat, so that hot paths compare numbers. For one process only.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace kestrelhoist {

template <class Id>
class Interned {
 public:
  std::uint32_t of(const Id& id) {
    return numbers_.try_emplace(id, static_cast<std::uint32_t>(numbers_.size())).first->second;
  }
  std::size_t size() const { return numbers_.size(); }

 private:
  std::unordered_map<Id, std::uint32_t> numbers_;
};

}  // namespace kestrelhoist
