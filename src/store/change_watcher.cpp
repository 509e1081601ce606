#include "store/change_watcher.hpp"

#include <memory>
#include <utility>

#include "base/hedged_request.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// The state service usually answers within 10 ms, and sometimes within a few hundred milliseconds.
constexpr Duration kReadHedgeDelay{400};
constexpr Duration kPageHedgeDelay{800};  // A page may be as large as 512 KiB.
constexpr Duration kPageTimeout{2000};
constexpr Duration kPageRetryDelay{300};

}  // namespace

ChangeWatcher::ChangeWatcher(Runtime& runtime, StoreClient& store, Replica& replica,
                             Settings settings)
    : runtime_(runtime), store_(store), replica_(replica), settings_(settings) {}

void ChangeWatcher::start() {
  snapshotTime_ = runtime_.now() - Duration{1000000};
  load("", true);
  poll();
}

void ChangeWatcher::load(const std::string& since, bool first) {
  auto send = [this, since](Duration timeout, std::function<void(ListResult)> done) {
    store_.list(keys::kRoot, since, timeout, std::move(done));
  };
  auto failed = [](const ListResult& page) { return !page.ok; };
  auto done = [this, since, first](Instant sentAt, const ListResult& page) {
    onPage(since, first, sentAt, page);
  };
  std::make_shared<HedgedRequest<ListResult>>(runtime_, send, failed, done)
      ->start({kPageHedgeDelay, kPageTimeout}, onRepeated);
}

void ChangeWatcher::onPage(const std::string& since, bool first, Instant sentAt,
                           const ListResult& page) {
  if (!page.ok) {
    ++consecutiveFailures_;
    runtime_.after(kPageRetryDelay, [this, since, first] { load(since, first); });
    return;
  }
  consecutiveFailures_ = 0;
  if (first) {
    loadRevision_ = page.revision;
    loadSentAt_ = sentAt;
  }
  for (const auto& row : page.rows) replica_.apply(row);
  if (page.more && !page.rows.empty()) {
    load(page.rows.back().key, false);
    return;
  }
  // Later pages may be newer than the first page. All changes since the revision of the first page
  // are therefore read again, and the replica skips those whose modification revision it has
  // already.
  replica_.advance(loadRevision_);
  loaded_ = true;
  // The request time of the last page would be too late. Pages are retried while the state service
  // refuses requests, and a cancellation committed after the first page may be in none of the
  // pages. Worker leases would then be renewed for cancelled tasks.
  snapshotTime_ = loadSentAt_;
  logInfo("records loaded", "revision", loadRevision_, "jobs", replica_.jobs().size(), "machines",
          replica_.machines().size());
  schedule();
}

void ChangeWatcher::poll() {
  runtime_.after(std::min(interval_, Duration{250}), [this] { poll(); });
  if (loaded_ && !readInFlight_ && runtime_.now() - lastReadSentAt_ >= interval_ - Duration{10})
    read();
}

void ChangeWatcher::linearizableRead(std::function<void(bool)> done) {
  if (!loaded_) return done(false);
  nextReadCallbacks_.push_back(std::move(done));
  schedule();
}

void ChangeWatcher::schedule() {
  if (readInFlight_ || scheduled_) return;
  Duration wait = settings_.minReadInterval - (runtime_.now() - lastReadSentAt_);
  if (wait.count() <= 0) {
    read();
    return;
  }
  scheduled_ = true;
  runtime_.after(wait, [this] {
    scheduled_ = false;
    if (!readInFlight_ && !nextReadCallbacks_.empty()) read();
  });
}

void ChangeWatcher::read() {
  if (!loaded_) return;
  readInFlight_ = true;
  lastReadSentAt_ = runtime_.now();
  inFlightReadCallbacks_ = std::exchange(nextReadCallbacks_, {});
  auto send = [this](Duration timeout, std::function<void(ChangesResult)> done) {
    store_.changes(keys::kRoot, replica_.revision(), timeout, std::move(done));
  };
  auto failed = [](const ChangesResult& r) { return r.kind == ChangesResult::Kind::failed; };
  auto done = [this](Instant sentAt, ChangesResult r) { onRead(sentAt, std::move(r)); };
  std::make_shared<HedgedRequest<ChangesResult>>(runtime_, send, failed, done)
      ->start({kReadHedgeDelay, settings_.timeout}, onRepeated);
}

void ChangeWatcher::onRead(Instant sentAt, ChangesResult r) {
  readInFlight_ = false;
  bool ok = r.kind == ChangesResult::Kind::ok;
  if (ok) {
    if (consecutiveFailures_ > 0)
      logInfo("state service answers reads again", "failures", consecutiveFailures_);
    consecutiveFailures_ = 0;
    for (const auto& c : r.changes) replica_.apply(c);
    replica_.advance(r.revision);
    snapshotTime_ = sentAt;
    if (!r.changes.empty() && onApplied) onApplied(r.changes);
  } else if (r.kind == ChangesResult::Kind::tooOld) {
    logInfo(
        "change feed no longer has the changes since the replica's revision; reloading all records",
        "since", replica_.revision());
    loaded_ = false;
    if (onReload) onReload();
    replica_.clear();
    load("", true);
  } else if (consecutiveFailures_++ == 0) {
    failingSince_ = sentAt;
    logInfo("read of the change feed failed");
  }
  auto callbacks = std::exchange(inFlightReadCallbacks_, {});
  for (auto& callback : callbacks) callback(ok);
  if (ok && !r.changes.empty() && onChanged) onChanged();
  if (!nextReadCallbacks_.empty()) schedule();
}

}  // namespace kestrelhoist
