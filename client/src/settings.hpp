/// \file
/// Where hoist finds the service and what it says of its user: command line before environment
/// before the JSON file (checked by a schema).
#pragma once

#include <string>
#include <vector>

#include "kestrelhoist/client.hpp"

namespace kestrelhoist {

struct ClientSettings {
  std::vector<std::string> servers;  ///< "ip:port", tried in turn
  std::string team, member;
  std::string files;  ///< root of the files that all machines share
  std::string key;    ///< "kh_..."; empty: a service without members
  bool tls = false;
  std::string authority, serverName;  ///< see kestrelhoist/client.hpp
};

extern const char* const kClientSchema;

/// Throws std::runtime_error with one line that names the file and the field.
ClientSettings parseClientSettings(const std::string& text, const std::string& file);
/// From the file and the environment. `file` empty: HOIST_CONFIG, or hoist.json in the user's
/// configuration directory, if there is one.
ClientSettings loadClientSettings(const std::string& file);
/// As the library takes them.
client::Settings librarySettings(const ClientSettings& s);
std::vector<std::string> splitList(const std::string& text, char separator = ',');

}  // namespace kestrelhoist
