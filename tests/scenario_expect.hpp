// What a scenario expects of a world, and the made-up flows of its lines.
#pragma once

#include "scenario_pipelines.hpp"

namespace kestrelhoist::sim {

class ScenarioExpect : public ScenarioPipelines {
 protected:
  void expect(const Line& line) {
    World& w = *world_;
    const auto& words = line.words;
    const std::string& what = words.at(1);
    if (what == "phase") {
      EXPECT_EQ(w.phaseOf(words.at(2)), words.at(3));
    } else if (what == "replicas") {
      EXPECT_EQ(w.runningReplicas(words.at(2)), std::stoi(words.at(3)));
    } else if (what ==
               "policyversions") {  // expect policyversions N: so often the policy was changed
      ASSERT_NE(w.policy(), nullptr);
      EXPECT_EQ(w.policy()->version(), std::stoul(words.at(2)));
    } else if (what == "books") {  // expect books: see ScenarioWrites::expectBooks
      expectBooks();
    } else if (what == "fewest") {  // expect fewest ID N: replicas at any moment since `watch`
      EXPECT_GE(w.fewest(words.at(2)), std::stoi(words.at(3)));
    } else if (what == "leaderships") {  // expect leaderships most N: begun since `watch`
      EXPECT_LE(w.leaderships - leadershipsBefore_, std::stoi(words.at(3)));
    } else if (what == "served") {  // expect served least SHARE, of every class and team
      w.expectServed(std::stod(words.at(3)));
    } else if (what == "underserved") {  // expect underserved class|team NAME
      std::string whom = words.at(2) + " " + words.at(3);
      mayStarve_.insert(whom);
      EXPECT_TRUE(w.underserved(kLeastServed, kJudgedMs).contains(whom)) << whom << " is served";
    } else if (what ==
               "answered") {  // expect answered: 75 s after the last trouble, at the earliest
      w.expectAnswered(kForgotten);
    } else if (what == "period") {  // expect period NAME|none opened N closed N
      ASSERT_NE(w.policy(), nullptr);
      const auto& s = w.policy()->state();
      EXPECT_EQ(s.open.empty() ? "none" : s.open, words.at(2));
      EXPECT_EQ(s.opened, std::stoul(words.at(4)));
      EXPECT_EQ(s.closed, std::stoul(words.at(6)));
    } else if (what == "periods") {  // expect periods sound: as often closed as opened, or one open
      ASSERT_NE(w.policy(), nullptr);
      const auto& s = w.policy()->state();
      EXPECT_EQ(s.opened, s.closed + (s.open.empty() ? 0 : 1));
    } else if (what == "storm") {  // expect storm yes|no
      ASSERT_NE(w.policy(), nullptr);
      EXPECT_EQ(w.policy()->massFailure(), words.at(2) == "yes");
    } else if (what == "held") {  // expect held IMAGE least|most N: machines chosen to hold it
      ASSERT_NE(w.policy(), nullptr);
      auto held = w.policy()->state().pools.find(ImageId{words.at(2)});
      std::size_t n = held == w.policy()->state().pools.end() ? 0 : held->second.machines.size();
      EXPECT_TRUE(words.at(3) == "least" ? n >= std::stoul(words.at(4))
                                         : n <= std::stoul(words.at(4)))
          << n;
    } else if (what == "paid") {  // expect paid TEAM warm|used least S: machine seconds, all hours
      ASSERT_NE(w.policy(), nullptr);
      double sum = 0;
      for (const auto& [hour, r] : w.policy()->hours()) {
        const auto& of = words.at(3) == "warm" ? r.account.warm : r.account.used;
        if (auto it = of.find(TeamId{words.at(2)}); it != of.end()) {
          sum += static_cast<double>(it->second.ms) / 1000;
        }
      }
      EXPECT_GE(sum, std::stod(words.at(5)));
    } else if (what ==
               "goneby") {  // expect goneby most S: tasks of cancelled jobs, after the answer
      std::cout << "gone by " << w.goneBy() << " s of " << settings_.cancelS << " s\n";
      EXPECT_LE(w.goneBy(), std::stod(words.at(3)));
    } else if (what ==
               "nowaiting") {  // expect nowaiting: 90 s after the last trouble, at the earliest
      w.expectNoWaiting();
    } else if (what == "waiting") {  // expect waiting ID: what the check above is for
      EXPECT_TRUE(w.waitingBesideRoom().contains(words.at(2))) << "does not wait beside room";
    } else if (what == "unanswered") {  // expect unanswered ID: what the check above is for
      EXPECT_TRUE(w.unanswered(kForgotten).contains(words.at(2))) << "was answered";
    } else if (what == "unbegun") {  // expect unbegun ID S: it had no task started so long after
      EXPECT_GT(w.began(words.at(2)), std::stod(words.at(3)));
    } else if (what == "began") {  // expect began ID most S
      EXPECT_LE(w.began(words.at(2)), std::stod(words.at(4)));
    } else if (what == "startsof") {  // expect startsof ID most|least N
      if (words.at(3) == "most") {
        EXPECT_LE(w.startsOf[words.at(2)], std::stoul(words.at(4)));
      } else {
        EXPECT_GE(w.startsOf[words.at(2)], std::stoul(words.at(4)));
      }
    } else if (what == "gone") {  // expect gone MACHINE: it was given back
      EXPECT_FALSE(w.region.isRented(words.at(2)));
    } else if (what == "waits") {  // expect waits ID WORD: the first reason begins so
      EXPECT_EQ(w.whyWaits(words.at(2)).substr(0, words.at(3).size()), words.at(3));
    } else if (what == "versions") {  // expect versions all|none N: know that all tell format N
      auto format = static_cast<unsigned>(std::stoul(words.at(3)));
      EXPECT_TRUE(words.at(2) == "all" ? w.allKnowFormat(format) : w.noneKnowsFormat(format));
    } else if (what == "toolarge") {  // expect toolarge most N: transactions that got 400 for size
      EXPECT_LE(w.state.tooLarge, std::stoul(words.at(3)));
      std::cout << "429: " << w.state.tooMany << ", 400: " << w.state.tooLarge << "\n";
    } else if (what == "changesof") {  // expect changesof KIND most N: committed, of such keys
      EXPECT_LE(w.changesByKind[words.at(2)], std::stoul(words.at(4)));
    } else if (what == "leader") {
      EXPECT_GE(w.leaderNode(), 0);
      EXPECT_TRUE(words.size() < 3 || w.leaderNode() != marked_);  // expect leader unmarked
    } else if (what == "machines") {  // expect machines spot|ordinary most|least N
      auto n = w.region.machineCount(words.at(2) == "spot");
      auto bound = std::stoul(words.at(4));
      if (words.at(3) == "most") {
        EXPECT_LE(n, bound);
      } else {
        EXPECT_GE(n, bound);
      }
    } else if (what == "starts") {  // expect starts most N
      EXPECT_LE(w.starts, std::stoul(words.at(3)));
    } else if (what == "writes") {  // changes to the state service so far
      EXPECT_LE(w.state.changes_made, std::stoul(words.at(3)));
    } else if (what == "reads") {  // of the state service so far
      EXPECT_LE(w.state.reads_made, std::stoul(words.at(3)));
    } else if (what == "hires") {  // rental calls so far
      EXPECT_LE(w.region.hireCalls, std::stoul(words.at(3)));
    } else if (what == "flow") {  // expect flow ID PHASE
      EXPECT_EQ(w.flowPhase(words.at(2)), words.at(3)) << w.flowStatus(words.at(2)).dump();
    } else if (what == "refused") {  // expect refused ID STATUS
      EXPECT_EQ(w.flowRefusedWith(words.at(2)), std::stoi(words.at(3)));
    } else if (what == "resumed") {  // expect resumed most SECONDS: after the newest leader began
      std::cout << "resumed after " << w.resumedAfter() << " s\n";
      EXPECT_LE(w.resumedAfter(), std::stod(words.at(3)));
    } else if (what == "cost") {  // expect cost READS BYTES, an instance, of all that happened
      auto n = static_cast<double>(std::max<std::size_t>(1, w.flowInstances()));
      EXPECT_LE(static_cast<double>(w.state.reads_made) / n, std::stod(words.at(2)));
      EXPECT_LE(static_cast<double>(w.state.bytes_written) / n, std::stod(words.at(3)));
    } else if (what == "took") {  // expect took ID most SECONDS: from its submission to its end
      double took = w.flowTook(words.at(2));
      std::cout << words.at(2) << " took " << took << " s, machines " << w.region.machineSeconds()
                << " s\n";
      EXPECT_LE(took, std::stod(words.at(4)));
    } else if (what == "count") {  // expect count ID FIELD N: as last told
      EXPECT_EQ(w.flowStatus(words.at(2)).value(words.at(3), -1), std::stoi(words.at(4)))
          << w.flowStatus(words.at(2)).dump();
    } else if (what == "report") {  // expect report ID FIELD N
      EXPECT_EQ(w.flowReport(words.at(2)).value(words.at(3), -1.0), std::stod(words.at(4)))
          << w.flowReport(words.at(2)).dump();
    } else if (what == "account") {  // expect account TEAM FIELD N: of all its flows
      EXPECT_EQ(w.teamAccount(words.at(2)).value(words.at(3), -1.0), std::stod(words.at(4)));
    } else if (what == "keys") {  // expect keys PREFIX most N
      auto keys = w.state.keysBelow(words.at(2));
      EXPECT_LE(keys.size(), std::stoul(words.at(4))) << (keys.empty() ? "" : keys.front());
    } else if (what == "perinstance") {  // changes to the state service for each instance so far
      std::size_t ofFlows = 0;
      for (const auto& [kind, n] : w.changesByKind) {
        bool counts = kind.find("flow") != std::string::npos || kind.starts_with("kx");
        if (counts) ofFlows += n;
        std::cout << "  " << kind << ": " << n << "\n";
      }
      double per = static_cast<double>(ofFlows) /
                   static_cast<double>(std::max<std::size_t>(1, w.flowInstances()));
      std::cout << "changes of flows an instance: " << per << " (" << w.state.changes_made
                << " changes in all, " << w.state.reads_made << " reads, " << w.state.bytes_written
                << " bytes written)\n";
      EXPECT_LE(per, std::stod(words.at(3)));
    } else if (what == "hired") {
      EXPECT_LE(w.region.hired, std::stoul(words.at(3)));
    } else if (!expectOfPipelines(line)) {
      FAIL() << "unknown expectation " << what;
    }
  }

  void shape(FlowPlanSpec& spec, const std::map<std::string, std::string>& options) {
    for (const auto& [key, value] : options) {
      if (key == "member")
        spec.member = value;
      else if (key == "name")
        spec.name = value;
      else if (key == "team")
        spec.team = value;
      else if (key == "prefix")
        spec.prefix = value;
      else if (key == "width")
        spec.width = std::stoi(value);
      else if (key == "length")
        spec.length = std::stoi(value);
      else if (key == "first")
        spec.first = std::stoi(value);
      else if (key == "deps")
        spec.deps = std::stoi(value);
      else if (key == "join")
        spec.join = value == "yes";
      else if (key == "random")
        spec.random = value == "yes";
      else if (key == "run")
        spec.runS = std::stod(value);
      else if (key == "gpus")
        spec.gpus = std::stod(value);
      else if (key == "spot")
        spec.spot = value == "yes";
      else if (key == "keep")
        spec.keep = value == "yes";
      else if (key == "retries")
        spec.retries = std::stoi(value);
      else if (key == "fail")
        spec.failLayer = std::stoi(value);
      else if (key == "times")
        spec.failTimes = std::stoi(value);
      else if (key == "mark")
        spec.marked.insert(std::stoi(value));
      else
        FAIL() << "unknown option " << key;
    }
    spec.seed = settings_.seed;
  }
};

}  // namespace kestrelhoist::sim
