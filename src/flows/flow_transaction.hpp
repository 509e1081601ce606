/// \file
/// Builds one transaction of a flow from changes to jobs, pages of instance states, accounts and
/// the head. The builder can be copied, so that a caller can undo a change that exceeds the limits.
#pragma once

#include "flows/flow_loop.hpp"

namespace kestrelhoist {

/// Collects the writes and compares of one transaction of a flow.
class FlowLoop::TransactionBuilder {
 public:
  TransactionBuilder(const LeaderContext& context, const FlowId& id, const FlowState& flow,
                     const FlowVersion& version, const Digest& graph)
      : context_(&context), id_(id), flow_(&flow), version_(&version), graph_(graph) {}

  void set(const std::string& key, Json value, Revision modRevision) {
    bytes_ += value.dump().size() + key.size() + 64;
    writes_.push_back({key, std::move(value), std::nullopt});
    compares_.push_back({key, modRevision});
  }

  void remove(const std::string& key, Revision modRevision) {
    bytes_ += key.size() + 64;
    writes_.push_back({key, std::nullopt, std::nullopt});
    compares_.push_back({key, modRevision});
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
    auto add = [&](std::vector<AccountEntry>& entries) {
      if (estimatedAccountBytes(entries) > context_->legacyValueBytes()) return false;
      auto it = std::find_if(entries.begin(), entries.end(), same);
      if (it == entries.end()) return false;
      it->use += use;
      return true;
    };
    for (auto& [block, entries] : accounts_) {
      if (add(entries)) return;
    }
    for (const auto& [block, entries] : flow_->accounts) {
      if (accounts_.contains(block) || std::none_of(entries.begin(), entries.end(), same)) continue;
      // A block that was filled under a larger value limit cannot be rewritten. The use then goes
      // to a second entry for the rule; readers sum all entries of a rule.
      if (estimatedAccountBytes(entries) > context_->legacyValueBytes()) continue;
      add(accounts_.emplace(block, entries).first->second);
      return;
    }
    std::uint32_t last = 0;
    if (!flow_->accounts.empty()) last = flow_->accounts.rbegin()->first;
    if (!accounts_.empty()) last = std::max(last, accounts_.rbegin()->first);
    auto known = flow_->accounts.find(last);
    std::size_t filled = accounts_.contains(last) ? estimatedAccountBytes(accounts_.at(last))
                         : known != flow_->accounts.end() ? estimatedAccountBytes(known->second)
                                                          : 0;
    // A block is filled only to half of the value limit, because the numbers in it grow.
    if (filled + rule.name.size() + 128 > context_->platform.valueBytes / 2) {
      ++last;
    } else if (known != flow_->accounts.end()) {
      accounts_.try_emplace(last, known->second);
    }
    accounts_[last].push_back({rule.name, rule.perTask, use});
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

  /// Returns true if the transaction is within the limits of the state service.
  bool fits() const {
    std::size_t bytes = bytes_ + 1024;
    for (const auto& [number, letters] : pages_) {
      std::size_t size = packPage(letters, context_->mayWriteFormat2()).size();
      if (size + 64 > context_->legacyValueBytes()) return false;
      bytes += size + 128;
    }
    for (const auto& [block, entries] : accounts_) bytes += estimatedAccountBytes(entries) + 128;
    return changes() <= context_->platform.transactionOps && bytes <= kMaxTransactionBytes;
  }

  Transaction finish() {
    for (const auto& [number, letters] : pages_) {
      std::string key = keys::page(id_, graph_, number);
      set(key, packPage(letters, context_->mayWriteFormat2()),
          context_->replica.modRevisionOf(key));
    }
    for (const auto& [block, entries] : accounts_) {
      Json list = Json::array();
      for (const auto& e : entries) list.push_back(toJson(e));
      std::string key = keys::account(id_, block);
      set(key, std::move(list), context_->replica.modRevisionOf(key));
    }
    std::string head = keys::flow(id_);
    if (head_) {
      set(head, toJson(*head_), flow_->modRevision);
    } else {
      compares_.push_back({head, flow_->modRevision});
    }
    Transaction t = context_->begin();
    t.compares.insert(t.compares.end(), compares_.begin(), compares_.end());
    t.writes = std::move(writes_);
    return t;
  }

 private:
  static std::size_t estimatedAccountBytes(const std::vector<AccountEntry>& entries) {
    std::size_t n = 2;
    for (const auto& e : entries) n += e.rule.size() + 96;
    return n;
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
  std::size_t bytes_ = 0;
};

}  // namespace kestrelhoist
