/// \file
/// The platform's settings file (TOML). Unknown fields are ignored, the rest is checked.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

struct Peer {
  MemberId member;
  ZoneId zone;
  std::string address;
};

/// What a team is guaranteed and may use; 0 means none.
struct Team {
  Resources guaranteed;
  Resources limit;
};

/// An aim on a class of jobs: "wait" (start within) or "finished" (done within).
struct Objective {
  std::string kind;
  std::string jobClass;
  Duration within{};
  double share{};
};

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
  /// Of the state service: the smaller of its present limits and of those that it will have from
  /// some moment on (`state.next`), so that what is written is taken before and after.
  double stateWritesPerS{};
  std::size_t valueBytes{};
  std::size_t transactionOps{};
  /// Its present limit alone: of what an older version, which knows no other, may have written.
  std::size_t valueBytesNow{};

  double cloudRequestsPerS{};
  Duration listLag{};

  double ramMb{};
  std::size_t maxConnections{};

  std::size_t nodes() const { return peers.size() + 1; }
};

/// Throws std::runtime_error with one line that names the file and the field.
Platform loadPlatform(const std::string& file);
Platform parsePlatform(const std::string& text, const std::string& file);

}  // namespace kestrelhoist
