#include "fleet/image_cache.hpp"

#include <algorithm>

namespace kestrelhoist {

void ImageCache::recordUse(const CachedImage& image) {
  auto known = std::find_if(images_.begin(), images_.end(),
                            [&](const CachedImage& other) { return other.id == image.id; });
  bool fetched = image.fetched;
  if (known != images_.end()) {
    fetched = fetched || known->fetched;
    images_.erase(known);
  }
  images_.push_front({image.id, image.gb, fetched});
}

void ImageCache::addOldest(const CachedImage& image) {
  auto known = std::find_if(images_.begin(), images_.end(),
                            [&](const CachedImage& other) { return other.id == image.id; });
  if (known == images_.end()) {
    images_.push_back(image);
  } else {
    known->fetched = known->fetched || image.fetched;
  }
}

void ImageCache::evictBeyond(double capacityGb) {
  if (capacityGb <= 0) return;
  double usedGb = 0;
  for (std::size_t i = 0; i < images_.size(); ++i) {
    usedGb += images_[i].gb;
    if (usedGb > capacityGb) {
      images_.resize(i);
      return;
    }
  }
}

}  // namespace kestrelhoist
