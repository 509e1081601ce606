#include "members/admission.hpp"

#include <cmath>

namespace kestrelhoist {
namespace {
// A client waits 2 s for a poll and 5 s for a submission. A request that would be answered later
// than about half of that time is refused, so that the others are answered in time.
constexpr Duration kNoLists{250};
constexpr Duration kNoPolls{1000};
constexpr Duration kNoSubmissions{2500};
constexpr int kSpreadS = 3;  // The jitter of retry delays is below this many seconds.
constexpr Duration kTidyEvery{10000};
}  // namespace

const char* wordOf(Work work) {
  switch (work) {
    case Work::cancel:
      return "cancel";
    case Work::submit:
      return "submit";
    case Work::poll:
      return "poll";
    default:
      return "list";
  }
}

void LoadGauge::note(Duration due, Duration took) {
  Duration late = std::max(Duration{0}, took - due);
  late_ = std::max(late, late_ / 2);
}

bool LoadGauge::takes(Work work) const {
  switch (work) {
    case Work::cancel:
      return true;
    case Work::submit:
      return late_ < kNoSubmissions;
    case Work::poll:
      return late_ < kNoPolls;
    default:
      return late_ < kNoLists;
  }
}

MemberRates::Buckets& MemberRates::of(Instant now, const Owner& owner) {
  // The buckets of a member without recent requests are full, so its entry can be removed.
  if (now - tidied_ > kTidyEvery) {
    tidied_ = now;
    double fullAfterS =
        std::max({limits_.submitBurst / limits_.submitsPerS, limits_.readBurst / limits_.readsPerS,
                  limits_.bytesBurst / limits_.bytesPerS});
    Duration quiet = fromSeconds(2 * fullAfterS);  // Doubled, since a bucket may be negative.
    std::erase_if(buckets_, [&](const auto& b) { return now - b.second.used > quiet; });
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

std::optional<int> MemberRates::refuse(Instant now, const Owner& owner, Work work,
                                       std::size_t bytes) {
  Buckets& b = of(now, owner);
  bool read = work == Work::poll || work == Work::list;
  RateBudget& requests = read ? b.reads : b.submits;
  auto size = static_cast<double>(bytes);
  Duration wait = std::max(requests.waitFor(now, 1), b.bytes.waitFor(now, size));
  if (wait.count() > 0) return spread(wait);
  requests.take(now, 1);
  b.bytes.take(now, size);
  return std::nullopt;
}

void MemberRates::charge(Instant now, const Owner& owner, std::size_t bytes) {
  of(now, owner).bytes.charge(now, static_cast<double>(bytes));
}

int MemberRates::spread(Duration atLeast) {
  int seconds = std::max(1, static_cast<int>(std::ceil(toSeconds(atLeast))));
  return std::min(30, seconds + static_cast<int>(random_() % kSpreadS));
}

std::function<void()> FairTurns::Lane::take() {
  if (queues.empty()) return nullptr;
  auto it = queues.upper_bound(last);
  if (it == queues.end()) it = queues.begin();
  last = it->first;
  auto start = std::move(it->second.front());
  it->second.pop_front();
  if (it->second.empty()) queues.erase(it);
  return start;
}

bool FairTurns::offer(const Owner& owner, Work work, std::function<void()> start) {
  if (working_ < inWork_ && waiting_ == 0 && (!room_ || room_())) {
    ++working_;
    start();
    return true;
  }
  auto& lane = work == Work::cancel ? cancels_ : submits_;
  auto queue = lane.queues.find(owner);
  if (waiting_ >= all_ || (queue != lane.queues.end() && queue->second.size() >= perMember_)) {
    return false;
  }
  lane.queues[owner].push_back(std::move(start));
  ++waiting_;
  return true;
}

void FairTurns::finished() {
  --working_;
  pump();
}

// A write that is answered at once calls finished() and so this function from within start(). The
// loop checks the limits anew at every step, so this recursion is safe.
void FairTurns::pump() {
  while (working_ < inWork_ && waiting_ > 0 && (!room_ || room_())) {
    auto start = cancels_.take();
    if (!start) start = submits_.take();
    --waiting_;
    ++working_;
    start();
  }
}

}  // namespace kestrelhoist
