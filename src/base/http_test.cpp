// Tests the HTTP server and client over real loopback sockets.
#include "base/http.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace kestrelhoist {
namespace {

TEST(Http, RequestsAreAnsweredOverLoopback) {
  EventLoop loop;
  HttpServer server(loop, "127.0.0.1:0", [](const Request& q, const Respond& respond) {
    auto body = decodeBody(q.body);
    respond({201, encodeBody({{"method", q.method}, {"path", q.path}, {"echo", *body}}), 7});
  });
  EvHttpClient client(loop, 8);
  std::string address = "127.0.0.1:" + std::to_string(server.port());
  int answers = 0;
  std::function<void()> ask = [&] {
    client.send(address, {"POST", "/x?y=1", encodeBody({{"n", answers}})}, Duration{5000},
                [&](std::optional<Response> r) {
                  ASSERT_TRUE(r);
                  EXPECT_EQ(r->status, 201);
                  auto body = decodeBody(r->body);
                  EXPECT_EQ(body->at("path"), "/x?y=1");
                  EXPECT_EQ(body->at("echo").at("n"), answers);
                  if (++answers == 3) return loop.stop();
                  ask();
                });
  };
  ask();
  loop.run();
  EXPECT_EQ(answers, 3);
}

TEST(Http, CarriesKeyAndIdOfARequestAndNothingElseForThem) {
  EventLoop loop;
  std::vector<std::pair<std::string, std::string>> seen;
  HttpServer server(loop, "127.0.0.1:0", [&](const Request& q, const Respond& respond) {
    seen.emplace_back(q.credential, q.id);
    respond({200, "", 0});
  });
  EvHttpClient client(loop, 8);
  std::string address = "127.0.0.1:" + std::to_string(server.port());
  std::vector<Request> sent{{"GET", "/", "", "kh_secret", "client-1-2"},
                            {"GET", "/", "", "", ""},
                            {"GET", "/", "", "k", "an id that is none"}};
  std::function<void()> next = [&] {
    if (seen.size() == sent.size()) return loop.stop();
    client.send(address, sent[seen.size()], Duration{5000},
                [&](const std::optional<Response>&) { next(); });
  };
  next();
  loop.run();
  EXPECT_EQ(seen, (std::vector<std::pair<std::string, std::string>>{
                      {"kh_secret", "client-1-2"}, {"", ""}, {"k", ""}}));
}

// Guards against running out of sockets: with half as many machines again, a single controller has
// fewer sockets than workers. Every request is answered, and connections above the limit are closed
// after the answer.
TEST(Http, ConnectionsBeyondTheBoundAreClosedAfterTheirAnswer) {
  EventLoop loop;
  int crowded = 0, answers = 0;
  ServerLimits limits;
  limits.closeAboveSocket = 1;
  limits.onCrowded = [&] { ++crowded; };
  HttpServer server(
      loop, "127.0.0.1:0",
      [](const Request&, const Respond& r) {
        r({200, "", 0});
      },
      nullptr, limits);
  EvHttpClient client(loop, 8);
  std::string address = "127.0.0.1:" + std::to_string(server.port());
  std::function<void()> ask = [&] {
    client.send(address, {"GET", "/", ""}, Duration{5000}, [&](std::optional<Response> r) {
      ASSERT_TRUE(r);
      EXPECT_EQ(r->status, 200);
      if (++answers == 4) return loop.stop();
      client.closeIdle();
      ask();
    });
  };
  ask();
  loop.run();
  EXPECT_EQ(crowded, 4);
}

TEST(Http, OversizedBodiesAndHandlersThatThrowAreAnswered) {
  EventLoop loop;
  HttpServer server(loop, "127.0.0.1:0",
                    [](const Request&, const Respond&) { throw std::runtime_error("oops"); });
  EvHttpClient client(loop, 8);
  std::string address = "127.0.0.1:" + std::to_string(server.port());
  std::vector<int> statuses;
  auto note = [&](std::optional<Response> r) {
    statuses.push_back(r ? r->status : 0);
    if (statuses.size() == 2) loop.stop();
  };
  client.send(address, {"POST", "/", std::string(70000, 'x')}, Duration{5000}, note);
  client.send(address, {"POST", "/", "x"}, Duration{5000}, note);
  loop.run();
  std::sort(statuses.begin(), statuses.end());
  EXPECT_EQ(statuses, (std::vector<int>{400, 500}));
}

TEST(Http, NoAnswerIsReportedAfterTheDeadline) {
  EventLoop loop;
  std::vector<Respond> held;
  HttpServer server(loop, "127.0.0.1:0",
                    [&](const Request&, const Respond& respond) { held.push_back(respond); });
  EvHttpClient client(loop, 8);
  bool unanswered = false;
  client.send("127.0.0.1:" + std::to_string(server.port()), {"GET", "/", ""}, Duration{100},
              [&](std::optional<Response> r) {
                unanswered = !r;
                // The client has closed its connection, so the late answers must be ignored.
                loop.after(Duration{100}, [&] {
                  for (auto& respond : held) respond({200, "", 0});
                  loop.after(Duration{20}, [&] { loop.stop(); });
                });
              });
  loop.run();
  EXPECT_TRUE(unanswered);
}

TEST(Http, ARefusedConnectionIsNoAnswer) {
  EventLoop loop;
  EvHttpClient client(loop, 8);
  bool unanswered = false;
  client.send("127.0.0.1:1", {"GET", "/", ""}, Duration{2000}, [&](std::optional<Response> r) {
    unanswered = !r;
    loop.stop();
  });
  loop.run();
  EXPECT_TRUE(unanswered);
}

// Guards against an answer whose headers take all memory.
TEST(Http, AnAnswerWithLongHeadersIsNoAnswer) {
  EventLoop loop;
  constexpr std::size_t kHeaderBytes = 1024 * 1024;
  HttpServer server(loop, "127.0.0.1:0", [](const Request&, const Respond& respond) {
    respond({200, "", 0, std::string(kHeaderBytes, 'x')});
  });
  EvHttpClient client(loop, 8);
  bool unanswered = false;
  client.send("127.0.0.1:" + std::to_string(server.port()), {"GET", "/", ""}, Duration{2000},
              [&](std::optional<Response> r) {
                unanswered = !r;
                loop.stop();
              });
  loop.run();
  EXPECT_TRUE(unanswered);
}

TEST(Cbor, BadBodiesAreNoValue) {
  EXPECT_FALSE(decodeBody(""));
  EXPECT_FALSE(decodeBody("\xa1"));
  EXPECT_FALSE(decodeBody("{\"a\": 1} and more"));
  EXPECT_EQ(*decodeBody(encodeBody({{"a", 1}})), Json({{"a", 1}}));
}

}  // namespace
}  // namespace kestrelhoist
