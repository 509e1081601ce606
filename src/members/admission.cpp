#include "members/admission.hpp"

#include <cmath>

namespace kestrelhoist {
namespace {
// A client waits 2 s for a poll and 5 s for a submission. A request that would be answered later
// than about half of that time is refused, so that the others are answered in time.
constexpr Duration kMaxLatenessForLists{250};
constexpr Duration kMaxLatenessForPolls{1000};
constexpr Duration kMaxLatenessForSubmissions{2500};
constexpr int kRetryJitterS = 3;  // The jitter of retry delays is below this many seconds.
constexpr Duration kCleanupInterval{10000};
}  // namespace

const char* toString(RequestKind kind) {
  switch (kind) {
    case RequestKind::cancel:
      return "cancel";
    case RequestKind::submit:
      return "submit";
    case RequestKind::poll:
      return "poll";
    default:
      return "list";
  }
}

void LoadGauge::recordTimer(Duration due, Duration took) {
  Duration late = std::max(Duration{0}, took - due);
  lateness_ = std::max(late, lateness_ / 2);
}

bool LoadGauge::admits(RequestKind kind) const {
  switch (kind) {
    case RequestKind::cancel:
      return true;
    case RequestKind::submit:
      return lateness_ < kMaxLatenessForSubmissions;
    case RequestKind::poll:
      return lateness_ < kMaxLatenessForPolls;
    default:
      return lateness_ < kMaxLatenessForLists;
  }
}

MemberRates::Buckets& MemberRates::bucketsOf(Instant now, const Owner& owner) {
  // The buckets of a member without recent requests are full, so its entry can be removed.
  if (now - lastCleanup_ > kCleanupInterval) {
    lastCleanup_ = now;
    double fullAfterS =
        std::max({limits_.submitBurst / limits_.submitsPerS, limits_.readBurst / limits_.readsPerS,
                  limits_.bytesBurst / limits_.bytesPerS});
    Duration idleTime = fromSeconds(2 * fullAfterS);  // Doubled, since a bucket may be negative.
    std::erase_if(buckets_, [&](const auto& b) { return now - b.second.used > idleTime; });
  }
  auto it = buckets_.find(owner);
  if (it == buckets_.end()) {
    it = buckets_
             .emplace(owner, Buckets{{limits_.submitsPerS, limits_.submitBurst},
                                     {limits_.readsPerS, limits_.readBurst},
                                     {limits_.bytesPerS, limits_.bytesBurst},
                                     now})
             .first;
  }
  it->second.used = now;
  return it->second;
}

std::optional<int> MemberRates::refuse(Instant now, const Owner& owner, RequestKind kind,
                                       std::size_t bytes) {
  Buckets& b = bucketsOf(now, owner);
  bool read = kind == RequestKind::poll || kind == RequestKind::list;
  TokenBucket& requests = read ? b.reads : b.submits;
  auto size = static_cast<double>(bytes);
  Duration wait = std::max(requests.waitFor(now, 1), b.bytes.waitFor(now, size));
  if (wait.count() > 0) return jitteredDelayS(wait);
  requests.take(now, 1);
  b.bytes.take(now, size);
  return std::nullopt;
}

void MemberRates::charge(Instant now, const Owner& owner, std::size_t bytes) {
  bucketsOf(now, owner).bytes.charge(now, static_cast<double>(bytes));
}

int MemberRates::jitteredDelayS(Duration atLeast) {
  int seconds = std::max(1, static_cast<int>(std::ceil(toSeconds(atLeast))));
  return std::min(30, seconds + static_cast<int>(random_() % kRetryJitterS));
}

std::function<void()> FairQueue::MemberQueues::dequeue() {
  if (byMember.empty()) return nullptr;
  auto it = byMember.upper_bound(lastServed);
  if (it == byMember.end()) it = byMember.begin();
  lastServed = it->first;
  auto start = std::move(it->second.front());
  it->second.pop_front();
  if (it->second.empty()) byMember.erase(it);
  return start;
}

bool FairQueue::offer(const Owner& owner, RequestKind kind, std::function<void()> start) {
  if (inProgress_ < maxInProgress_ && waiting_ == 0 && (!tryTakeToken_ || tryTakeToken_())) {
    ++inProgress_;
    start();
    return true;
  }
  auto& memberQueues = kind == RequestKind::cancel ? cancellations_ : submissions_;
  auto queue = memberQueues.byMember.find(owner);
  if (waiting_ >= maxTotal_ ||
      (queue != memberQueues.byMember.end() && queue->second.size() >= maxPerMember_)) {
    return false;
  }
  memberQueues.byMember[owner].push_back(std::move(start));
  ++waiting_;
  return true;
}

void FairQueue::finished() {
  --inProgress_;
  startWaiting();
}

// A write that is answered at once calls finished() and so this function from within start(). The
// loop checks the limits anew at every step, so this recursion is safe.
void FairQueue::startWaiting() {
  while (inProgress_ < maxInProgress_ && waiting_ > 0 && (!tryTakeToken_ || tryTakeToken_())) {
    auto start = cancellations_.dequeue();
    if (!start) start = submissions_.dequeue();
    --waiting_;
    ++inProgress_;
    start();
  }
}

}  // namespace kestrelhoist
