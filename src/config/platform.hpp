/// \file
/// Reads the settings file of the platform, in TOML. Unknown fields are ignored and all others
/// checked.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

/// Describes another controller.
struct Peer {
  MemberId member;
  ZoneId zone;
  std::string address;
};

/// Holds the quota of a team. A guarantee of 0 means that the team has none.
struct Team {
  Resources guaranteed;
  Resources limit;
};

/// Describes a service level objective for a class of jobs. A share of them must start (kind
/// "wait") or finish (kind "finished") within a time.
struct Objective {
  std::string kind;
  std::string jobClass;
  Duration within{};
  double share{};
};

/// Holds all settings of the platform for this controller.
struct Platform {
  MemberId member;
  ZoneId zone;
  std::string apiAddress;
  std::string meshAddress;
  std::vector<Peer> peers;
  std::string cloudAddress;
  std::string stateAddress;
  std::vector<ZoneId> zones;
  std::map<TeamId, Team> teams;
  std::vector<Objective> objectives;

  Duration reportEvery{};
  Duration workerLease{};
  Duration cancelWithin{};

  double stateRequestsPerS{};
  /// This limit and the next two belong to the state service. Each is the smaller of the present
  /// limit and the announced later one (`state.next`), so that writes are accepted both before and
  /// after the change.
  double stateWritesPerS{};
  std::size_t valueBytes{};
  std::size_t transactionOps{};
  /// This is the present value limit alone. An older version of the program ignores `state.next`,
  /// so it may have written values up to this size.
  std::size_t valueBytesNow{};

  double cloudRequestsPerS{};
  Duration listLag{};

  double ramMb{};
  std::size_t maxConnections{};

  /// Returns the number of controllers, including this one.
  std::size_t controllerCount() const { return peers.size() + 1; }
};

/// Reads and checks the settings file. Throws std::runtime_error with one line that names the file
/// and the field.
Platform loadPlatform(const std::string& file);
/// Checks settings given as text; `file` is used in error messages.
Platform parsePlatform(const std::string& text, const std::string& file);

}  // namespace kestrelhoist
