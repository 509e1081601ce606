#include "config/platform.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "base/http.hpp"
#include "config/settings_file.hpp"

namespace kestrelhoist {
namespace {

class Reader {
 public:
  Reader(const toml::table& root, std::string file) : root_(root), file_(std::move(file)) {}

  [[noreturn]] void fail(const std::string& path, const std::string& what) const {
    throw std::runtime_error(file_ + ": " + path + ": " + what);
  }

  std::string text(const toml::table& t, const std::string& at, const char* key) const {
    auto v = t[key].value<std::string>();
    if (!v || v->empty()) fail(at + key, t.contains(key) ? "must be a text" : "is missing");
    return *v;
  }
  std::string address(const toml::table& t, const std::string& at, const char* key) const {
    auto v = text(t, at, key);
    if (!splitAddress(v)) fail(at + key, "must be an IPv4 address with a port, not '" + v + "'");
    return v;
  }
  double number(const toml::table& t, const std::string& at, const char* key,
                double minimum) const {
    auto node = t[key];
    if (!node) fail(at + key, "is missing");
    if (!node.is_number()) fail(at + key, "must be a number");
    double v = *node.value<double>();
    if (!(v >= minimum) || v > 1e12) fail(at + key, "is out of range");
    return v;
  }
  const toml::table& table(const toml::table& t, const std::string& at, const char* key) const {
    const auto* v = t[key].as_table();
    if (!v) fail(at + key, t.contains(key) ? "must be a table" : "is missing");
    return *v;
  }
  // Returns the tables of a list with their paths. The result is empty if the list is missing.
  std::vector<std::pair<std::string, const toml::table*>> tables(const toml::table& t,
                                                                 const std::string& at,
                                                                 const char* key) const {
    std::vector<std::pair<std::string, const toml::table*>> out;
    if (!t.contains(key)) return out;
    const auto* list = t[key].as_array();
    if (!list) fail(at + key, "must be a list of tables");
    for (std::size_t i = 0; i < list->size(); ++i) {
      std::string path = at + key + "[" + std::to_string(i) + "].";
      const auto* entry = (*list)[i].as_table();
      if (!entry) fail(path, "must be a table");
      out.emplace_back(path, entry);
    }
    return out;
  }

 private:
  const toml::table& root_;
  std::string file_;
};

// A key with dots and a table's header nest one table for each of their parts.
constexpr std::size_t kMaxKeyParts = 32;

// Throws if a key has too many parts. toml++ limits the nesting of values but not that of keys, and
// it takes stack for each level of the result.
void checkKeyParts(const std::string& content, const std::string& file) {
  std::size_t parts = 1;
  std::size_t line = 1;
  for (char c : content) {
    if (c == '\n') ++line;
    if (c == '.') ++parts;
    if (std::string_view("=,[]{}\n").find(c) != std::string_view::npos) parts = 1;
    if (parts > kMaxKeyParts) {
      throw std::runtime_error(file + ": line " + std::to_string(line) + ": has too many dots");
    }
  }
}

// Lowers the limits to those that the state service will switch to at an unannounced time.
void readNextLimits(const Reader& r, const toml::table& next, Platform& p) {
  const std::string at = "settings.state.next.";
  if (next.contains("write_rps")) {
    p.stateWritesPerS = std::min(p.stateWritesPerS, r.number(next, at, "write_rps", 1));
  }
  if (next.contains("value_kb")) {
    auto bytes = static_cast<std::size_t>(r.number(next, at, "value_kb", 1) * 1024);
    p.valueBytes = std::min(p.valueBytes, bytes);
  }
  if (next.contains("txn_ops")) {
    auto ops = static_cast<std::size_t>(r.number(next, at, "txn_ops", 3));
    p.transactionOps = std::min(p.transactionOps, ops);
  }
}

}  // namespace

Platform parsePlatform(const std::string& content, const std::string& file) {
  checkKeyParts(content, file);
  toml::table root;
  try {
    root = toml::parse(content, file);
  } catch (const toml::parse_error& e) {
    throw std::runtime_error(file + ": line " + std::to_string(e.source().begin.line) + ": " +
                             std::string(e.description()));
  }
  Reader r(root, file);
  Platform p;
  p.member = MemberId{r.text(root, "", "member")};
  p.zone = ZoneId{r.text(root, "", "site")};
  p.apiAddress = r.address(root, "", "api_addr");
  p.meshAddress = r.address(root, "", "mesh_addr");
  std::set<MemberId> members{p.member};
  for (auto& [at, t] : r.tables(root, "", "peers")) {
    Peer peer{MemberId{r.text(*t, at, "member")}, ZoneId{r.text(*t, at, "site")},
              r.address(*t, at, "addr")};
    if (!members.insert(peer.member).second) r.fail(at + "member", "is named twice");
    p.peers.push_back(std::move(peer));
  }
  const auto& external = r.table(root, "", "external");
  p.cloudAddress = r.address(external, "external.", "cloud");
  p.stateAddress = r.address(external, "external.", "state");

  const std::string at = "settings.";
  const auto& settings = r.table(root, "", "settings");
  const auto* zones = settings["zones"].as_array();
  if (!zones || zones->empty()) r.fail(at + "zones", "must be a list of zone names");
  for (const auto& z : *zones) {
    auto name = z.value<std::string>();
    if (!name || name->empty()) r.fail(at + "zones", "must be a list of zone names");
    p.zones.emplace_back(*name);
  }
  for (auto& [path, t] : r.tables(settings, at, "teams")) {
    TeamId name{r.text(*t, path, "name")};
    Team team;
    team.guaranteed.cpus = r.number(*t, path, "cpus", 0);
    team.guaranteed.gpus = r.number(*t, path, "gpus", 0);
    team.limit.cpus = r.number(*t, path, "cpus_max", 0);
    team.limit.gpus = r.number(*t, path, "gpus_max", 0);
    if (!p.teams.emplace(name, team).second) r.fail(path + "name", "is named twice");
  }
  for (auto& [path, t] : r.tables(settings, at, "objectives")) {
    p.objectives.push_back(
        {r.text(*t, path, "kind"), r.text(*t, path, "class"),
         // An objective of kind `deadline` has no `within_s`. Its settings have `times`, a factor
         // on the jobs' own deadlines, which this program does not read.
         fromSeconds(t->contains("within_s") ? r.number(*t, path, "within_s", 0) : 0),
         r.number(*t, path, "share", 0)});
  }
  const auto& workers = r.table(settings, at, "workers");
  p.reportEvery = fromSeconds(r.number(workers, at + "workers.", "report_s", 0.01));
  p.workerLease = fromSeconds(r.number(workers, at + "workers.", "lease_s", 0.1));
  p.cancelWithin = fromSeconds(r.number(workers, at + "workers.", "cancel_s", 0.1));
  const auto& state = r.table(settings, at, "state");
  p.stateRequestsPerS = r.number(state, at + "state.", "rps", 1);
  p.stateWritesPerS = r.number(state, at + "state.", "write_rps", 1);
  p.valueBytes = static_cast<std::size_t>(r.number(state, at + "state.", "value_kb", 1) * 1024);
  p.transactionOps = static_cast<std::size_t>(r.number(state, at + "state.", "txn_ops", 3));
  p.valueBytesNow = p.valueBytes;
  if (state.contains("next")) readNextLimits(r, r.table(state, at + "state.", "next"), p);
  const auto& cloud = r.table(settings, at, "cloud");
  p.cloudRequestsPerS = r.number(cloud, at + "cloud.", "rps", 0.01);
  p.listLag = fromSeconds(r.number(cloud, at + "cloud.", "list_lag_s", 0));
  const auto& limits = r.table(settings, at, "limits");
  p.ramMb = r.number(limits, at + "limits.", "ram_mb", 1);
  p.maxConnections =
      static_cast<std::size_t>(r.number(limits, at + "limits.", "max_connections", 16));
  return p;
}

Platform loadPlatform(const std::string& file) {
  return parsePlatform(readSettingsFile(file), file);
}

}  // namespace kestrelhoist
