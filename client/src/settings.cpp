#include "client/src/settings.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "config/schema.hpp"
#include "config/settings_file.hpp"

namespace kestrelhoist {

const char* const kClientSchema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "hoist, where the service is and who asks",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "servers": {"type": "array", "minItems": 1, "items": {"type": "string", "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$"}},
    "team": {"type": "string", "minLength": 1},
    "member": {"type": "string", "pattern": "^[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}$"},
    "files": {"type": "string", "minLength": 1},
    "key": {"type": "string", "minLength": 1},
    "key_file": {"type": "string", "minLength": 1},
    "tls": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "authority": {"type": "string", "minLength": 1},
        "server_name": {"type": "string", "minLength": 1}
      }
    }
  }
})";

std::vector<std::string> splitList(const std::string& text, char separator) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    if (!part.empty()) out.push_back(part);
  }
  return out;
}

ClientSettings parseClientSettings(const std::string& text, const std::string& file) {
  nlohmann::json value = parseChecked(text, file, kClientSchema);
  ClientSettings s;
  s.servers = value.value("servers", s.servers);
  s.team = value.value("team", s.team);
  s.member = value.value("member", s.member);
  s.files = value.value("files", s.files);
  s.key = value.value("key", s.key);
  auto resolvePath = [&](const std::string& name) {
    return (std::filesystem::path(file).parent_path() / name).string();
  };
  if (value.contains("key_file")) {
    std::string name = resolvePath(value["key_file"]);
    std::ifstream in(name);
    if (!(in >> s.key)) throw std::runtime_error(file + ": key_file: " + name + " holds no key");
  }
  if (value.contains("tls")) {
    s.tls = true;
    if (value["tls"].contains("authority")) s.authority = resolvePath(value["tls"]["authority"]);
    s.serverName = value["tls"].value("server_name", s.serverName);
  }
  return s;
}

client::Settings librarySettings(const ClientSettings& c) {
  client::Settings s;
  s.servers = c.servers;
  s.key = c.key;
  s.team = c.team;
  s.tls = c.tls;
  s.authority = c.authority;
  s.serverName = c.serverName;
  return s;
}

client::Result<client::Settings> client::loadSettings(const std::string& file) {
  try {
    return librarySettings(loadClientSettings(file));
  } catch (const std::exception& e) {
    Error fault;
    fault.kind = ErrorKind::unusable;
    fault.why = e.what();
    return fault;
  }
}

ClientSettings loadClientSettings(const std::string& given) {
  auto env = [](const char* name) {
    const char* v = std::getenv(name);
    return std::string(v ? v : "");
  };
  std::string file = !given.empty() ? given : env("HOIST_CONFIG");
  bool isRequired = !file.empty();
  if (!isRequired) {
    std::string home =
        env("XDG_CONFIG_HOME").empty() ? env("HOME") + "/.config" : env("XDG_CONFIG_HOME");
    file = home + "/hoist.json";
  }
  ClientSettings s;
  if (isRequired || std::filesystem::exists(file)) {
    s = parseClientSettings(readSettingsFile(file), file);
  }
  if (auto v = env("HOIST_SERVERS"); !v.empty()) s.servers = splitList(v);
  if (auto v = env("HOIST_TEAM"); !v.empty()) s.team = v;
  if (auto v = env("HOIST_MEMBER"); !v.empty()) s.member = v;
  if (auto v = env("HOIST_FILES"); !v.empty()) s.files = v;
  if (auto v = env("HOIST_KEY"); !v.empty()) s.key = v;
  if (auto v = env("HOIST_AUTHORITY"); !v.empty()) {
    s.tls = true;
    s.authority = v;
  }
  return s;
}

}  // namespace kestrelhoist
