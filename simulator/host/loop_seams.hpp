/// \file
/// Implements the region model's clock and transport with an event loop and sockets on 127.0.0.1.
#pragma once

#include <map>
#include <memory>

#include "base/http.hpp"
#include "simulator/model/seams.hpp"

namespace kestrelhoist::simulator {

class LoopClock : public Clock {
 public:
  explicit LoopClock(EventLoop& loop) : loop_(loop), start_(loop.now()) {}
  std::int64_t now() const override { return (loop_.now() - start_).count(); }
  void at(std::int64_t ms, std::function<void()> f) override {
    loop_.after(Duration{std::max<std::int64_t>(0, ms - now())}, std::move(f));
  }

 private:
  EventLoop& loop_;
  Instant start_;
};

class LoopTransport : public Transport {
 public:
  LoopTransport(EventLoop& loop, HttpClient& http) : loop_(loop), http_(http) {}
  /// Maps a simulated address to a real address. Addresses without a mapping get a free port.
  void mapAddress(const std::string& name, const std::string& address) {
    mappedAddresses_[name] = address;
  }
  void listen(const std::string& address, Server server) override;
  void close(const std::string& address) override { servers_.erase(address); }
  void powerOff(const std::string& host) override;
  std::string publicAddress(const std::string& address) const override;
  void send(const std::string& from, const std::string& address, Request request,
            std::int64_t timeout, OnReply done) override;

 private:
  EventLoop& loop_;
  HttpClient& http_;
  std::map<std::string, std::string> mappedAddresses_;
  /// The key is the simulated address.
  std::map<std::string, std::unique_ptr<HttpServer>> servers_;
};

}  // namespace kestrelhoist::simulator
