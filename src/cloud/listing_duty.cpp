#include "cloud/listing_duty.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetry{1000};
}  // namespace

void ListingDuty::tick() {
  if (!leadership_.catalogue) readTypes();
  if (leadership_.runtime.now() >= nextList_ && !listing_) readList();
}

void ListingDuty::readTypes() {
  if (asked_ || !leadership_.cloud.mayAsk()) return;
  asked_ = true;
  leadership_.cloud.types(leadership_.guard([this](std::optional<Catalogue> c) {
    if (!c) {
      logInfo("the cloud did not tell its machine types");
      leadership_.runtime.after(kRetry, leadership_.guard([this] { asked_ = false; }));
      return;
    }
    leadership_.catalogue = std::move(c);
    leadership_.kick();
  }));
}

void ListingDuty::readList() {
  if (!leadership_.cloud.mayAsk()) return;
  listing_ = true;
  nextList_ = leadership_.runtime.now() + std::max(leadership_.platform.listLag, Duration{2000});
  leadership_.cloud.list(leadership_.guard([this](std::optional<std::vector<ListedMachine>> list) {
    listing_ = false;
    if (!list) {
      logInfo("the cloud gave no machine list");
      return;
    }
    Instant now = leadership_.runtime.now();
    std::vector<std::pair<MachineId, Machine>> machines;
    for (const auto& l : *list) {
      Machine m;
      m.id = l.id;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
      m.address = l.address;
      m.listed = l.state == ListedMachine::State::failed    ? Listed::failed
                 : l.state == ListedMachine::State::booting ? Listed::booting
                                                            : Listed::running;
      m.rentedAt = now - l.age - leadership_.platform.listLag;
      machines.emplace_back(l.id, std::move(m));
    }
    fleet_.onList(machines, now, leadership_.platform.listLag);
    dispatch_.askAll();
  }));
}

}  // namespace kestrelhoist
