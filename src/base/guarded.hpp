/// \file
/// Shared state behind a short lock: no I/O and no callback while it is held.
#pragma once

#include <mutex>
#include <utility>

namespace kestrelhoist {

template <class T>
class Guarded {
 public:
  Guarded() = default;
  explicit Guarded(T value) : value_(std::move(value)) {}

  template <class F>
  auto with(F&& f) {
    std::lock_guard lock(mutex_);
    return std::forward<F>(f)(value_);
  }

 private:
  std::mutex mutex_;
  T value_;
};

}  // namespace kestrelhoist
