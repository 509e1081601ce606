/// \file
/// Recognizes an applied transaction among the changes of the change feed, for a caller that has
/// not heard the outcome.
#pragma once

#include <optional>
#include <vector>

#include "store/client.hpp"

namespace kestrelhoist {

/// Returns the revision at which `changes` contain every write of the transaction; empty if they do
/// not. The transaction must condition on a key that only its author writes.
[[nodiscard]] std::optional<Revision> appliedRevision(const Transaction& transaction,
                                                      const std::vector<Change>& changes);

}  // namespace kestrelhoist
