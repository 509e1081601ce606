#include "fleet/direct_launches.hpp"

namespace kestrelhoist {

void DirectLaunches::onSent(const AttemptId& attempt, FencingToken token) {
  ++unanswered_[{attempt, token}];
}

void DirectLaunches::onAnswered(const AttemptId& attempt, FencingToken token) {
  auto sent = unanswered_.find({attempt, token});
  if (sent != unanswered_.end() && sent->second > 0) --sent->second;
}

void DirectLaunches::onTokenSeen(FencingToken token) {
  std::erase_if(unanswered_, [&](const auto& sent) { return sent.first.second < token; });
}

bool DirectLaunches::mayArrive(const AttemptId& attempt) const {
  auto sent = unanswered_.lower_bound({attempt, FencingToken{}});
  return sent != unanswered_.end() && sent->first.first == attempt;
}

bool DirectLaunches::isUnanswered(const AttemptId& attempt) const {
  for (auto sent = unanswered_.lower_bound({attempt, FencingToken{}});
       sent != unanswered_.end() && sent->first.first == attempt; ++sent) {
    if (sent->second > 0) return true;
  }
  return false;
}

}  // namespace kestrelhoist
