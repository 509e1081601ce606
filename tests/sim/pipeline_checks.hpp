/// \file
/// The checker of pipelines: what must hold between jobs of which one awaits another. Events in,
/// broken rules out; it knows nothing of controllers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kestrelhoist::sim {

class PipelineChecks {
 public:
  using Fail = std::function<void(const std::string& rule, const std::string& what)>;
  PipelineChecks(std::int64_t cancelMs, Fail fail) : cancelMs_(cancelMs), fail_(std::move(fail)) {}

  struct Job {
    int tasks = 1;
    std::vector<std::string> awaits;
    bool service = false;
    bool malformed = false;  ///< its `awaits` is no list of job ids
  };

  /// What happens, in the order in which it does.
  void sent(const std::string& id, const Job& job);  ///< its first submission leaves
  void accepted(const std::string& id);
  /// `hadToBeAccepted`: as of when the request was sent.
  void refused(const std::string& id, int status, bool hadToBeAccepted);
  void cancelAsked(const std::string& id);
  void completed(const std::string& id, std::int64_t now);  ///< one task more, on its worker
  void started(const std::string& id, int index);
  /// A user was told this phase of the job.
  void told(const std::string& id, const std::string& phase, std::int64_t now);

  /// What is known.
  bool hasToBeAccepted(const std::string& id) const;  ///< each that it awaits was accepted
  bool mayBeWithdrawn(
      const std::string& id) const;  ///< somebody asked to cancel it or one before it
  bool withdrawnAbove(const std::string& id) const;  ///< one before it is to be cancelled
  /// When the last job that it needs was done; 0: it needs none; -1: not yet.
  std::int64_t releasedAt(const std::string& id) const;
  /// Since when its user knows that it, or one before it, is cancelled; -1: not.
  std::int64_t cancelledSince(const std::string& id) const;
  bool isAccepted(const std::string& id) const;
  bool isOver(const std::string& id) const;  ///< its user was told so
  bool isKnown(const std::string& id) const { return jobs_.contains(id); }
  std::vector<std::string> after(const std::string& id) const;  ///< all that need it
  /// Jobs of pipelines that were accepted and whose users were not told of an end.
  std::vector<std::string> unsettled() const;

 private:
  struct State {
    Job job;
    bool accepted = false, refused = false, cancelAsked = false, began = false;
    std::string end;           ///< as told: done or withdrawn
    int left = 0;              ///< tasks that did not complete
    std::int64_t doneAt = -1;  ///< the last one completed
    std::int64_t withdrawnToldAt = -1;
  };
  const State* find(const std::string& id) const;
  /// All jobs that it needs, directly and through others.
  std::set<std::string> before(const std::string& id) const;
  /// It can't be accepted: its list is malformed, or names what never was accepted, or a service.
  int mustBeRefusedWith(const std::string& id) const;
  static bool toBeCancelled(const State& s) { return s.cancelAsked && s.end != "done"; }

  std::int64_t cancelMs_;
  Fail fail_;
  std::map<std::string, State> jobs_;
  std::map<std::string, std::vector<std::string>> dependants_;  ///< direct ones
};

}  // namespace kestrelhoist::sim
