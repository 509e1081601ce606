// These tests check TLS over loopback sockets, which covers certificate verification and the
// replacement of certificates at run time. They also check the HTTP server's limits for slow
// requests and for open sockets.
#include "base/tls.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>

#include "base/http.hpp"
#include "base/log.hpp"
#include "certificates.hpp"

namespace kestrelhoist {
namespace {

Response echo(const Request& q) {
  return {200, encodeBody({{"path", q.path}, {"key", q.credential}}), 0};
}

// Sends one request and returns the status of the response, or 0 if none arrives.
int ask(EventLoop& loop, const std::string& address, std::shared_ptr<TlsClient> tls,
        const std::string& name = "", EvHttpClient* keep = nullptr) {
  EvHttpClient own(loop, 4);
  EvHttpClient& client = keep ? *keep : own;
  if (tls) client.useTls(address, std::move(tls), name);
  int status = 0;
  client.send(address, {"GET", "/x", "", "secret", "id-1"}, Duration{3000},
              [&](std::optional<Response> r) {
                status = r ? r->status : 0;
                loop.after(Duration{5}, [&] { loop.stop(); });
              });
  loop.run();
  return status;
}

std::string at(const HttpServer& s) { return "127.0.0.1:" + std::to_string(s.port()); }

TEST(Tls, OnlyTheRightCertificateIsBelieved) {
  spdlog::set_level(spdlog::level::off);
  Certificates c;
  EventLoop loop;
  auto believing = [&](const std::string& who) { return std::make_shared<TlsClient>(c.pem(who)); };
  auto serving = [&](const std::string& who) {
    return std::make_shared<TlsServer>(c.pem(who), c.key(who));
  };
  auto handler = [](const Request& q, const Respond& r) { r(echo(q)); };
  struct Case {
    const char* shows;
    const char* believes;
    const char* name;
    int status;
  };
  for (const auto& k : std::vector<Case>{{"server", "ca", "", 200},
                                         {"server", "ca", "node0", 200},
                                         {"server", "ca", "node1", 0},
                                         {"other", "ca", "", 0},
                                         {"foreign", "ca", "", 0},
                                         {"foreign", "stranger", "", 200},
                                         {"expired", "ca", "", 0}}) {
    HttpServer server(loop, "127.0.0.1:0", handler, serving(k.shows));
    EXPECT_EQ(ask(loop, at(server), believing(k.believes), k.name), k.status)
        << k.shows << " " << k.name;
  }
  HttpServer server(loop, "127.0.0.1:0", handler, serving("server"));
  EXPECT_EQ(ask(loop, at(server), nullptr), 0) << "without TLS";
  HttpServer plain(loop, "127.0.0.1:0", handler);
  EXPECT_EQ(ask(loop, at(plain), believing("ca")), 0) << "TLS to a server without";
  // Several requests use the same connection.
  EvHttpClient client(loop, 4);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(loop, at(server), believing("ca"), "", &client), 200);
  EXPECT_THROW(TlsServer("/nonexistent", "/nonexistent"), std::runtime_error);
  EXPECT_THROW(TlsServer(c.pem("server"), c.key("other")), std::runtime_error);
}

TEST(Tls, BetweenControllersBothSidesShowTheirs) {
  spdlog::set_level(spdlog::level::off);
  Certificates c;
  EventLoop loop;
  auto tls = std::make_shared<TlsServer>(c.pem("server"), c.key("server"), c.pem("ca"));
  HttpServer server(
      loop, "127.0.0.1:0", [](const Request& q, const Respond& r) { r(echo(q)); }, tls);
  auto client = [&](const std::string& shows) {
    return std::make_shared<TlsClient>(c.pem("ca"), shows.empty() ? "" : c.pem(shows),
                                       shows.empty() ? "" : c.key(shows));
  };
  EXPECT_EQ(ask(loop, at(server), client("member"), "node0"), 200);
  EXPECT_EQ(ask(loop, at(server), client(""), "node0"), 0) << "shows none";
  EXPECT_EQ(ask(loop, at(server), client("foreign"), "node0"), 0) << "of another authority";
  EXPECT_EQ(ask(loop, at(server), client("expired"), "node0"), 0) << "expired";
  EXPECT_EQ(ask(loop, at(server), client("member"), "node1"), 0) << "is not the one meant";
}

TEST(Tls, CertificatesAreExchangedWithoutARestart) {
  spdlog::set_level(spdlog::level::off);
  Certificates c;
  EventLoop loop;
  c.issue("mine", "ca", "IP:127.0.0.1", 30);
  auto tls = std::make_shared<TlsServer>(c.pem("mine"), c.key("mine"));
  HttpServer server(
      loop, "127.0.0.1:0", [](const Request& q, const Respond& r) { r(echo(q)); }, tls);
  auto stranger = std::make_shared<TlsClient>(c.pem("stranger"));
  EXPECT_FALSE(tls->reload());
  EXPECT_EQ(ask(loop, at(server), stranger), 0);
  c.issue("mine", "stranger", "IP:127.0.0.1", 30);
  EXPECT_TRUE(tls->reload());
  EXPECT_EQ(ask(loop, at(server), stranger), 200);
  // The server rejects an invalid certificate file and keeps its current certificate.
  std::ofstream(c.pem("mine")) << "no certificate";
  EXPECT_FALSE(tls->reload());
  EXPECT_EQ(ask(loop, at(server), stranger), 200);
}

int connectTo(int port) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  return fd;
}

TEST(HttpLimits, ARequestThatDripsIsCutOffAndOthersAreServed) {
  EventLoop loop;
  ServerLimits limits;
  limits.requestTimeout = Duration{150};
  HttpServer server(
      loop, "127.0.0.1:0", [](const Request& q, const Respond& r) { r(echo(q)); }, nullptr, limits);
  int fd = connectTo(server.port());
  std::string request = "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: " + std::string(2000, 'y');
  std::size_t sent = 0;
  int answered = 0;
  bool closed = false;
  EvHttpClient client(loop, 4);
  // Sends one byte of the slow request after each regular request, until the server closes the
  // connection or all bytes are sent.
  std::function<void()> drip = [&] {
    if (sent < request.size() && send(fd, &request[sent], 1, MSG_NOSIGNAL) == 1) ++sent;
    char byte = 0;
    closed = recv(fd, &byte, 1, MSG_DONTWAIT) == 0 || sent == request.size();
    if (closed) return loop.stop();
    client.send(at(server), {"GET", "/", ""}, Duration{3000}, [&](std::optional<Response> r) {
      answered += r && r->status == 200 ? 1 : 0;
      loop.after(Duration{5}, drip);
    });
  };
  drip();
  loop.run();
  close(fd);
  EXPECT_TRUE(closed);
  EXPECT_LT(sent, request.size());
  EXPECT_GT(answered, 3);
}

TEST(HttpLimits, SocketsBeyondTheBoundAreAnsweredOnceAndClosed) {
  EventLoop loop;
  ServerLimits limits;
  limits.requestTimeout = Duration{5000};
  limits.maxSocket = 1;  // The descriptor of every accepted socket exceeds this limit.
  HttpServer server(
      loop, "127.0.0.1:0", [](const Request& q, const Respond& r) { r(echo(q)); }, nullptr, limits);
  EvHttpClient client(loop, 4);
  std::optional<Response> got;
  client.send(at(server), {"GET", "/", ""}, Duration{3000}, [&](std::optional<Response> r) {
    got = r;
    loop.stop();
  });
  loop.run();
  ASSERT_TRUE(got);
  EXPECT_EQ(got->status, 429);
  EXPECT_GE(got->retryAfterS, 1);
}

}  // namespace
}  // namespace kestrelhoist
