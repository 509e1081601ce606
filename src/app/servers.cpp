#include "app/servers.hpp"

#include <algorithm>
#include <stdexcept>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kCertificateReloadInterval{2000};
// A request must arrive completely within this time. Users' clients time out after 5 s.
constexpr Duration kRequestTimeout{8000};
constexpr Duration kIdleTimeout{60000};
// Members' connections may use at most this share of all sockets.
constexpr double kMemberSocketShare = 0.8;
// Above this share of open sockets, the server closes each connection after its response, and the
// controller closes its own idle client connections.
constexpr double kCrowdedSocketShare = 0.75;
constexpr Duration kCloseIdleInterval{1000};

// Replaces "{member}" in a path with the name of this controller.
std::string expandMember(std::string path, const MemberId& member) {
  const std::string mark = "{member}";
  for (auto at = path.find(mark); at != std::string::npos; at = path.find(mark)) {
    path.replace(at, mark.size(), member.value);
  }
  return path;
}

// Returns the address with its port increased by `offset`.
std::string addressWithPortOffset(const std::string& address, int offset) {
  auto parts = splitAddress(address);
  if (!parts || parts->second + offset > 65535) {
    throw std::runtime_error("no port " + std::to_string(offset) + " above that of " + address);
  }
  return parts->first + ":" + std::to_string(parts->second + offset);
}

}  // namespace

Servers::Servers(EventLoop& loop, EvHttpClient& http, const Platform& platform,
                 const MemberSettings& settings, Controller& controller)
    : loop_(loop), http_(http), platform_(platform), controller_(controller) {
  ServerLimits userLimits;
  if (settings.enabled) {
    userLimits = {
        kIdleTimeout, kRequestTimeout,
        static_cast<int>(static_cast<double>(platform.maxConnections) * kMemberSocketShare)};
  }
  serveApi(userLimits);
  if (settings.enabled && !settings.usersTls.empty()) serveApiOverTls(settings, userLimits);
  if (settings.enabled && !settings.meshTls.empty()) secureMesh(settings.meshTls);
  listen(
      platform.meshAddress,
      [this](const Request& request, const Respond& respond) {
        controller_.onMesh(request, respond);
      },
      meshTls_);
  if (settings.enabled && settings.metricsPort > 0) serveMetrics(settings.metricsPort);
  if (usersTls_ || meshTls_) watchCertificates();
}

void Servers::listen(const std::string& address, Handler handler, std::shared_ptr<TlsServer> tls,
                     const ServerLimits& limits) {
  servers_.push_back(
      std::make_unique<HttpServer>(loop_, address, std::move(handler), std::move(tls), limits));
}

void Servers::serveApi(ServerLimits limits) {
  // Workers connect to this server, too, and the socket limit must apply to members only.
  limits.maxSocket = 0;
  limits.closeAboveSocket = std::max(
      16, static_cast<int>(static_cast<double>(platform_.maxConnections) * kCrowdedSocketShare));
  limits.onCrowded = [this] { closeIdleConnections(); };
  listen(
      platform_.apiAddress,
      [this](const Request& request, const Respond& respond) {
        controller_.onApi(request, respond);
      },
      nullptr, limits);
}

void Servers::closeIdleConnections() {
  if (loop_.now() - idleClosedAt_ < kCloseIdleInterval) return;
  idleClosedAt_ = loop_.now();
  logDebug("many sockets are open; closing idle connections");
  loop_.after(Duration{0}, [&http = http_] { http.closeIdle(); });
}

void Servers::serveApiOverTls(const MemberSettings& settings, const ServerLimits& limits) {
  usersTls_ =
      std::make_shared<TlsServer>(expandMember(settings.usersTls.certificate, platform_.member),
                                  expandMember(settings.usersTls.key, platform_.member));
  listen(
      addressWithPortOffset(platform_.apiAddress, settings.usersTlsPort),
      [this](const Request& request, const Respond& respond) {
        controller_.onApi(request, respond, true);
      },
      usersTls_, limits);
}

void Servers::secureMesh(TlsFiles files) {
  files.certificate = expandMember(files.certificate, platform_.member);
  files.key = expandMember(files.key, platform_.member);
  meshTls_ = std::make_shared<TlsServer>(files.certificate, files.key, files.authority);
  // Each controller presents a certificate for its own name and is accepted under no other name.
  auto client = std::make_shared<TlsClient>(files.authority, files.certificate, files.key);
  for (const auto& peer : platform_.peers) {
    http_.useTls(peer.address, client, peer.member.value);
  }
}

void Servers::serveMetrics(int portOffset) {
  listen(addressWithPortOffset(platform_.apiAddress, portOffset),
         [this](const Request& request, const Respond& respond) {
           if (request.method != "GET" || request.path != "/metrics") {
             return respond(jsonResponse(404, {{"error", "no such path"}}));
           }
           respond({200, controller_.metricsText(), 0, "text/plain; version=0.0.4"});
         });
}

void Servers::watchCertificates() {
  loop_.after(kCertificateReloadInterval, [this] {
    if (usersTls_) usersTls_->reload();
    if (meshTls_) meshTls_->reload();
    watchCertificates();
  });
}

}  // namespace kestrelhoist
