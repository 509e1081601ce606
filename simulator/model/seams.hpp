/// \file
/// Declares the clock and the message transport that the region model depends on. The scenario
/// tests implement them in virtual time, hoist-region with an event loop and loopback sockets.
#pragma once

#include <algorithm>

#include "base/runtime.hpp"

namespace kestrelhoist::simulator {

/// Provides the time and timers; all times are in milliseconds.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual std::int64_t now() const = 0;
  virtual void at(std::int64_t ms, std::function<void()> f) = 0;
  void in(std::int64_t ms, std::function<void()> f) { at(now() + ms, std::move(f)); }
};

/// Carries requests and responses between named hosts. An address has the form "host:port".
class Transport {
 public:
  using Server = std::function<void(const std::string& from, const Request&, Respond)>;
  virtual ~Transport() = default;
  virtual void listen(const std::string& address, Server server) = 0;
  virtual void close(const std::string& address) = 0;
  /// Makes the host stop answering and sending, as if it had lost power.
  virtual void powerOff(const std::string& host) = 0;
  /// Returns the real address at which other processes reach the simulated address.
  virtual std::string publicAddress(const std::string& address) const { return address; }
  virtual void send(const std::string& from, const std::string& address, Request request,
                    std::int64_t timeout, OnReply done) = 0;
};

}  // namespace kestrelhoist::simulator
