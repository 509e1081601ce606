/// \file
/// Tracks the container images that a machine holds, as derived from its worker's reports.
#pragma once

#include <cstdint>
#include <deque>

namespace kestrelhoist {

/// Describes an image on a machine.
struct CachedImage {
  std::uint32_t id{};  ///< Is the image's number in the replica.
  double gb{};
  /// Is true if a task has run with the image; otherwise the machine is still fetching the image.
  bool fetched{};
};

/// Holds the images of one machine, the most recently used first.
class ImageCache {
 public:
  /// Records that a task on the machine uses the image, which becomes the most recently used one.
  void recordUse(const CachedImage& image);
  /// Adds an image that an ended task used. The image becomes the least recently used one unless
  /// the cache already contains it.
  void addOldest(const CachedImage& image);
  /// Removes the least recently used images beyond `capacityGb`. A capacity of zero or less is
  /// unknown and removes nothing.
  void evictBeyond(double capacityGb);

  auto begin() const { return images_.begin(); }
  auto end() const { return images_.end(); }

 private:
  std::deque<CachedImage> images_;
};

}  // namespace kestrelhoist
