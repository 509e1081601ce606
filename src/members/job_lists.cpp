// Serves lists and watches of a member's jobs. They are pages of the JobIndex, in the order of the
// jobs' last changes.
#include <algorithm>
#include <charconv>

#include "base/query.hpp"
#include "members/service.hpp"

namespace kestrelhoist {
namespace {
constexpr std::size_t kMaxJobsPerPage = 200;
constexpr std::size_t kMaxPageBytes = 48 * 1024;
// Limits the entries examined for one page, so that a filter without matches costs no more than a
// full page.
constexpr std::size_t kMaxEntriesExamined = 2000;

std::optional<std::uint64_t> parseNumberOr(const std::string& text, std::uint64_t otherwise) {
  if (text.empty()) return otherwise;
  std::uint64_t n = 0;
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (fault != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}
}  // namespace

// Lists only changes up to the replica's revision. A commit of this controller enters the replica
// at once, maybe before older commits of other controllers. A cursor after it would skip these.
MemberService::Page MemberService::page(const Owner& owner, const ChangePosition& since,
                                        const JobFilter& filter) const {
  Page page;
  Revision seen = replica_.revision();
  page.next = {std::max(seen, since.revision), JobId{}};
  const auto* order = replica_.memberJobs().of(owner);
  if (!order) return page;
  std::size_t bytes = 0, examined = 0;
  ChangePosition last = since;
  for (auto it = after(*order, since); it != order->end() && it->first <= seen; ++it) {
    if (page.jobs.size() >= filter.limit || bytes >= kMaxPageBytes ||
        examined >= kMaxEntriesExamined) {
      page.more = true;
      page.next = last;
      break;
    }
    ++examined;
    last = {it->first, it->second};
    const JobState* job = replica_.job(it->second);
    if (!job || !job->record.spec) continue;
    if (!filter.jobClass.empty() && job->record.spec->jobClass != filter.jobClass) continue;
    Json v = JobService::view(it->second, *job, false);
    if (!filter.phase.empty() && v["phase"] != filter.phase) continue;
    bytes +=
        v["ref"].get_ref<const std::string&>().size() + job->record.spec->jobClass.size() + 160;
    page.jobs.push_back(std::move(v));
  }
  return page;
}

Response MemberService::answer(const Owner& owner, const Page& page) const {
  return jsonResponse(200, {{"jobs", page.jobs},
                            {"cursor", cursorCipher_->encrypt(owner, page.next)},
                            {"more", page.more}});
}

void MemberService::list(const Caller& caller, const std::string& query, bool hold,
                         const Respond& uncounted) {
  Respond respond = counted(caller.owner, toString(RequestKind::list), uncounted);
  auto limit = parseNumberOr(queryValue(query, "limit"), 100);
  auto wait = parseNumberOr(queryValue(query, "wait_ms"), 0);
  JobFilter filter{queryValue(query, "phase"), queryValue(query, "class"), 0};
  bool phase = filter.phase.empty() || filter.phase == "pending" || filter.phase == "running" ||
               filter.phase == "done" || filter.phase == "withdrawn";
  if (!limit || *limit < 1 || !wait || !phase) {
    return respond(jsonResponse(400, {{"error", "limit, wait_ms or phase is no good"}}));
  }
  filter.limit = std::min<std::size_t>(*limit, kMaxJobsPerPage);
  std::string since = queryValue(query, "since");
  Duration held =
      hold ? std::min(Duration{static_cast<std::int64_t>(std::min<std::uint64_t>(*wait, 3600000))},
                      settings_.maxWatchDuration)
           : Duration{0};
  // The linearizable read makes sure that the list contains every change that another controller
  // has already confirmed to this member.
  watcher_.linearizableRead([this, caller, filter, since, held, uncounted, respond](bool ok) {
    if (!ok || replica_.cursorKey().empty()) return respond(retryLater(503));
    if (cursorSecret_ != replica_.cursorKey()) {
      cursorSecret_ = replica_.cursorKey();
      cursorCipher_.emplace(cursorSecret_);
    }
    // The value "now" asks only for a cursor at the present revision.
    if (since == "now") {
      return respond(answer(caller.owner, {Json::array(), {replica_.revision(), JobId{}}, false}));
    }
    auto from = since.empty() ? std::optional(ChangePosition{})
                              : cursorCipher_->decrypt(caller.owner, since);
    if (!from || from->revision > replica_.revision()) {
      return respond(jsonResponse(410, {{"error", "no such place: start again without since"}}));
    }
    Page first = page(caller.owner, *from, filter);
    if (!first.jobs.empty() || first.more || held.count() == 0) {
      return respond(answer(caller.owner, first));
    }
    if (watches_.isFull(caller.owner)) {
      if (metrics_) metrics_->shed("list", "watches");
      return respond(retryLater(429, rates_.jitteredDelayS(held)));
    }
    holdWatch({caller.owner, caller.key, first.next, filter, uncounted}, held);
  });
}

void MemberService::holdWatch(Watch watch, Duration wait) {
  auto number = watches_.add(std::move(watch));
  runtime_.after(wait, [this, number] {
    auto w = watches_.take(number);
    if (!w) return;
    if (!callerOf(w->key)) return w->respond(jsonResponse(401, {{"error", "not a valid key"}}));
    counted(w->owner, "watch", w->respond)(answer(w->owner, page(w->owner, w->since, w->filter)));
  });
}

void MemberService::answerWatches(const Owner& owner) {
  auto numbers = watches_.numbersOf(owner);
  if (numbers.empty()) return;
  const auto* order = replica_.memberJobs().of(owner);
  if (order && !order->empty() && order->rbegin()->first > replica_.revision()) {
    watches_.defer(owner);
  }
  for (auto number : numbers) {
    auto w = watches_.take(number);
    if (!w) continue;
    Page found = page(owner, w->since, w->filter);
    if (found.jobs.empty() && !found.more) {
      watches_.reinsert(number, std::move(*w));
    } else if (!callerOf(w->key)) {
      w->respond(jsonResponse(401, {{"error", "not a valid key"}}));
    } else {
      counted(owner, "watch", w->respond)(answer(owner, found));
    }
  }
}

void MemberService::onRecordsChanged() {
  std::set<Owner> owners = watches_.takeDeferred();
  owners.merge(replica_.memberJobs().takeChangedOwners());
  for (const auto& owner : owners) answerWatches(owner);
}

}  // namespace kestrelhoist
