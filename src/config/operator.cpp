#include "config/operator.hpp"

#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "config/schema.hpp"
#include "config/settings_file.hpp"

namespace kestrelhoist {

const char* const kOperatorSchema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "kestrelhoist operator settings",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "forecast": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "window_s": {"type": "number", "minimum": 1, "maximum": 600},
        "spread_multiple": {"type": "number", "minimum": 0, "maximum": 10}
      }
    },
    "fleet": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "use_spot": {"type": "boolean"},
        "max_machines": {"type": "integer", "minimum": 0, "maximum": 100000}
      }
    },
    "flows": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "enabled": {"type": "boolean"},
        "max_instances": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "max_instances_all": {"type": "integer", "minimum": 1, "maximum": 10000000}
      }
    },
    "members": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "enabled": {"type": "boolean"},
        "open": {"type": "boolean"},
        "root_key_file": {"type": "string", "minLength": 1},
        "key_trust_s": {"type": "number", "minimum": 2, "maximum": 600},
        "longest_watch_s": {"type": "number", "minimum": 1, "maximum": 60},
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "submits_per_s": {"type": "number", "minimum": 0.1, "maximum": 100000},
            "submit_burst": {"type": "number", "minimum": 1, "maximum": 1000000},
            "reads_per_s": {"type": "number", "minimum": 0.1, "maximum": 100000},
            "read_burst": {"type": "number", "minimum": 1, "maximum": 1000000},
            "bytes_per_s": {"type": "number", "minimum": 1024, "maximum": 1e9},
            "bytes_burst": {"type": "number", "minimum": 65536, "maximum": 1e10},
            "watches": {"type": "integer", "minimum": 1, "maximum": 100000},
            "queued": {"type": "integer", "minimum": 1, "maximum": 10000}
          }
        },
        "tls": {
          "type": "object",
          "additionalProperties": false,
          "required": ["certificate", "key", "port_offset"],
          "properties": {
            "certificate": {"type": "string", "minLength": 1},
            "key": {"type": "string", "minLength": 1},
            "port_offset": {"type": "integer", "minimum": 1, "maximum": 60000},
            "also_plain": {"type": "boolean"}
          }
        },
        "mesh_tls": {
          "type": "object",
          "additionalProperties": false,
          "required": ["certificate", "key", "authority"],
          "properties": {
            "certificate": {"type": "string", "minLength": 1},
            "key": {"type": "string", "minLength": 1},
            "authority": {"type": "string", "minLength": 1}
          }
        },
        "metrics": {
          "type": "object",
          "additionalProperties": false,
          "required": ["port_offset"],
          "properties": {"port_offset": {"type": "integer", "minimum": 1, "maximum": 60000}}
        }
      }
    }
  }
})";

namespace {

// Resolves a file name relative to the folder of the settings file.
std::string resolveBeside(const std::string& file, const std::string& name) {
  return (std::filesystem::path(file).parent_path() / name).string();
}

TlsFiles tlsFilesFromJson(const nlohmann::json& v, const std::string& file) {
  TlsFiles t;
  if (!v.contains("certificate")) return t;
  t.certificate = resolveBeside(file, v["certificate"]);
  t.key = resolveBeside(file, v["key"]);
  if (v.contains("authority")) t.authority = resolveBeside(file, v["authority"]);
  return t;
}

MemberSettings memberSettingsFromJson(const nlohmann::json& v, const std::string& file) {
  MemberSettings s;
  s.enabled = v.value("enabled", s.enabled);
  s.open = v.value("open", s.open);
  s.maxReplicaAge = fromSeconds(v.value("key_trust_s", toSeconds(s.maxReplicaAge)));
  s.maxWatchDuration = fromSeconds(v.value("longest_watch_s", toSeconds(s.maxWatchDuration)));
  auto limits = v.value("limits", nlohmann::json::object());
  MemberLimits& l = s.limits;
  l.submitsPerS = limits.value("submits_per_s", l.submitsPerS);
  l.submitBurst = limits.value("submit_burst", l.submitBurst);
  l.readsPerS = limits.value("reads_per_s", l.readsPerS);
  l.readBurst = limits.value("read_burst", l.readBurst);
  l.bytesPerS = limits.value("bytes_per_s", l.bytesPerS);
  l.bytesBurst = limits.value("bytes_burst", l.bytesBurst);
  l.watches = limits.value("watches", l.watches);
  l.queued = limits.value("queued", l.queued);
  auto tls = v.value("tls", nlohmann::json::object());
  s.usersTls = tlsFilesFromJson(tls, file);
  s.usersTlsPort = tls.value("port_offset", 0);
  s.plainUsers = s.usersTls.empty() || tls.value("also_plain", false);
  s.meshTls = tlsFilesFromJson(v.value("mesh_tls", nlohmann::json::object()), file);
  s.metricsPort = v.value("metrics", nlohmann::json::object()).value("port_offset", 0);
  if (v.contains("root_key_file")) {
    std::string name = resolveBeside(file, v["root_key_file"]);
    std::ifstream in(name);
    in >> s.rootKey.value >> s.rootHash;
    if (!in || !validKeyId(s.rootKey.value) || !validHash(s.rootHash)) {
      throw std::runtime_error(file + ": members.root_key_file: " + name +
                               " is not what hoist-admin key init writes");
    }
  }
  if (s.enabled && s.rootHash.empty()) {
    throw std::runtime_error(file +
                             ": members.root_key_file: is needed, make it with hoist-admin key "
                             "init");
  }
  return s;
}

}  // namespace

OperatorSettings parseOperatorSettings(const std::string& text, const std::string& file) {
  nlohmann::json value = parseChecked(text, file, kOperatorSchema);
  OperatorSettings s;
  auto forecast = value.value("forecast", nlohmann::json::object());
  s.window = fromSeconds(forecast.value("window_s", toSeconds(s.window)));
  s.spreadMultiple = forecast.value("spread_multiple", s.spreadMultiple);
  auto fleet = value.value("fleet", nlohmann::json::object());
  s.useSpot = fleet.value("use_spot", s.useSpot);
  s.maxMachines = fleet.value("max_machines", s.maxMachines);
  auto flows = value.value("flows", nlohmann::json::object());
  s.flows = flows.value("enabled", s.flows);
  s.maxFlowInstances = flows.value("max_instances", s.maxFlowInstances);
  s.maxFlowInstancesTotal = flows.value("max_instances_all", s.maxFlowInstancesTotal);
  s.members = memberSettingsFromJson(value.value("members", nlohmann::json::object()), file);
  return s;
}

OperatorSettings loadOperatorSettings(const std::string& file) {
  return parseOperatorSettings(readSettingsFile(file), file);
}

}  // namespace kestrelhoist
