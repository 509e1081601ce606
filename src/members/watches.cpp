#include "members/watches.hpp"

namespace kestrelhoist {

bool Watches::isFull(const Owner& owner) const {
  auto it = byOwner_.find(owner);
  return watches_.size() >= maxTotal_ ||
         (it != byOwner_.end() && it->second.size() >= maxPerMember_);
}

Watches::Number Watches::add(Watch watch) {
  reinsert(++next_, std::move(watch));
  return next_;
}

void Watches::reinsert(Number number, Watch watch) {
  byOwner_[watch.owner].insert(number);
  watches_.emplace(number, std::move(watch));
}

std::optional<Watch> Watches::take(Number number) {
  auto it = watches_.find(number);
  if (it == watches_.end()) return std::nullopt;
  Watch watch = std::move(it->second);
  watches_.erase(it);
  auto owner = byOwner_.find(watch.owner);
  owner->second.erase(number);
  if (owner->second.empty()) byOwner_.erase(owner);
  return watch;
}

std::vector<Watches::Number> Watches::numbersOf(const Owner& owner) const {
  auto it = byOwner_.find(owner);
  if (it == byOwner_.end()) return {};
  return {it->second.begin(), it->second.end()};
}

}  // namespace kestrelhoist
