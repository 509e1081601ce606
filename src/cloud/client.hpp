/// \file
/// Implements a client of the cloud's HTTP API, which rents, lists and terminates machines.
#pragma once

#include <functional>

#include "base/rate.hpp"
#include "cloud/catalogue.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// Represents an entry of the cloud's list of machines.
struct ListedMachine {
  MachineId id;
  std::string address;
  TypeId type;
  ZoneId zone;
  bool spot{};
  enum class State { booting, running, failed } state{};
  Duration age{};
};

/// Represents the cloud's answer to a rental. The kind `failed` includes a missing answer.
struct RentalResult {
  enum class Kind { rented, noCapacity, rejected, failed } kind = Kind::failed;
  std::vector<MachineId> machines;
};

/// Sends requests to the cloud without blocking and passes the decoded answers to callbacks.
class CloudClient {
 public:
  CloudClient(Runtime& runtime, HttpClient& http, std::string address, double requestsPerS);

  /// Takes one request from the rate budget. Returns false if the budget is used up.
  bool tryAcquireRequest() { return budget_.take(runtime_.now(), 1); }
  /// Reads the machine types; the result is empty if the request failed.
  void readMachineTypes(std::function<void(std::optional<Catalogue>)> done);
  /// Requests the machines of a rental. The cloud rents no machine twice for one rental id.
  void requestMachines(const RentalRecord& rental, std::function<void(RentalResult)> done);
  /// Terminates machines. The result is true if the cloud confirmed that they and all their tasks
  /// have ended.
  void terminateMachines(const std::vector<MachineId>& machines, std::function<void(bool)> done);
  /// Receives the whole list of machines, or an empty value if a request failed.
  using OnMachines = std::function<void(std::optional<std::vector<ListedMachine>>)>;
  /// Reads the list of machines, page by page.
  void listMachines(OnMachines done);

 private:
  void listPage(const std::string& afterId, std::vector<ListedMachine> listed, OnMachines done);
  void onPage(const std::optional<Response>& answer, std::vector<ListedMachine> listed,
              const OnMachines& done);
  Runtime& runtime_;
  HttpClient& http_;
  std::string address_;
  TokenBucket budget_;
};

}  // namespace kestrelhoist
