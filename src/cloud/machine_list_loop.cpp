#include "cloud/machine_list_loop.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetryDelay{1000};
}  // namespace

void MachineListLoop::onTimer() {
  if (!context_.catalogue) readTypes();
  if (context_.runtime.now() >= nextListAt_ && !listRequested_) readList();
}

void MachineListLoop::readTypes() {
  if (typesRequested_ || !context_.cloud.tryAcquireRequest()) return;
  typesRequested_ = true;
  context_.cloud.readMachineTypes(context_.whileLeading([this](std::optional<Catalogue> c) {
    if (!c) {
      logInfo("machine types not received from the cloud; retrying");
      context_.runtime.after(kRetryDelay,
                             context_.whileLeading([this] { typesRequested_ = false; }));
      return;
    }
    context_.catalogue = std::move(c);
    context_.scheduleCycle();
  }));
}

void MachineListLoop::readList() {
  if (!context_.cloud.tryAcquireRequest()) return;
  listRequested_ = true;
  nextListAt_ = context_.runtime.now() + std::max(context_.platform.listLag, Duration{2000});
  context_.cloud.listMachines(
      context_.whileLeading([this](std::optional<std::vector<ListedMachine>> list) {
        listRequested_ = false;
        if (!list) {
          logInfo("machine list not received from the cloud");
          return;
        }
        Instant now = context_.runtime.now();
        std::vector<std::pair<MachineId, Machine>> machines;
        for (const auto& l : *list) {
          Machine m;
          m.id = l.id;
          m.type = l.type;
          m.zone = l.zone;
          m.spot = l.spot;
          m.address = l.address;
          m.listed = l.state == ListedMachine::State::failed    ? ListedState::failed
                     : l.state == ListedMachine::State::booting ? ListedState::booting
                                                                : ListedState::running;
          m.rentedAt = now - l.age - context_.platform.listLag;
          machines.emplace_back(l.id, std::move(m));
        }
        fleet_.onList(machines, now, context_.platform.listLag);
        initialRound_.probeUnreported();
      }));
}

}  // namespace kestrelhoist
