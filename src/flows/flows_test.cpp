// Tests properties of flow graphs, progress, pages and batching with random cases from a fixed
// seed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "flows/batching.hpp"
#include "flows/flow_replica.hpp"
#include "flows/progress.hpp"

namespace kestrelhoist {
namespace {

// RapidCheck reads RC_PARAMS once, before its first check.
const int kSeeded = setenv("RC_PARAMS", "seed=20261201 max_success=150", 1);

struct GraphShape {
  std::vector<std::vector<Instance>> deps;
  std::vector<std::uint32_t> rule;
};

GraphShape randomGraphShape() {
  GraphShape g;
  auto n = *rc::gen::inRange(1, 40);
  for (int i = 0; i < n; ++i) {
    std::set<Instance> deps;
    for (int k = *rc::gen::inRange(0, 4); k > 0 && i > 0; --k) {
      deps.insert(static_cast<Instance>(*rc::gen::inRange(0, i)));
    }
    g.deps.emplace_back(deps.begin(), deps.end());
    g.rule.push_back(static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)));
  }
  return g;
}

Json graphPartOf(const GraphShape& g, std::size_t from, std::size_t to, bool rules) {
  Json part = {{"of", Json::array()}, {"deps", Json::array()}};
  if (rules) {
    part["rules"] = Json::array();
    for (const char* name : {"a", "b", "c"})
      part["rules"].push_back({{"name", name}, {"image", "i"}, {"cpus", 1}});
  }
  std::string print, outh;
  for (std::size_t i = from; i < to; ++i) {
    part["of"].push_back(g.rule[i]);
    part["of"].push_back(1);
    part["deps"].push_back(g.deps[i].size());
    for (Instance d : g.deps[i]) part["deps"].push_back(i - d);
    print += hex16(i * 7919 + 1);
    outh += hex16(i);
  }
  part["print"] = print;
  part["outh"] = outh;
  return part;
}

FlowGraph graphOf(const GraphShape& g) {
  FlowGraph graph;
  auto cut = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(g.deps.size()) + 1));
  RC_ASSERT(!graph.add(graphPartOf(g, 0, cut, true)));
  RC_ASSERT(!graph.add(graphPartOf(g, cut, g.deps.size(), false)));
  return graph;
}

TEST(FlowGraphProperty, PartsComeToTheWhole) {
  EXPECT_EQ(kSeeded, 0);
  EXPECT_TRUE(rc::check([] {
    GraphShape g = randomGraphShape();
    FlowGraph graph = graphOf(g);
    RC_ASSERT(graph.size() == g.deps.size());
    for (Instance i = 0; i < graph.size(); ++i) {
      RC_ASSERT(std::vector<Instance>(graph.deps(i).begin(), graph.deps(i).end()) == g.deps[i]);
      RC_ASSERT(graph.ruleOf(i) == g.rule[i]);
      RC_ASSERT(graph.outputs(i).size() == 1U);
    }
  }));
}

// A part with random fields changed must be accepted or rejected as a whole.
TEST(FlowGraphProperty, MalformedPartsChangeNothing) {
  EXPECT_TRUE(rc::check([] {
    GraphShape g = randomGraphShape();
    Json part = graphPartOf(g, 0, g.deps.size(), true);
    for (int k = *rc::gen::inRange(1, 4); k > 0; --k) {
      const char* fields[] = {"of", "deps", "print", "outh", "rules", "outs"};
      std::string name = fields[*rc::gen::inRange(0, 6)];
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          part.erase(name);
          break;
        case 1:
          part[name] = *rc::gen::inRange(-5, 5);
          break;
        case 2:
          if (part.contains(name) && part[name].is_array() && !part[name].empty()) {
            part[name][static_cast<std::size_t>(
                *rc::gen::inRange(0, static_cast<int>(part[name].size())))] =
                *rc::gen::element<Json>(-1, 1e300, "x", nullptr, 4294967295U, Json::object());
          }
          break;
        case 3:
          if (part.contains(name) && part[name].is_string())
            part[name] = part[name].get<std::string>() + "zz";
          break;
        default:
          part[name] = Json::array({*rc::gen::inRange(0, 1000), 0, 1, 1});
      }
    }
    FlowGraph graph;
    bool refused = graph.add(part).has_value();
    RC_ASSERT(!refused || graph.size() == 0U);
    for (Instance i = 0; i < graph.size(); ++i) {
      for (Instance d : graph.deps(i)) RC_ASSERT(d < i);
      RC_ASSERT(graph.ruleOf(i) < graph.rules().size());
    }
  }));
}

// The incrementally maintained set of ready instances must equal the set computed from the whole
// graph, in whatever order instances finish or fail.
TEST(ProgressProperty, ReadyIsWhatTheGraphSays) {
  EXPECT_TRUE(rc::check([] {
    GraphShape g = randomGraphShape();
    FlowGraph graph = graphOf(g);
    bool keep = *rc::gen::arbitrary<bool>();
    Progress p(graph, keep);
    using State = Progress::State;
    for (Instance i = 0; i < graph.size(); ++i) {
      bool done = *rc::gen::inRange(0, 4) == 0;
      for (Instance d : graph.deps(i)) done = done && p.state(d) == State::done;
      if (done) p.restore(i, State::done);
    }
    p.recompute();
    auto ready = [&] {
      std::set<Instance> out;
      for (std::uint32_t r = 0; r < graph.rules().size(); ++r) {
        for (Instance i : p.readyInstances(r, 1000)) out.insert(i);
      }
      return out;
    };
    auto expectedReady = [&] {
      std::set<Instance> out;
      for (Instance i = 0; i < graph.size(); ++i) {
        bool all = p.state(i) == State::waiting;
        for (Instance d : graph.deps(i)) all = all && p.state(d) == State::done;
        if (all) out.insert(i);
      }
      return out;
    };
    std::vector<Instance> assigned;
    for (int step = 0; step < 200 && !p.hasEnded(); ++step) {
      auto now = ready();
      RC_ASSERT(now == expectedReady());
      RC_ASSERT(now.size() == p.readyCount());
      if (!now.empty() && (assigned.empty() || *rc::gen::arbitrary<bool>())) {
        Instance i = *std::next(now.begin(), *rc::gen::inRange(0, static_cast<int>(now.size())));
        p.assign(i);
        assigned.push_back(i);
      } else if (!assigned.empty()) {
        auto k = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(assigned.size())));
        Instance i = assigned[k];
        assigned.erase(assigned.begin() + static_cast<std::ptrdiff_t>(k));
        if (*rc::gen::inRange(0, 6) == 0) {
          p.fail(i);
        } else {
          p.finish(i);
        }
      } else {
        RC_ASSERT(p.isStuck());
        break;
      }
    }
    if (keep) RC_ASSERT(p.hasEnded());
    std::uint32_t sum = 0;
    for (auto s : {State::waiting, State::assigned, State::done, State::failed, State::skipped})
      sum += p.count(s);
    RC_ASSERT(sum == graph.size());
  }));
}

TEST(ProgressProperty, WorkFollowsDependents) {
  // The graph consists of pairs. Finishing the first instance of a pair must visit only its one
  // dependent, whatever the size of the graph.
  GraphShape g;
  for (Instance i = 0; i < 20000; ++i) {
    g.deps.push_back(i < 10000 ? std::vector<Instance>{} : std::vector<Instance>{i - 10000});
    g.rule.push_back(0);
  }
  FlowGraph graph;
  ASSERT_FALSE(graph.add(graphPartOf(g, 0, g.deps.size(), true)));
  Progress p(graph, false);
  p.recompute();
  for (Instance i = 0; i < 100; ++i) p.assign(i);
  auto before = p.visits();
  for (Instance i = 0; i < 100; ++i) p.finish(i);
  EXPECT_EQ(p.visits() - before, 100u);
}

// A controller must need at most 150 bytes per instance, including the leader's progress state.
TEST(FlowGraph, AnInstanceCostsFewBytes) {
  FlowGraph graph;
  GraphShape g;
  constexpr std::size_t n = 100000;
  for (Instance i = 0; i < n; ++i) {
    g.deps.push_back(i < n / 4 ? std::vector<Instance>{}
                               : std::vector<Instance>{i - static_cast<Instance>(n / 4)});
    g.rule.push_back(i % 3);
  }
  for (std::size_t from = 0; from < n; from += 180) {
    ASSERT_FALSE(graph.add(graphPartOf(g, from, std::min(n, from + 180), from == 0)));
  }
  Progress p(graph, false);
  p.recompute();
  // The state letter on the page takes 1 more byte.
  double each = static_cast<double>(graph.bytes() + p.bytes()) / n + 1;
  RecordProperty("bytes_an_instance", std::to_string(each));
  EXPECT_LE(each, 150.0);
}

TEST(PageProperty, PackedAndBack) {
  EXPECT_TRUE(rc::check([] {
    std::string states;
    for (int runs = *rc::gen::inRange(0, 30); runs > 0; --runs) {
      states += std::string(static_cast<std::size_t>(*rc::gen::inRange(1, 100)),
                            *rc::gen::element('w', 'a', 'd', 'f'));
    }
    states.resize(std::min<std::size_t>(states.size(), kPageSize));
    std::string packed = packPage(states);
    RC_ASSERT(packed.size() <= std::max<std::size_t>(states.size(), 1));
    RC_ASSERT(unpackPage(packed) == std::optional(states));
  }));
  for (const char* bad : {"x", "w0", "w5000", "w99999999999999999999", "3w", "w4097"})
    EXPECT_FALSE(unpackPage(bad)) << bad;
}

TEST(Batching, ReleasesWhenItIsWorthIt) {
  BatchingInput v{10, 100, Duration{1000}, 0, 0, 0, 0};
  EXPECT_TRUE(shouldCreateJobs(v));  // the flow has no other tasks
  v.queued = v.running = 50;
  EXPECT_TRUE(shouldCreateJobs(v));  // the changes are within the free allowance
  v.changes = 1000;
  EXPECT_FALSE(shouldCreateJobs(v));  // the changes exceed the allowance
  v.ended = 50000;
  EXPECT_TRUE(shouldCreateJobs(v));  // done instances have raised the allowance
  v.ended = 0;
  v.ready = 100;
  EXPECT_TRUE(shouldCreateJobs(v));  // the ready instances fill an array
  v.ready = 10;
  v.oldestReadyAge = Duration{30000};
  EXPECT_TRUE(shouldCreateJobs(v));  // the oldest ready instance has reached the maximum delay
  v.ready = 0;
  EXPECT_FALSE(shouldCreateJobs(v));
}

// The change feed may deliver parts in any order. A version is removed with its upload record.
TEST(FlowReplica, PartsInAnyOrder) {
  GraphShape g;
  for (Instance i = 0; i < 6; ++i) {
    g.deps.push_back(i == 0 ? std::vector<Instance>{} : std::vector<Instance>{i - 1});
    g.rule.push_back(0);
  }
  FlowReplica flowReplica;
  FlowId id{"w-1"};
  Digest d{"0123456789abcdef"};
  auto put = [&](const std::string& key, const Json& v) {
    EXPECT_TRUE(flowReplica.apply(key, &v, Revision{1}));
  };
  put(keys::graphPart(id, d, 1), graphPartOf(g, 3, 6, false));
  EXPECT_FALSE(flowReplica.find(id)->version(d)->complete());
  put(keys::upload(id, d), toJson(FlowUpload{6, 2, 1, 6, 0, false}));
  put(keys::graphPart(id, d, 0), graphPartOf(g, 0, 3, true));
  EXPECT_TRUE(flowReplica.find(id)->version(d)->complete());
  EXPECT_EQ(flowReplica.instances(), 6u);
  put(keys::page(id, d, 0), "d2aw3");
  EXPECT_EQ(flowReplica.find(id)->version(d)->stateOf(2), 'a');
  for (const auto& key : {keys::page(id, d, 0), keys::graphPart(id, d, 0),
                          keys::graphPart(id, d, 1), keys::upload(id, d)}) {
    EXPECT_TRUE(flowReplica.apply(key, nullptr, Revision{2}));
  }
  EXPECT_EQ(flowReplica.find(id), nullptr);
  EXPECT_EQ(flowReplica.instances(), 0u);
  EXPECT_TRUE(flowReplica.active().empty());
}

}  // namespace
}  // namespace kestrelhoist
