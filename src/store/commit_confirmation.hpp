/// \file
/// Detects in the changes of the change feed that a transaction was applied. A caller that received
/// no answer to its transaction uses this.
#pragma once

#include <optional>
#include <vector>

#include "store/client.hpp"

namespace kestrelhoist {

/// Returns the revision at which `changes` contain every write of the transaction, or nothing if
/// there is no such revision. The transaction must compare a key that only its author writes,
/// because equal writes of another author would otherwise be mistaken for it.
[[nodiscard]] std::optional<Revision> appliedRevision(const Transaction& transaction,
                                                      const std::vector<Change>& changes);

}  // namespace kestrelhoist
