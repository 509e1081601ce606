/// \file
/// Protects a value that several threads share with a mutex.
#pragma once

#include <mutex>
#include <utility>

namespace kestrelhoist {

/// Holds a value and the mutex that protects it.
template <class T>
class Guarded {
 public:
  Guarded() = default;
  explicit Guarded(T value) : value_(std::move(value)) {}

  /// Calls `f` with the value while holding the mutex. `f` must do no I/O and call no callbacks.
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
