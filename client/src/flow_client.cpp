#include "client/src/flow_client.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {
constexpr Duration kPause{1000};
constexpr Duration kOneTry{5000};
// The limit of the parts in one request. It keeps a body below the service's limit of 64 KiB, and
// the service can write the parts of one request in about one transaction.
constexpr std::size_t kBodyBytes = 48 * 1024;
}  // namespace

struct FlowClient::Upload {
  FlowOrder order;
  rules::Bundle bundle;
  std::uint64_t base{};
  // The timeout of each request. The upload as a whole has no timeout, because a large flow needs
  // many requests.
  Duration within{};
  Done done;
  // The numbers of graph parts and text parts that the service has written.
  std::size_t graph = 0, text = 0;
};

FlowId FlowClient::drawId() {
  return FlowId{"w-" + std::to_string(caller_.draw() & ((std::uint64_t{1} << 53) - 1))};
}

void FlowClient::call(Request request, Duration within, Done done) {
  bool changes = request.method != "GET";
  std::string tried = request.method + " " + request.path.substr(0, request.path.find('?'));
  caller_.call({std::move(request), tried, within, changes, kOneTry}, std::move(done));
}

void FlowClient::submit(const FlowOrder& order, const rules::Bundle& bundle, std::uint64_t base,
                        Duration within, Done done) {
  auto upload = std::make_shared<Upload>();
  upload->order = order;
  upload->bundle = bundle;
  upload->base = base;
  upload->within = within;
  upload->done = std::move(done);
  Json body = {{"version", bundle.version.value},
               {"instances", bundle.instances},
               {"parts", bundle.graph.size()},
               {"texts", bundle.texts.size()},
               {"per_text", bundle.perText}};
  call({"POST", "/v2/flows/" + order.id.value + "/uploads", encodeBody(body)}, within,
       [this, upload](Result r) {
         if (!r) return upload->done(std::move(r));
         nextPart(upload);
       });
}

void FlowClient::nextPart(std::shared_ptr<Upload> u) {
  Json graph = Json::array(), texts = Json::array();
  std::size_t bytes = 256, g = u->graph, t = u->text;
  while (g < u->bundle.graph.size()) {
    std::size_t size = u->bundle.graph[g].dump().size() + 32;
    if (bytes + size > kBodyBytes && bytes > 256) break;
    bytes += size;
    graph.push_back({{"n", g}, {"data", u->bundle.graph[g]}});
    ++g;
  }
  while (g == u->bundle.graph.size() && t < u->bundle.texts.size()) {
    std::size_t size = u->bundle.texts[t].size() + 32;
    if (bytes + size > kBodyBytes && bytes > 256) break;
    bytes += size;
    texts.push_back({{"n", t}, {"data", u->bundle.texts[t]}});
    ++t;
  }
  if (graph.empty() && texts.empty()) return commitVersion(u);
  Json body = {{"version", u->bundle.version.value},
               {"graph", std::move(graph)},
               {"texts", std::move(texts)}};
  call({"POST", "/v2/flows/" + u->order.id.value + "/parts", encodeBody(body)}, u->within,
       [this, u, g, t](Result r) {
         if (!r) return u->done(std::move(r));
         // The service writes the parts in the order of the body, and may stop early because of its
         // rate limit.
         std::size_t all = (g - u->graph) + (t - u->text);
         std::size_t written =
             std::min(all, static_cast<std::size_t>(countField(r->body, "written").value_or(all)));
         std::size_t graphs = std::min(written, g - u->graph);
         u->graph += graphs;
         u->text += written - graphs;
         if (written == all) return nextPart(u);
         caller_.runtime().after(kPause, [this, u, alive = std::weak_ptr<int>(alive_)] {
           if (!alive.expired()) nextPart(u);
         });
       });
}

void FlowClient::commitVersion(std::shared_ptr<Upload> u) {
  Json body = {{"version", u->bundle.version.value},
               {"base", u->base},
               {"owner", u->order.team},
               {"member", u->order.member},
               {"name", u->order.name},
               {"rank", u->order.rank},
               {"lane", u->order.lane},
               {"keep_going", u->order.keepGoing}};
  call({"POST", "/v2/flows/" + u->order.id.value + "/commit", encodeBody(body)}, u->within,
       [u](Result r) { u->done(std::move(r)); });
}

}  // namespace kestrelhoist
