// Implements the subcommands `policy` and `pool` of hoist-admin.
#include <ctime>
#include <iostream>

#include "cli/commands.hpp"
#include "config/settings_file.hpp"
#include "policy/document.hpp"

namespace kestrelhoist::hoist {
namespace {

std::uint64_t countOrZero(const Json& v, const char* name) {
  return countField(v, name).value_or(0);
}

std::string formatUtc(std::int64_t ms) {
  std::time_t s = ms / 1000;
  std::tm utc{};
  gmtime_r(&s, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
  return text;
}

}  // namespace

int Session::policySet(const std::string& file, std::optional<std::uint64_t> base, bool check) {
  Json document;
  if (!file.empty()) {
    document = parseDocument(readSettingsFile(file));
    // An invalid document throws here, with a JSON pointer to the fault, and is not sent.
    parsePolicy(document);
  }
  Json body = {{"document", document}, {"check", check}, {"request", client_->drawId().value}};
  if (base) body["if"] = *base;
  auto r = wait([&](FlowClient::Done done) {
    client_->call({"POST", "/mesh/policy", encodeBody(body)}, fromSeconds(options_.timeoutS),
                  std::move(done));
  });
  if (!r && r.error().kind == client::ErrorKind::malformed) {
    std::cerr << r.error().why << "\n";
    return kUsage;
  }
  if (int code = exitCodeOf(r)) return code;
  const Json& v = r->body;
  std::string text = "version " + std::to_string(countOrZero(v, "version")) + " is in force\n";
  if (const Json* effect = field(v, "effect")) {
    text +=
        std::to_string(countOrZero(*effect, "services_kept")) + " services would be protected\n";
    if (auto open = textField(*effect, "open")) text += *open + " would be open now\n";
    if (const Json* periods = field(*effect, "periods")) {
      for (const auto& [name, p] : periods->items()) {
        text += name + ": " + std::to_string(countOrZero(p, "first")) +
                " jobs would get precedence, " + std::to_string(countOrZero(p, "yield")) +
                " jobs would yield\n";
      }
    }
  }
  print(v, text);
  return kOk;
}

int Session::policyShow(bool history) {
  auto r = get("/mesh/policy");
  if (int code = exitCodeOf(r)) return code;
  const Json& v = r->body;
  auto line = [](const Json& p) {
    return "version " + std::to_string(countOrZero(p, "version")) + ", " +
           formatUtc(static_cast<std::int64_t>(countOrZero(p, "at"))) + " UTC" +
           (field(p, "document") ? "" : ", none") + "\n";
  };
  std::string text;
  if (history) {
    for (const auto& p : v.value("past", Json::array())) text += line(p);
    text += line(v);
  } else {
    const Json standing = v.value("standing", Json::object());
    text = line(v);
    if (const Json* document = field(v, "document")) text += document->dump(2) + "\n";
    auto open = textField(standing, "open").value_or("");
    text += open.empty()
                ? "no period is open\n"
                : open + " is open until " +
                      formatUtc(static_cast<std::int64_t>(countOrZero(standing, "closes"))) +
                      " UTC\n";
    if (const Json* storm = field(standing, "storm")) {
      text += "mass failure since " +
              formatUtc(static_cast<std::int64_t>(countOrZero(*storm, "since"))) +
              " UTC: " + std::to_string(countOrZero(*storm, "lost")) + " machines lost, " +
              std::to_string(countOrZero(*storm, "missing")) + " protected replicas not running\n";
    }
    if (auto n = countOrZero(standing, "uncovered")) {
      text += std::to_string(n) +
              " protected replicas could not be placed after the worst failure that the policy "
              "covers\n";
    }
  }
  print(v, text);
  return kOk;
}

int Session::showPools() {
  auto r = get("/mesh/policy");
  if (int code = exitCodeOf(r)) return code;
  const Json pools = r->body.value("standing", Json::object()).value("pools", Json::object());
  std::string text;
  for (const auto& [image, held] : pools.items()) {
    text += image + ": " + std::to_string(countOrZero(held, "wanted")) + " machines wanted, " +
            std::to_string(held.value("on", Json::array()).size()) + " machines have the image\n";
  }
  print(pools, text);
  return kOk;
}

int Session::showCharges(const std::string& team) {
  auto r = get("/mesh/paid");
  if (int code = exitCodeOf(r)) return code;
  char line[160];
  std::string text;
  Json out = Json::array();
  for (auto [list, unit] : {std::pair{"days", 86400000LL}, std::pair{"hours", 3600000LL}}) {
    for (const auto& record : r->body.value(list, Json::array())) {
      Json row = {{"from", countOrZero(record, "number") * static_cast<std::uint64_t>(unit)}};
      for (const char* kind : {"used", "warm"}) {
        const Json teams = record.value(kind, Json::object());
        row[kind] = teams.contains(team) ? teams[team] : Json::array({0, 0});
      }
      std::snprintf(line, sizeof line, "%s %s: used %.1f s %.6f, warm %.1f s %.6f\n", list,
                    formatUtc(row["from"].get<std::int64_t>()).c_str(),
                    row["used"][0].get<double>() / 1000, row["used"][1].get<double>() / 1e6,
                    row["warm"][0].get<double>() / 1000, row["warm"][1].get<double>() / 1e6);
      text += line;
      out.push_back(std::move(row));
    }
  }
  print(out, text);
  return kOk;
}

}  // namespace kestrelhoist::hoist
