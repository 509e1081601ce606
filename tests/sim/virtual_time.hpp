/// \file
/// Provides virtual time and a simulated network that delays, loses, holds and resets messages.
#pragma once

#include <map>
#include <queue>
#include <random>
#include <set>

#include "base/log.hpp"
#include "sim/traffic_digest.hpp"
#include "simulator/model/seams.hpp"

namespace kestrelhoist::sim {

/// Runs scheduled functions in the order of their virtual times.
class VirtualClock : public simulator::Clock {
 public:
  VirtualClock() { newest_ = this; }
  ~VirtualClock() override {
    if (newest_ == this) newest_ = nullptr;
  }
  VirtualClock(const VirtualClock&) = delete;
  VirtualClock& operator=(const VirtualClock&) = delete;
  /// Returns the time of the most recently created clock, or 0 if none exists.
  static std::int64_t newestClockNow() { return newest_ ? newest_->now_ : 0; }
  std::int64_t now() const override { return now_; }
  void at(std::int64_t ms, std::function<void()> f) override {
    queue_.push({std::max(ms, now_), next_++, std::move(f)});
  }
  /// Runs all functions scheduled up to the time `ms`.
  void runUntil(std::int64_t ms) {
    while (!queue_.empty() && queue_.top().at <= ms) {
      auto event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.f();
    }
    now_ = ms;
  }

 private:
  struct Event {
    std::int64_t at;
    std::uint64_t order;
    std::function<void()> f;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  std::priority_queue<Event> queue_;
  std::int64_t now_ = 1000;
  std::uint64_t next_ = 0;
  static inline VirtualClock* newest_ = nullptr;
};

/// Says what happens to messages across a cut. In mode `slow` they take Network::slowLinkDelayMs
/// longer.
enum class CutMode { hold, drop, reset, slow };
/// Names the direction that a cut affects, as seen from its host.
enum class CutWay { both, in, out };

/// Carries messages between named hosts; an address has the form "host:port". A cut disturbs the
/// messages between two groups of hosts.
class Network : public simulator::Transport {
 public:
  Network(VirtualClock& clock, std::mt19937_64& random) : clock_(clock), random_(random) {}
  ~Network() override {
    if (digest_) digest_->report();
  }

  void listen(const std::string& address, Server server) override {
    servers_[address] = std::move(server);
  }
  void close(const std::string& address) override { servers_.erase(address); }
  /// Makes the host stop answering and sending, as if it had lost power.
  void powerOff(const std::string& host) override { poweredOff_.insert(host); }

  /// Cuts `host` off from every host in `others` for `ms`; an empty set stands for all hosts.
  void cut(const std::string& host, const std::set<std::string>& others, CutMode mode,
           std::int64_t ms, CutWay way = CutWay::both) {
    cuts_.push_back({host, others, {}, mode, clock_.now() + ms, way});
  }
  /// Makes all requests from this host fail for `ms`. They are refused at once if `refused` is set,
  /// otherwise they time out. Requests to the host and its responses still arrive.
  void blockRequestsFrom(const std::string& host, bool refused, std::int64_t ms) {
    blockedSenders_[host] = {clock_.now() + ms, refused};
  }
  /// Cuts the hosts in `inside` off from all other hosts for `ms`.
  void isolate(const std::set<std::string>& inside, CutMode mode, std::int64_t ms) {
    cuts_.push_back({"", {}, inside, mode, clock_.now() + ms, CutWay::both});
  }
  /// Counts the requests so far and the bytes of their request and response bodies.
  struct Traffic {
    std::size_t requests{}, bytes{};
  };
  /// The key consists of the first two segments of the request path.
  std::map<std::string, Traffic> traffic;
  /// This share of all responses is lost.
  double responseLossShare = 0;
  /// Responses to requests from the host in the key are lost until this time (ms).
  std::map<std::string, std::int64_t> responsesToHostLostUntil;
  /// Responses sent by the host in the key are lost until this time (ms).
  std::map<std::string, std::int64_t> responsesFromHostLostUntil;
  /// This share of the requests arrives up to two minutes late.
  double lateRequestShare = 0;
  /// Sets which share of the messages has an extra delay, and the range of that delay in ms.
  struct MessageDelay {
    double share = 0;
    std::int64_t from = 0, to = 0;
  };
  /// For this share of the workers' reports a copy also arrives after the extra delay, and its
  /// response is discarded.
  MessageDelay duplicateReports;
  /// This share of the transactions gets no response. The state service applies them 2 to 12 s
  /// later, possibly after newer transactions.
  double lateTransactionShare = 0;
  /// This share of the direct commands to workers, of the responses to these commands and of the
  /// responses to reports arrives after the extra delay.
  MessageDelay delayedCommands;
  /// Describes an additional fault of one request: an extra delay in ms and the loss of its
  /// response.
  struct RequestFault {
    std::int64_t extraDelayMs = 0;
    bool discardsResponse = false;
  };
  /// The network asks this function for the fault of each request, if it is set.
  std::function<RequestFault(const std::string& from, const Request& request)> requestFault;
  /// The network calls onSent for each request as it is sent, and onResponse for each response.
  std::function<void(const std::string& from, const Request& request)> onSent;
  std::function<void(const Request& request, const Response& answer)> onResponse;
  /// Cuts in mode `slow` delay each message by this time.
  std::int64_t slowLinkDelayMs = 1500;
  /// Responses of the state service take this much longer (ms).
  std::int64_t stateServiceDelayMs = 0;

  /// Delivers a copy of a request after `extraDelayMs` and discards its response.
  void deliver(const std::string& from, const std::string& address, const Request& request,
               std::int64_t extraDelayMs) {
    std::string to = address.substr(0, address.find(':'));
    travel(from, to, extraDelayMs + latency(), [this, from, address, request](bool reset) {
      auto server = servers_.find(address);
      if (reset || server == servers_.end()) return;
      serve(server->second, from, address, request, [](const Response&) {});
    });
  }

  void send(const std::string& from, const std::string& address, Request request,
            std::int64_t timeout, OnReply done) override {
    auto answered = std::make_shared<bool>(false);
    auto finish = [answered, done](std::optional<Response> r) {
      if (*answered) return;
      *answered = true;
      done(std::move(r));
    };
    clock_.in(timeout, [finish] { finish(std::nullopt); });
    if (auto blocked = blockedSenders_.find(from);
        blocked != blockedSenders_.end() && clock_.now() < blocked->second.until) {
      if (blocked->second.refused) clock_.in(latency(), [finish] { finish(std::nullopt); });
      return;
    }
    if (digest_) digest_->onRequest("sent", clock_.now(), from, address, request);
    std::string to = address.substr(0, address.find(':'));
    auto second = request.path.find('/', 1);
    auto& sum = traffic[request.path.substr(0, request.path.find_first_of("/?", second + 1))];
    ++sum.requests;
    sum.bytes += request.body.size();
    std::int64_t delay = latency();
    if (chance(lateRequestShare))
      delay += std::uniform_int_distribution<std::int64_t>(0, 120000)(random_);
    if (request.path == "/agent/beat" && chance(duplicateReports.share)) {
      auto copyDelay = std::uniform_int_distribution<std::int64_t>(duplicateReports.from,
                                                                   duplicateReports.to)(random_);
      travel(from, to, delay + copyDelay, [this, from, address, request](bool) {
        if (auto server = servers_.find(address); server != servers_.end()) {
          serve(server->second, from, address, request, [](const Response&) {});
        }
      });
    }
    bool command = request.path == "/commands";
    bool discardsResponse = request.path == "/commit" && chance(lateTransactionShare);
    if (discardsResponse)
      delay += std::uniform_int_distribution<std::int64_t>(2000, 12000)(random_);
    if (onSent) onSent(from, request);
    RequestFault fault = requestFault ? requestFault(from, request) : RequestFault{};
    delay += fault.extraDelayMs;
    discardsResponse = discardsResponse || fault.discardsResponse;
    if (command && chance(delayedCommands.share)) delay += commandDelay();
    std::int64_t responseDelay = 0;
    if ((command || request.path == "/agent/beat") && chance(delayedCommands.share))
      responseDelay = commandDelay();
    if (to == "state") responseDelay += stateServiceDelayMs;
    travel(
        from, to, delay,
        [this, from, to, address, request, finish, discardsResponse, responseDelay,
         &sum](bool reset) {
          if (reset) return finish(std::nullopt);
          auto server = servers_.find(address);
          if (server == servers_.end()) return finish(std::nullopt);
          bool isLost = chance(responseLossShare) || discardsResponse || isResponseLost(from, to);
          serve(server->second, from, address, request,
                [this, from, to, request, finish, isLost, responseDelay, &sum](const Response& r) {
                  if (onResponse) onResponse(request, r);
                  if (isLost) {
                    return logDebug("simulated network drops response", "from", from, "to", to,
                                    "path", request.path, "status", r.status, "at_ms",
                                    clock_.now());
                  }
                  sum.bytes += r.body.size();
                  travel(to, from, responseDelay + latency(), [finish, r](bool reset) {
                    if (reset) return finish(std::nullopt);
                    finish(r);
                  });
                });
        });
  }

 private:
  struct Cut {
    std::string host;
    std::set<std::string> others;
    std::set<std::string> inside;
    CutMode mode;
    std::int64_t until;
    CutWay way;
  };
  /// Takes the server by value, because it may close its own address while it handles the request.
  void serve(Server server, const std::string& from, const std::string& address,
             const Request& request, const Respond& respond) {
    if (!digest_) return server(from, request, respond);
    digest_->onRequest("arrived", clock_.now(), from, address, request);
    server(from, request, [this, from, address, respond](const Response& r) {
      digest_->onResponse(clock_.now(), address, from, r);
      respond(r);
    });
  }
  std::int64_t latency() { return std::uniform_int_distribution<std::int64_t>(1, 4)(random_); }
  std::int64_t commandDelay() {
    return std::uniform_int_distribution<std::int64_t>(delayedCommands.from,
                                                       delayedCommands.to)(random_);
  }
  bool isResponseLost(const std::string& from, const std::string& to) const {
    auto isActive = [this](const auto& until, const std::string& host) {
      auto found = until.find(host);
      return found != until.end() && clock_.now() < found->second;
    };
    return isActive(responsesToHostLostUntil, from) || isActive(responsesFromHostLostUntil, to);
  }
  bool chance(double p) { return p > 0 && std::bernoulli_distribution(p)(random_); }

  const Cut* cutBetween(const std::string& a, const std::string& b) const {
    for (const auto& c : cuts_) {
      if (c.until <= clock_.now()) continue;
      auto hits = [&](const std::string& x, const std::string& y) {
        return c.host == x && (c.others.empty() || c.others.contains(y));
      };
      bool out = c.way != CutWay::in && hits(a, b), in = c.way != CutWay::out && hits(b, a);
      if (out || in || c.inside.contains(a) != c.inside.contains(b)) return &c;
    }
    return nullptr;
  }

  void travel(const std::string& from, const std::string& to, std::int64_t delay,
              std::function<void(bool reset)> arrive) {
    clock_.in(delay, [this, from, to, arrive] {
      if (poweredOff_.contains(to) || poweredOff_.contains(from)) return;
      if (const Cut* c = cutBetween(from, to)) {
        if (c->mode == CutMode::reset) return arrive(true);
        if (c->mode == CutMode::drop) return;
        if (c->mode == CutMode::slow)
          return clock_.in(slowLinkDelayMs, [arrive] { arrive(false); });
        clock_.at(c->until + latency(), [this, from, to, arrive] { travel(from, to, 0, arrive); });
        return;
      }
      arrive(false);
    });
  }

  VirtualClock& clock_;
  std::mt19937_64& random_;
  std::map<std::string, Server> servers_;
  std::set<std::string> poweredOff_;
  std::vector<Cut> cuts_;
  struct BlockedSender {
    std::int64_t until{};
    bool refused{};
  };
  std::map<std::string, BlockedSender> blockedSenders_;
  std::unique_ptr<TrafficDigest> digest_ = TrafficDigest::fromEnvironment();
};

/// Simulates one process on a host. Its timers and pending responses are cancelled when it is
/// destroyed. Its clock may run fast.
class HostRuntime : public Runtime, public HttpClient {
 public:
  HostRuntime(VirtualClock& clock, Network& network, std::string host, double clockRate)
      : clock_(clock), network_(network), host_(std::move(host)), rate_(clockRate) {}

  Instant now() override {
    return {static_cast<std::int64_t>(static_cast<double>(clock_.now()) * rate_)};
  }
  std::int64_t wallMillis() override {
    // The simulated time of day starts at 22:13:20 UTC.
    return 1700000000000 + clock_.now() + wallClockOffsetMs;
  }
  /// The time of day of this process is wrong by this many milliseconds.
  std::int64_t wallClockOffsetMs = 0;
  /// Pauses the process for `ms`: timers, responses and functions given to whenAwake() wait, while
  /// its clock runs on.
  void freeze(std::int64_t ms) { frozenUntil_ = clock_.now() + ms; }
  /// Calls f now, or after the end of a pause.
  void whenAwake(std::function<void()> f) {
    if (clock_.now() >= frozenUntil_) return f();
    clock_.at(frozenUntil_, guard([this, f = std::move(f)] { whenAwake(f); }));
  }
  void after(Duration delay, std::function<void()> f) override {
    auto real = static_cast<std::int64_t>(static_cast<double>(delay.count()) / rate_ + 0.999);
    clock_.in(std::max<std::int64_t>(real, 0),
              guard([this, f = std::move(f)]() mutable { whenAwake(std::move(f)); }));
  }
  void send(const std::string& address, Request request, Duration timeout,
            OnReply onReply) override {
    network_.send(host_, address, std::move(request), timeout.count(),
                  [this, alive = std::weak_ptr<int>(alive_), onReply](std::optional<Response> r) {
                    if (alive.expired()) return;
                    whenAwake([onReply, r = std::move(r)] { onReply(r); });
                  });
  }

 private:
  std::function<void()> guard(std::function<void()> f) {
    return [alive = std::weak_ptr<int>(alive_), f = std::move(f)] {
      if (!alive.expired()) f();
    };
  }
  VirtualClock& clock_;
  Network& network_;
  std::string host_;
  double rate_;
  std::int64_t frozenUntil_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace kestrelhoist::sim
