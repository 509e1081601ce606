#include "store/commit_confirmation.hpp"

#include <algorithm>

namespace kestrelhoist {

std::optional<Revision> appliedRevision(const Transaction& transaction,
                                        const std::vector<Change>& changes) {
  if (transaction.writes.empty()) return std::nullopt;
  auto contains = [&](const Write& write, Revision revision) {
    return std::any_of(changes.begin(), changes.end(), [&](const Change& change) {
      return change.modRevision == revision && change.key == write.key &&
             change.value == write.value;
    });
  };
  const Write& first = transaction.writes.front();
  for (const auto& change : changes) {
    if (change.key != first.key) continue;
    const Revision revision = change.modRevision;
    if (std::all_of(transaction.writes.begin(), transaction.writes.end(),
                    [&](const Write& write) { return contains(write, revision); })) {
      return revision;
    }
  }
  return std::nullopt;
}

}  // namespace kestrelhoist
