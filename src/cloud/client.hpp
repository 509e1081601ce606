/// \file
/// Typed client of the cloud.
#pragma once

#include <functional>

#include "base/rate.hpp"
#include "cloud/catalogue.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

struct ListedMachine {
  MachineId id;
  std::string address;
  TypeId type;
  ZoneId zone;
  bool spot{};
  enum class State { booting, running, failed } state{};
  Duration age{};
};

struct RentalResult {
  enum class Kind { rented, noCapacity, rejected, failed } kind = Kind::failed;
  std::vector<MachineId> machines;
};

class CloudClient {
 public:
  CloudClient(Runtime& runtime, HttpClient& http, std::string address, double requestsPerS);

  bool mayAsk() { return budget_.take(runtime_.now(), 1); }
  void types(std::function<void(std::optional<Catalogue>)> done);
  void requestMachines(const RentalRecord& rental, std::function<void(RentalResult)> done);
  /// True: the machines and all that was on them are gone.
  void release(const std::vector<MachineId>& machines, std::function<void(bool)> done);
  /// Receives the whole list; empty if the cloud gave none.
  using OnList = std::function<void(std::optional<std::vector<ListedMachine>>)>;
  void list(OnList done);

 private:
  void listPage(const std::string& since, std::vector<ListedMachine> sofar, OnList done);
  void onPage(const std::optional<Response>& answer, std::vector<ListedMachine> sofar,
              const OnList& done);
  Runtime& runtime_;
  HttpClient& http_;
  std::string address_;
  TokenBucket budget_;
};

}  // namespace kestrelhoist
