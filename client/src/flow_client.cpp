#include "client/src/flow_client.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {
constexpr Duration kRateLimitPause{1000};
constexpr Duration kAttemptTimeout{5000};
// The limit of the parts in one request. It keeps a body below the service's limit of 64 KiB, and
// the service can write the parts of one request in about one transaction.
constexpr std::size_t kMaxBodyBytes = 48 * 1024;
}  // namespace

struct FlowClient::Upload {
  FlowSubmission submission;
  rules::Bundle bundle;
  std::uint64_t base{};
  // The timeout of each request. The upload as a whole has no timeout, because a large flow needs
  // many requests.
  Duration timeout{};
  Done done;
  // The numbers of graph parts and text parts that the service has written.
  std::size_t writtenGraphParts = 0, writtenTextParts = 0;
};

FlowId FlowClient::drawId() {
  return FlowId{"w-" + std::to_string(caller_.draw() & ((std::uint64_t{1} << 53) - 1))};
}

void FlowClient::call(Request request, Duration timeout, Done done) {
  bool changes = request.method != "GET";
  std::string operation = request.method + " " + request.path.substr(0, request.path.find('?'));
  caller_.call({std::move(request), operation, timeout, changes, kAttemptTimeout}, std::move(done));
}

void FlowClient::submit(const FlowSubmission& submission, const rules::Bundle& bundle,
                        std::uint64_t base, Duration timeout, Done done) {
  auto upload = std::make_shared<Upload>();
  upload->submission = submission;
  upload->bundle = bundle;
  upload->base = base;
  upload->timeout = timeout;
  upload->done = std::move(done);
  Json body = {{"version", bundle.version.value},
               {"instances", bundle.instances},
               {"parts", bundle.graph.size()},
               {"texts", bundle.texts.size()},
               {"per_text", bundle.perText}};
  call({"POST", "/v2/flows/" + submission.id.value + "/uploads", encodeBody(body)}, timeout,
       [this, upload](Result r) {
         if (!r) return upload->done(std::move(r));
         nextPart(upload);
       });
}

void FlowClient::nextPart(std::shared_ptr<Upload> u) {
  Json graph = Json::array(), texts = Json::array();
  std::size_t bytes = 256, g = u->writtenGraphParts, t = u->writtenTextParts;
  while (g < u->bundle.graph.size()) {
    std::size_t size = u->bundle.graph[g].dump().size() + 32;
    if (bytes + size > kMaxBodyBytes && bytes > 256) break;
    bytes += size;
    graph.push_back({{"n", g}, {"data", u->bundle.graph[g]}});
    ++g;
  }
  while (g == u->bundle.graph.size() && t < u->bundle.texts.size()) {
    std::size_t size = u->bundle.texts[t].size() + 32;
    if (bytes + size > kMaxBodyBytes && bytes > 256) break;
    bytes += size;
    texts.push_back({{"n", t}, {"data", u->bundle.texts[t]}});
    ++t;
  }
  if (graph.empty() && texts.empty()) return commitVersion(u);
  Json body = {{"version", u->bundle.version.value},
               {"graph", std::move(graph)},
               {"texts", std::move(texts)}};
  call({"POST", "/v2/flows/" + u->submission.id.value + "/parts", encodeBody(body)}, u->timeout,
       [this, u, g, t](Result r) {
         if (!r) return u->done(std::move(r));
         // The service writes the parts in the order of the body, and may stop early because
         // of its rate limit.
         std::size_t all = (g - u->writtenGraphParts) + (t - u->writtenTextParts);
         std::size_t written =
             std::min(all, static_cast<std::size_t>(countField(r->body, "written").value_or(all)));
         std::size_t graphs = std::min(written, g - u->writtenGraphParts);
         u->writtenGraphParts += graphs;
         u->writtenTextParts += written - graphs;
         if (written == all) return nextPart(u);
         caller_.runtime().after(kRateLimitPause, [this, u, alive = std::weak_ptr<int>(alive_)] {
           if (!alive.expired()) nextPart(u);
         });
       });
}

void FlowClient::commitVersion(std::shared_ptr<Upload> u) {
  Json body = {{"version", u->bundle.version.value}, {"base", u->base},
               {"owner", u->submission.team},        {"member", u->submission.member},
               {"name", u->submission.name},         {"rank", u->submission.rank},
               {"lane", u->submission.lane},         {"keep_going", u->submission.keepGoing}};
  call({"POST", "/v2/flows/" + u->submission.id.value + "/commit", encodeBody(body)}, u->timeout,
       [u](Result r) { u->done(std::move(r)); });
}

}  // namespace kestrelhoist
