/// \file
/// Runs the HTTP servers of one controller. One serves users and workers, and one serves peers. If
/// members are enabled, a third can serve users over TLS and a fourth can serve metrics.
#pragma once

#include "app/controller.hpp"
#include "base/http.hpp"
#include "base/tls.hpp"

namespace kestrelhoist {

/// Owns the HTTP servers and their TLS contexts. The constructor's arguments must outlive this
/// object.
class Servers {
 public:
  /// Throws std::runtime_error if an address cannot be bound or a certificate is invalid.
  Servers(EventLoop& loop, EvHttpClient& http, const Platform& platform,
          const MemberSettings& settings, Controller& controller);

 private:
  void listen(const std::string& address, Handler handler, std::shared_ptr<TlsServer> tls = nullptr,
              const ServerLimits& limits = {});
  void serveApi(ServerLimits limits);
  void serveApiOverTls(const MemberSettings& settings, const ServerLimits& limits);
  void secureMesh(TlsFiles files);
  void serveMetrics(int portOffset);
  void closeIdleConnections();
  /// Reloads changed certificates every two seconds.
  void watchCertificates();

  EventLoop& loop_;
  EvHttpClient& http_;
  const Platform& platform_;
  Controller& controller_;
  Instant idleClosedAt_{};
  std::shared_ptr<TlsServer> usersTls_, meshTls_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace kestrelhoist
