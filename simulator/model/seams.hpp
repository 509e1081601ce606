/// \file
/// The seams between the model of the region and where it runs: virtual time for scenarios, or an
/// event loop and sockets on loopback.
#pragma once

#include <algorithm>

#include "base/runtime.hpp"

namespace kestrelhoist::simulator {

/// Milliseconds.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual std::int64_t now() const = 0;
  virtual void at(std::int64_t ms, std::function<void()> f) = 0;
  void in(std::int64_t ms, std::function<void()> f) { at(now() + ms, std::move(f)); }
};

/// Hosts by name; an address is "host:port".
class Wire {
 public:
  using Server = std::function<void(const std::string& from, const Request&, Respond)>;
  virtual ~Wire() = default;
  virtual void listen(const std::string& address, Server server) = 0;
  virtual void close(const std::string& address) = 0;
  /// A host without power: says nothing.
  virtual void silence(const std::string& host) = 0;
  /// As others know it.
  virtual std::string publicAddress(const std::string& address) const { return address; }
  virtual void send(const std::string& from, const std::string& address, Request request,
                    std::int64_t timeout, OnReply done) = 0;
};

}  // namespace kestrelhoist::simulator
