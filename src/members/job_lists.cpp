// Serves lists and watches of a member's jobs. They are pages of the JobIndex, in the order of the
// jobs' last changes.
#include <algorithm>
#include <charconv>

#include "members/service.hpp"

namespace kestrelhoist {
namespace {
constexpr std::size_t kMostOnPage = 200;
constexpr std::size_t kPageBytes = 48 * 1024;
// Limits the entries examined for one page, so that a filter without matches costs no more than a
// full page.
constexpr std::size_t kMostLookedAt = 2000;

std::optional<std::uint64_t> numberOr(const std::string& text, std::uint64_t otherwise) {
  if (text.empty()) return otherwise;
  std::uint64_t n = 0;
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (fault != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}
}  // namespace

// Lists only changes up to the replica's revision. A commit of this controller enters the replica
// at once, maybe before older commits of other controllers. A cursor after it would skip these.
MemberService::Page MemberService::page(const Owner& owner, const ChangePlace& since,
                                        const JobFilter& filter) const {
  Page page;
  Revision seen = replica_.cursor();
  page.next = {std::max(seen, since.revision), JobId{}};
  const auto* order = replica_.memberJobs().of(owner);
  if (!order) return page;
  std::size_t bytes = 0, looked = 0;
  ChangePlace last = since;
  for (auto it = after(*order, since); it != order->end() && it->first <= seen; ++it) {
    if (page.jobs.size() >= filter.limit || bytes >= kPageBytes || looked >= kMostLookedAt) {
      page.more = true;
      page.next = last;
      break;
    }
    ++looked;
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
  return jsonResponse(
      200, {{"jobs", page.jobs}, {"cursor", seal_->seal(owner, page.next)}, {"more", page.more}});
}

void MemberService::list(const Caller& caller, const std::string& query, bool hold,
                         const Respond& plain) {
  Respond respond = counted(caller.owner, wordOf(Work::list), plain);
  auto limit = numberOr(queryValue(query, "limit"), 100);
  auto wait = numberOr(queryValue(query, "wait_ms"), 0);
  JobFilter filter{queryValue(query, "phase"), queryValue(query, "class"), 0};
  bool phase = filter.phase.empty() || filter.phase == "pending" || filter.phase == "running" ||
               filter.phase == "done" || filter.phase == "withdrawn";
  if (!limit || *limit < 1 || !wait || !phase) {
    return respond(jsonResponse(400, {{"error", "limit, wait_ms or phase is no good"}}));
  }
  filter.limit = std::min<std::size_t>(*limit, kMostOnPage);
  std::string since = queryValue(query, "since");
  Duration held =
      hold ? std::min(Duration{static_cast<std::int64_t>(std::min<std::uint64_t>(*wait, 3600000))},
                      settings_.longestWatch)
           : Duration{0};
  // The linearizable read makes sure that the list contains every change that another controller
  // has already confirmed to this member.
  watcher_.linearizableRead([this, caller, filter, since, held, plain, respond](bool ok) {
    if (!ok || replica_.cursorKey().empty()) return respond(retryLater(503));
    if (sealedWith_ != replica_.cursorKey()) {
      sealedWith_ = replica_.cursorKey();
      seal_.emplace(sealedWith_);
    }
    // The value "now" asks only for a cursor at the present revision.
    if (since == "now") {
      return respond(answer(caller.owner, {Json::array(), {replica_.cursor(), JobId{}}, false}));
    }
    auto from = since.empty() ? std::optional(ChangePlace{}) : seal_->open(caller.owner, since);
    if (!from || from->revision > replica_.cursor()) {
      return respond(jsonResponse(410, {{"error", "no such place: start again without since"}}));
    }
    Page first = page(caller.owner, *from, filter);
    if (!first.jobs.empty() || first.more || held.count() == 0) {
      return respond(answer(caller.owner, first));
    }
    if (watches_.full(caller.owner)) {
      if (metrics_) metrics_->shed("list", "watches");
      return respond(retryLater(429, rates_.spread(held)));
    }
    park({caller.owner, caller.key, first.next, filter, plain}, held);
  });
}

void MemberService::park(Watch watch, Duration wait) {
  auto number = watches_.add(std::move(watch));
  runtime_.after(wait, [this, number] {
    auto w = watches_.take(number);
    if (!w) return;
    if (!callerOf(w->key)) return w->respond(jsonResponse(401, {{"error", "not a valid key"}}));
    counted(w->owner, "watch", w->respond)(answer(w->owner, page(w->owner, w->since, w->filter)));
  });
}

void MemberService::serve(const Owner& owner) {
  auto numbers = watches_.of(owner);
  if (numbers.empty()) return;
  const auto* order = replica_.memberJobs().of(owner);
  if (order && !order->empty() && order->rbegin()->first > replica_.cursor()) {
    watches_.defer(owner);
  }
  for (auto number : numbers) {
    auto w = watches_.take(number);
    if (!w) continue;
    Page found = page(owner, w->since, w->filter);
    if (found.jobs.empty() && !found.more) {
      watches_.put(number, std::move(*w));
    } else if (!callerOf(w->key)) {
      w->respond(jsonResponse(401, {{"error", "not a valid key"}}));
    } else {
      counted(owner, "watch", w->respond)(answer(owner, found));
    }
  }
}

void MemberService::onRecordsChanged() {
  std::set<Owner> owners = watches_.takeDeferred();
  owners.merge(replica_.memberJobs().takeTouched());
  for (const auto& owner : owners) serve(owner);
}

}  // namespace kestrelhoist
