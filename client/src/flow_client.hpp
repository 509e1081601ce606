/// \file
/// Flows on a user's behalf. Callbacks come on the event loop. Every request may be repeated: ids
/// and versions are chosen by the client, so nothing is begun twice.
#pragma once

#include <functional>
#include <memory>

#include "client/src/caller.hpp"
#include "rules/plan.hpp"

namespace kestrelhoist {

/// Whose flow it is and how it is to be run.
struct FlowOrder {
  FlowId id;
  std::string team, member, name;
  std::string rank = "best_effort";
  std::string lane = "flow";
  bool keepGoing = false;
};

class FlowClient {
 public:
  using Result = client::Result<client::Answer>;
  using Done = client::Caller::Done;
  explicit FlowClient(client::Caller& caller) : caller_(caller) {}

  /// `within`: for how long it is tried.
  void call(Request request, Duration within, Done done);
  /// Hands over a version: base 0 begins the flow, otherwise it is changed from version `base`.
  /// `within`: for how long each of its steps is tried.
  void submit(const FlowOrder& order, const rules::Bundle& bundle, std::uint64_t base,
              Duration within, Done done);
  void status(const FlowId& id, Duration within, Done done) {
    get("/v2/flows/" + id.value, within, std::move(done));
  }
  void get(const std::string& path, Duration within, Done done) {
    call({"GET", path, ""}, within, std::move(done));
  }
  void cancel(const FlowId& id, Duration within, Done done) {
    call({"POST", "/v2/flows/" + id.value + "/cancel", ""}, within, std::move(done));
  }
  /// 53 bits, so that two are never the same.
  FlowId drawId();

 private:
  struct Upload;
  void nextPart(std::shared_ptr<Upload> upload);
  void commitVersion(std::shared_ptr<Upload> upload);

  client::Caller& caller_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace kestrelhoist
