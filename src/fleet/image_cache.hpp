/// \file
/// The container images that a machine holds, as its leader knows them.
#pragma once

#include <cstdint>
#include <deque>

namespace kestrelhoist {

/// An image on a machine.
struct CachedImage {
  std::uint32_t id{};  ///< Its number in the replica.
  double gb{};
  bool fetched{};  ///< A task has run with it; otherwise it is still being fetched.
};

/// The images of one machine, the most recently used first.
class ImageCache {
 public:
  /// A task on the machine uses the image: it becomes the newest.
  void recordUse(const CachedImage& image);
  /// The image is known from a task that is over: it becomes the oldest unless it is known already.
  void addOldest(const CachedImage& image);
  /// Forgets the oldest images beyond `capacityGb`; zero or less means that the size is unknown.
  void evictBeyond(double capacityGb);

  auto begin() const { return images_.begin(); }
  auto end() const { return images_.end(); }

 private:
  std::deque<CachedImage> images_;
};

}  // namespace kestrelhoist
