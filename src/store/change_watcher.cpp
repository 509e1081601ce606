#include "store/change_watcher.hpp"

#include <memory>
#include <utility>

#include "base/hedged_request.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// The state service mostly answers within 10 ms, sometimes within a few hundred (PROTOCOL).
constexpr Duration kRepeatReadAfter{400};
constexpr Duration kRepeatPageAfter{800};  // a page may be as large as 512 KiB
constexpr Duration kPageTimeout{2000};
constexpr Duration kRetryPageAfter{300};

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
      ->start({kRepeatPageAfter, kPageTimeout}, onRepeated);
}

void ChangeWatcher::onPage(const std::string& since, bool first, Instant sentAt,
                           const ListResult& page) {
  if (!page.ok) {
    ++failures_;
    runtime_.after(kRetryPageAfter, [this, since, first] { load(since, first); });
    return;
  }
  failures_ = 0;
  if (first) {
    loadRevision_ = page.revision;
    loadSentAt_ = sentAt;
  }
  for (const auto& row : page.rows) replica_.apply(row);
  if (page.more && !page.rows.empty()) {
    load(page.rows.back().key, false);
    return;
  }
  // Later pages may be newer than the first; changes since the first page's epoch are read
  // again, and the stamps of the keys sort out what is already here.
  replica_.advance(loadRevision_);
  loaded_ = true;
  // Not when the last page was sent: pages are asked for again across refusals, and what was
  // cancelled since the first one may be in none of them (leases would be renewed without knowing
  // of it).
  snapshotTime_ = loadSentAt_;
  logInfo("records loaded", "revision", loadRevision_, "jobs", replica_.jobs().size(), "machines",
          replica_.machines().size());
  schedule();
}

void ChangeWatcher::poll() {
  runtime_.after(std::min(interval_, Duration{250}), [this] { poll(); });
  if (loaded_ && !reading_ && runtime_.now() - lastSent_ >= interval_ - Duration{10}) read();
}

void ChangeWatcher::linearizableRead(std::function<void(bool)> done) {
  if (!loaded_) return done(false);
  waiting_.push_back(std::move(done));
  schedule();
}

void ChangeWatcher::schedule() {
  if (reading_ || scheduled_) return;
  Duration wait = settings_.minGap - (runtime_.now() - lastSent_);
  if (wait.count() <= 0) {
    read();
    return;
  }
  scheduled_ = true;
  runtime_.after(wait, [this] {
    scheduled_ = false;
    if (!reading_ && !waiting_.empty()) read();
  });
}

void ChangeWatcher::read() {
  if (!loaded_) return;
  reading_ = true;
  lastSent_ = runtime_.now();
  served_ = std::exchange(waiting_, {});
  auto send = [this](Duration timeout, std::function<void(ChangesResult)> done) {
    store_.changes(keys::kRoot, replica_.cursor(), timeout, std::move(done));
  };
  auto failed = [](const ChangesResult& r) { return r.kind == ChangesResult::Kind::failed; };
  auto done = [this](Instant sentAt, ChangesResult r) { onRead(sentAt, std::move(r)); };
  std::make_shared<HedgedRequest<ChangesResult>>(runtime_, send, failed, done)
      ->start({kRepeatReadAfter, settings_.timeout}, onRepeated);
}

void ChangeWatcher::onRead(Instant sentAt, ChangesResult r) {
  reading_ = false;
  bool ok = r.kind == ChangesResult::Kind::ok;
  if (ok) {
    if (failures_ > 0) logInfo("state service answers again", "failures", failures_);
    failures_ = 0;
    for (const auto& c : r.changes) replica_.apply(c);
    replica_.advance(r.revision);
    snapshotTime_ = sentAt;
    if (!r.changes.empty() && onApplied) onApplied(r.changes);
  } else if (r.kind == ChangesResult::Kind::tooOld) {
    logInfo("changes are gone, reading all records again", "since", replica_.cursor());
    loaded_ = false;
    if (onReload) onReload();
    replica_.clear();
    load("", true);
  } else if (failures_++ == 0) {
    failingSince_ = sentAt;
    logInfo("state service gave no usable answer to a read");
  }
  auto served = std::exchange(served_, {});
  for (auto& f : served) f(ok);
  if (ok && !r.changes.empty() && onChanged) onChanged();
  if (!waiting_.empty()) schedule();
}

}  // namespace kestrelhoist
