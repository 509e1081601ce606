// What the controllers tell one another: how each one sees the state service, the workers and
// the leader. It never decides safety, only who should act.
#pragma once

#include <functional>
#include <map>

#include "base/runtime.hpp"
#include "config/platform.hpp"

namespace kestrelhoist {

// A peer's answer in the name of a service or worker that it asked in vain; none of them gives it.
inline constexpr int kNotReached = 502;

struct PeerStatus {
  MemberId member;
  FencingToken token;  // highest known
  bool leading{};
  Duration storeAge{};    // since it last reached the state service by its own link
  Duration workersAge{};  // since it last heard a worker
  bool ready{};
  bool hasLostWorkers{};       // leads and heard workers before, but none lately
  bool supportsForwarding{};   // asks services for peers and takes passed-on reports; the version
                               // before did not
  Duration cloudAge{3600000};  // since it last reached the cloud by its own link
  std::int64_t wallMs{};       // its time of day as it said so; 0: not told
  // The same against our steady clock, which never steps, when it was said.
  std::optional<std::int64_t> wallClockOffset = std::nullopt;
  // The newest revision of any cancellation in its records (Witnesses); empty: they are not whole.
  std::optional<Revision> newestCancellation = std::nullopt;
};

Json toJson(const PeerStatus& s);
std::optional<PeerStatus> peerStatusFrom(const Json& v);

class PeerMembership {
 public:
  PeerMembership(Runtime& runtime, HttpClient& http, const Platform& platform);

  // Sends `own()` to every peer now and then.
  void start(std::function<PeerStatus()> own, Duration every);
  Response onStatusRequest(const Request& request);
  // Tells the leader to read at once.
  void notifyLeader(const MemberId& leader);
  // To a peer's address for controllers. No such peer: no answer.
  void send(const MemberId& peer, Request request, Duration timeout, OnReply done);
  // Passes a user's request to a peer that reaches the state service.
  void forward(const MemberId& peer, const Request& request, Duration timeout, OnReply done);

  // What a peer said no longer ago than `within`.
  const PeerStatus* recentStatus(const MemberId& peer, Duration within) const;
  // Whether any peer spoke no longer ago than `within`.
  bool anyReachable(Duration within) const;
  // Of the peers heard `within` that lead, as they say, the one with the highest token; null: none.
  const PeerStatus* newestLeader(Duration within) const;
  // Whether the peer may be at work out of our sight. One that refused a connection since it was
  // last heard has most likely ended, and has nothing to work with until it has read the records;
  // but a process that ends is started again soon, so long refusals come from a filter between us.
  bool mayBeAlive(const MemberId& peer) const;
  // A peer that has reached the state service since `failing`, when it began to fail here. A peer
  // that reached it shortly before may be in the same outage.
  std::optional<MemberId> peerReachingStore(Instant failing) const;
  const std::map<MemberId, std::pair<PeerStatus, Instant>>& statuses() const { return statuses_; }

  std::function<void()> onNews;
  // A peer's answer to what it was asked at that instant.
  std::function<void(const PeerStatus&, Instant asked)> onAnswer;

 private:
  void exchangeStatus();
  std::optional<PeerStatus> recordStatus(const Json& body);
  Runtime& runtime_;
  HttpClient& http_;
  std::vector<Peer> peers_;
  std::map<MemberId, std::pair<PeerStatus, Instant>> statuses_;
  std::map<MemberId, bool> exchangeUnderWay_;
  struct Refusals {
    Instant first, last;
  };
  std::map<MemberId, Refusals> refusals_;  // since the peer was last heard
  std::function<PeerStatus()> own_;
  Duration every_{1000};
};

}  // namespace kestrelhoist
