#include "cloud/client.hpp"

#include "base/hedged_request.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTimeout{4000};
constexpr Duration kPageHedgeDelay{500};
constexpr int kListPageSize = 500;  // The cloud allows no larger page.

std::optional<ListedMachine> listedMachineFromJson(const Json& v) {
  auto id = textField(v, "ref");
  auto type = textField(v, "rig");
  auto zone = textField(v, "site");
  auto phase = textField(v, "phase");
  if (!id || id->empty() || !type || !zone || !phase) return std::nullopt;
  ListedMachine m;
  m.id = MachineId{*id};
  m.address = textField(v, "addr").value_or("");
  m.type = TypeId{*type};
  m.zone = ZoneId{*zone};
  m.spot = boolField(v, "loaners").value_or(false);
  m.state = *phase == "failed"    ? ListedMachine::State::failed
            : *phase == "booting" ? ListedMachine::State::booting
                                  : ListedMachine::State::running;
  m.age = fromSeconds(std::max(0.0, numberField(v, "age_s").value_or(0)));
  return m;
}
}  // namespace

CloudClient::CloudClient(Runtime& runtime, HttpClient& http, std::string address,
                         double requestsPerS)
    : runtime_(runtime),
      http_(http),
      address_(std::move(address)),
      budget_(requestsPerS, std::max(1.0, requestsPerS)) {}

void CloudClient::readMachineTypes(std::function<void(std::optional<Catalogue>)> done) {
  http_.send(address_, {"GET", "/machine_types", ""}, kTimeout,
             [done = std::move(done)](const std::optional<Response>& r) {
               auto body = r && r->status == 200 ? decodeBody(r->body) : std::nullopt;
               done(body ? catalogueFromJson(*body) : std::nullopt);
             });
}

void CloudClient::requestMachines(const RentalRecord& rental,
                                  std::function<void(RentalResult)> done) {
  Json body = {{"hire", rental.id.value},
               {"rig", rental.type.value},
               {"site", rental.zone.value},
               {"loaners", rental.spot},
               {"count", rental.count}};
  http_.send(
      address_, {"POST", "/hosts", encodeBody(body)}, kTimeout,
      [done = std::move(done)](const std::optional<Response>& r) {
        RentalResult result;
        auto body = r ? decodeBody(r->body) : std::nullopt;
        if (r && r->status == 200 && body) {
          const Json* hosts = field(*body, "hosts");
          if (hosts && hosts->is_array()) {
            result.kind = RentalResult::Kind::rented;
            for (const auto& h : *hosts) {
              if (h.is_string()) result.machines.emplace_back(h.get<std::string>());
            }
          }
        } else if (r && r->status == 503 && body && textField(*body, "error") == "no capacity") {
          result.kind = RentalResult::Kind::noCapacity;
        } else if (r && r->status == 400) {
          result.kind = RentalResult::Kind::rejected;
        }
        done(std::move(result));
      });
}

void CloudClient::terminateMachines(const std::vector<MachineId>& machines,
                                    std::function<void(bool)> done) {
  Json names = Json::array();
  for (const auto& m : machines) names.push_back(m.value);
  http_.send(
      address_, {"POST", "/hosts/release", encodeBody({{"hosts", std::move(names)}})}, kTimeout,
      [done = std::move(done)](const std::optional<Response>& r) { done(r && r->status == 200); });
}

void CloudClient::listMachines(OnMachines done) { listPage("", {}, std::move(done)); }

// Sends a second request if the first is not answered soon. A lost answer would otherwise delay a
// new leader, which reads the addresses of the machines from this list.
void CloudClient::listPage(const std::string& afterId, std::vector<ListedMachine> listed,
                           OnMachines done) {
  std::string path = "/hosts?page=" + std::to_string(kListPageSize);
  if (!afterId.empty()) path += "&since=" + afterId;
  using Answer = std::optional<Response>;
  auto request = std::make_shared<HedgedRequest<Answer>>(
      runtime_,
      [this, path](Duration timeout, OnReply onReply) {
        http_.send(address_, {"GET", path, ""}, timeout, std::move(onReply));
      },
      [](const Answer& answer) { return !answer; },
      [this, listed = std::move(listed), done = std::move(done)](Instant, const Answer& answer) {
        onPage(answer, listed, done);
      });
  request->start({kPageHedgeDelay, kTimeout}, [this] { budget_.charge(runtime_.now(), 1); });
}

void CloudClient::onPage(const std::optional<Response>& answer, std::vector<ListedMachine> listed,
                         const OnMachines& done) {
  auto body = answer && answer->status == 200 ? decodeBody(answer->body) : std::nullopt;
  const Json* hosts = body ? field(*body, "hosts") : nullptr;
  if (!hosts || !hosts->is_array()) return done(std::nullopt);
  for (const auto& host : *hosts) {
    auto machine = listedMachineFromJson(host);
    if (!machine) return done(std::nullopt);
    listed.push_back(std::move(*machine));
  }
  if (boolField(*body, "truncated").value_or(false) && !listed.empty()) {
    std::string last = listed.back().id.value;
    budget_.take(runtime_.now(), 1);
    return listPage(last, std::move(listed), done);
  }
  done(std::move(listed));
}

}  // namespace kestrelhoist
