#include "simulator/host/loop_seams.hpp"

namespace kestrelhoist::simulator {

void LoopTransport::listen(const std::string& address, Server server) {
  auto mapped = mappedAddresses_.find(address);
  servers_[address] = std::make_unique<HttpServer>(
      loop_, mapped == mappedAddresses_.end() ? "127.0.0.1:0" : mapped->second,
      [server = std::move(server)](const Request& q, Respond respond) {
        server("", q, std::move(respond));
      });
}

void LoopTransport::powerOff(const std::string& host) {
  // The server is destroyed from the event loop because one of its handlers may be running now.
  for (auto it = servers_.begin(); it != servers_.end();) {
    if (it->first.starts_with(host + ":")) {
      std::shared_ptr<HttpServer> old(std::move(it->second));
      loop_.after(Duration{0}, [old] {});
      it = servers_.erase(it);
    } else {
      ++it;
    }
  }
}

std::string LoopTransport::publicAddress(const std::string& address) const {
  auto it = servers_.find(address);
  return it == servers_.end() ? address : "127.0.0.1:" + std::to_string(it->second->port());
}

void LoopTransport::send(const std::string&, const std::string& address, Request request,
                         std::int64_t timeout, OnReply done) {
  http_.send(publicAddress(address), std::move(request), Duration{timeout}, std::move(done));
}

}  // namespace kestrelhoist::simulator
