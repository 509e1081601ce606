/// \file
/// Builds one transaction of a flow from changes to jobs, pages of instance states, accounts and
/// the head, within the limits of the state service.
#pragma once

#include <algorithm>
#include <functional>

#include "flows/flow_loop.hpp"

namespace kestrelhoist {

/// Collects the writes and compares of one transaction of a flow.
class FlowLoop::FlowTransaction {
 public:
  using Result = TransactionBuilder::Result;

  FlowTransaction(const LeaderContext& context, const FlowId& id, const FlowState& flow,
                  const FlowVersion& version, const Digest& graph)
      : context_(&context), id_(id), flow_(&flow), version_(&version), graph_(graph) {}

  /// Calls `change`, which adds a part with the functions below. Undoes it if the transaction is
  /// then beyond a limit.
  Result add(const std::function<void(FlowTransaction&)>& change) {
    FlowTransaction before = *this;
    change(*this);
    ++parts_;
    CommitLimits& commitLimits = context_->store.limits();
    const bool alone = before.empty();
    const bool admitted = alone ? commitLimits.admitsAlone(wholePart(), size(), limits())
                                : commitLimits.admitsTogether(parts_, size(), limits());
    if (admitted) return Result::added;
    *this = std::move(before);
    return alone ? Result::unwritable : Result::full;
  }

  void set(const std::string& key, Json value, Revision modRevision) {
    append({key, std::move(value), std::nullopt}, modRevision);
  }

  void remove(const std::string& key, Revision modRevision) {
    append({key, std::nullopt, std::nullopt}, modRevision);
    if (key.starts_with(keys::kJob)) removedJobs_.emplace_back(key.substr(keys::kJob.size()));
  }

  void setState(Instance i, char letter) {
    std::uint32_t number = i / kPageSize;
    auto page = pages_.find(number);
    if (page == pages_.end()) {
      auto size = std::min<std::size_t>(kPageSize, version_->graph.size() - number * kPageSize);
      std::string letters(size, 'w');
      for (std::size_t k = 0; k < size; ++k) {
        letters[k] = version_->stateOf(static_cast<Instance>(number * kPageSize + k));
      }
      page = pages_.emplace(number, std::move(letters)).first;
    }
    page->second[i % kPageSize] = letter;
  }

  /// Adds resource use to the account of a rule. It extends the existing entry of the rule, or adds
  /// a new entry to the last account block, or to a new block if the last one is full.
  void addUse(const FlowRule& rule, const ResourceUse& use) {
    if (use.empty()) return;
    auto same = [&](const AccountEntry& e) {
      return e.rule == rule.name && e.perTask.cpus == rule.perTask.cpus &&
             e.perTask.gpus == rule.perTask.gpus && e.perTask.ramGb == rule.perTask.ramGb;
    };
    // Adds the use to an entry of the rule, unless the block then exceeds the limit for values.
    auto addTo = [&](std::vector<AccountEntry>& entries) {
      auto it = std::find_if(entries.begin(), entries.end(), same);
      if (it == entries.end()) return false;
      const ResourceUse known = it->use;
      it->use += use;
      if (accountBytes(entries) <= context_->legacyValueBytes()) return true;
      it->use = known;
      return false;
    };
    for (auto& [block, entries] : accounts_) {
      if (addTo(entries)) return;
    }
    for (const auto& [block, entries] : flow_->accounts) {
      if (accounts_.contains(block)) continue;
      // A block that was filled under a larger value limit cannot be rewritten. The use then goes
      // to a second entry for the rule; readers sum all entries of a rule.
      std::vector<AccountEntry> changed = entries;
      if (!addTo(changed)) continue;
      accounts_.emplace(block, std::move(changed));
      return;
    }
    std::uint32_t last = 0;
    if (!flow_->accounts.empty()) last = flow_->accounts.rbegin()->first;
    if (!accounts_.empty()) last = std::max(last, accounts_.rbegin()->first);
    auto known = flow_->accounts.find(last);
    std::size_t filled = accounts_.contains(last)         ? accountBytes(accounts_.at(last))
                         : known != flow_->accounts.end() ? accountBytes(known->second)
                                                          : 0;
    const AccountEntry entry{rule.name, rule.perTask, use};
    // A block is filled only to half of the value limit, because the numbers in it grow.
    if (filled + accountBytes({entry}) > context_->platform.valueBytes / 2) {
      ++last;
    } else if (known != flow_->accounts.end()) {
      accounts_.try_emplace(last, known->second);
    }
    accounts_[last].push_back(entry);
  }

  /// Ends the flow: writes the given head and removes the flow from the member's list of open
  /// flows. Other flows of the member may then write the same output files.
  void endFlow(const FlowHead& head) {
    head_ = head;
    std::vector<FlowId> open = context_->replica.flows().openFlowsOf(head.team, head.member);
    std::erase(open, id_);
    Json ids = Json::array();
    for (const auto& f : open) ids.push_back(f.value);
    std::string key = keys::openFlows(head.team, head.member);
    Revision modRevision = context_->replica.modRevisionOf(key);
    if (open.empty()) {
      remove(key, modRevision);
    } else {
      set(key, Json::object({{"open", ids}}), modRevision);
    }
  }

  bool empty() const { return writes_.empty() && pages_.empty() && accounts_.empty() && !head_; }
  std::size_t changes() const {
    return writes_.size() + pages_.size() + accounts_.size() + (head_ ? 1 : 0);
  }
  std::vector<JobId> removedJobs() const { return removedJobs_; }

  Transaction finish() {
    TransactionPart part = wholePart();
    Transaction t = context_->begin();
    t.compares.insert(t.compares.end(), part.compares.begin(), part.compares.end());
    t.writes = std::move(part.writes);
    t.parts = parts_;
    return t;
  }

 private:
  static Json accountJson(const std::vector<AccountEntry>& entries) {
    Json list = Json::array();
    for (const auto& entry : entries) list.push_back(toJson(entry));
    return list;
  }
  static std::size_t accountBytes(const std::vector<AccountEntry>& entries) {
    return jsonBytes(accountJson(entries));
  }

  void append(Write write, Revision modRevision) {
    compares_.push_back({write.key, modRevision});
    appendedSize_ += sizeOf(compares_.back());
    appendedSize_ += sizeOf(write);
    writes_.push_back(std::move(write));
  }

  /// Returns the limits, of which that for values allows for records of an older version.
  TransactionLimits limits() const {
    return {context_->store.limits().limits().operations, context_->legacyValueBytes()};
  }

  /// Returns the writes and compares of the pages, the accounts and the head.
  TransactionPart collectedPart() const {
    TransactionPart part;
    auto put = [&](const std::string& key, Json value, Revision modRevision) {
      part.compares.push_back({key, modRevision});
      part.writes.push_back({key, std::move(value), std::nullopt});
    };
    for (const auto& [number, letters] : pages_) {
      const std::string key = keys::page(id_, graph_, number);
      put(key, packPage(letters, context_->mayWriteFormat2()),
          context_->replica.modRevisionOf(key));
    }
    for (const auto& [block, entries] : accounts_) {
      const std::string key = keys::account(id_, block);
      put(key, accountJson(entries), context_->replica.modRevisionOf(key));
    }
    if (head_) {
      put(keys::flow(id_), toJson(*head_), flow_->modRevision);
    } else {
      part.compares.push_back({keys::flow(id_), flow_->modRevision});
    }
    return part;
  }

  TransactionPart wholePart() const {
    TransactionPart part{compares_, writes_};
    TransactionPart collected = collectedPart();
    part.compares.insert(part.compares.end(), collected.compares.begin(), collected.compares.end());
    part.writes.insert(part.writes.end(), collected.writes.begin(), collected.writes.end());
    return part;
  }

  TransactionSize size() const {
    TransactionSize added = appendedSize_;
    added += sizeOf(collectedPart());
    return sizeWith(sizeOf(context_->begin()), added);
  }

  const LeaderContext* context_;
  FlowId id_;
  const FlowState* flow_;
  const FlowVersion* version_;
  Digest graph_;
  std::vector<Compare> compares_;
  std::vector<Write> writes_;
  std::map<std::uint32_t, std::string> pages_;
  std::map<std::uint32_t, std::vector<AccountEntry>> accounts_;
  std::optional<FlowHead> head_;
  std::vector<JobId> removedJobs_;
  TransactionSize appendedSize_;  ///< Is the size of `compares_` and `writes_`.
  std::size_t parts_ = 0;
};

}  // namespace kestrelhoist
