// The results of client calls. A result holds a value or an error, and the kind of the error tells
// a program how to react. Only Result::value() throws.
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "kestrelhoist/export.hpp"

namespace kestrelhoist::client {

// Why a call failed.
enum class ErrorKind {
  // The service can't parse the request, or a field is invalid. The caller must not repeat it.
  malformed,
  // The request is well-formed, but the machine types or the team's limits never allow the job to
  // run.
  neverRuns,
  // The request had no key, an invalid key or a key without the necessary right.
  notPermitted,
  // The member has no such job.
  unknown,
  // The id belongs to a job with another description, or a cursor has expired.
  conflict,
  // The client exceeds a rate limit. It may send the request again after Error::comeBack.
  throttled,
  // No controller could process the request before the deadline. The service changed nothing.
  unavailable,
  // The deadline of the call passed before any response arrived.
  deadlinePassed,
  // The client sent a change and received no conclusive response, so the service may have made the
  // change, or may still make it. The caller can repeat the call with the same id to find out.
  outcomeUnknown,
  // A response violates the protocol.
  protocolViolated,
  // The caller cancelled the call. The service may have made the change.
  cancelled,
  // The settings of the client are invalid.
  unusable,
};

// Returns the name of the error kind in lower-case letters and '_'.
KESTRELHOIST_API const char* wordOf(ErrorKind kind);

// A failed call.
struct KESTRELHOIST_API Error {
  ErrorKind kind = ErrorKind::unavailable;
  // The operation that failed, for example "submit j-12".
  std::string tried;
  // The address of the controller that received the last request.
  std::string where;
  // The number of requests that the call sent.
  int tries = 0;
  // The HTTP status of the last response, or 0 if the last request got no response.
  int status = 0;
  // The shortest time to wait before a retry, if the kind is `throttled`.
  std::chrono::milliseconds comeBack{0};
  // The reason as a text for users.
  std::string why;
  // The request id that the service's logs contain.
  std::string requestId;
  // The job id of a failed submission. A second submission with this id never creates a second job.
  std::string jobId;
  // The current version of the flow, if another version was committed first.
  std::uint64_t version = 0;

  // Returns the error as one line of text for users.
  std::string text() const;
};

// The exception that Result::value() throws if the result holds an error.
class KESTRELHOIST_API Failure : public std::runtime_error {
 public:
  explicit Failure(Error e) : std::runtime_error(e.text()), error_(std::move(e)) {}
  const Error& error() const { return error_; }

 private:
  Error error_;
};

// Holds a value or an error. The members are named like those of std::expected, which C++20 lacks.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : held_(std::in_place_index<0>, std::move(value)) {}      // NOLINT: implicit
  Result(Error error) : held_(std::in_place_index<1>, std::move(error)) {}  // NOLINT: implicit

  bool has_value() const { return held_.index() == 0; }
  explicit operator bool() const { return has_value(); }
  // Returns the value. The result must hold a value.
  const T& operator*() const { return *std::get_if<0>(&held_); }
  T& operator*() { return *std::get_if<0>(&held_); }
  const T* operator->() const { return std::get_if<0>(&held_); }
  T* operator->() { return std::get_if<0>(&held_); }
  // Returns the error. The result must hold an error.
  const Error& error() const { return *std::get_if<1>(&held_); }
  // Returns the value. Throws Failure if the result holds an error.
  const T& value() const {
    if (!has_value()) throw Failure(error());
    return **this;
  }
  T value_or(T otherwise) const { return has_value() ? **this : std::move(otherwise); }

 private:
  std::variant<T, Error> held_;
};

}  // namespace kestrelhoist::client
