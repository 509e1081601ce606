/// \file
/// Loads the settings of the command-line programs: the addresses of the service and the identity
/// of the user. The command line overrides the environment, and the environment overrides the JSON
/// file, which must match a JSON schema.
#pragma once

#include <string>
#include <vector>

#include "kestrelhoist/client.hpp"

namespace kestrelhoist {

/// The settings of the command-line programs.
struct ClientSettings {
  std::vector<std::string> servers;  ///< The controllers' addresses, each as "ip:port".
  std::string team, member;
  std::string files;  ///< The root directory of the files that all machines share.
  std::string key;    ///< The member key ("kh_..."), or empty if the service has no members.
  bool tls = false;
  std::string authority, serverName;  ///< client::Settings describes these fields.
};

/// The JSON schema of the settings file.
extern const char* const kClientSchema;

/// Parses the text of a settings file. Throws std::runtime_error with a one-line message that names
/// the file and the invalid field.
ClientSettings parseClientSettings(const std::string& text, const std::string& file);
/// Loads the settings from a file and from the environment. If `file` is empty, the path comes from
/// HOIST_CONFIG; if that is empty too, the function reads hoist.json in the user's configuration
/// directory if that file exists.
ClientSettings loadClientSettings(const std::string& file);
/// Converts the settings to the settings of the client library.
client::Settings librarySettings(const ClientSettings& s);
/// Splits a text at each separator and drops empty parts.
std::vector<std::string> splitList(const std::string& text, char separator = ',');

}  // namespace kestrelhoist
