/// \file
/// Reads the operator's settings from an optional JSON file, which is checked against a schema.
/// Every setting has a usable default.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "members/admission.hpp"

namespace kestrelhoist {

/// Names the files of a TLS endpoint. "{member}" in a path is replaced by the controller's name, so
/// that all controllers can use the same settings file.
struct TlsFiles {
  std::string certificate, key;  ///< The certificate chain and its private key are PEM files.
  std::string authority;  ///< This PEM file has the CA certificates of the other controllers.
  /// Returns whether no certificate is configured.
  bool empty() const { return certificate.empty(); }
};

/// Holds the settings for members and their keys (docs/members.md).
struct MemberSettings {
  bool enabled = false;
  /// If true, users without a key are served too, in a namespace separate from all members'.
  bool open = false;
  KeyId rootKey;  ///< The root key belongs to the operator and creates the first other keys.
  std::string rootHash;
  /// Keys are checked against the controller's replica only if it is not older than this.
  Duration maxReplicaAge{10000};
  Duration maxWatchDuration{30000};
  MemberLimits limits;
  TlsFiles usersTls;     ///< If it is empty, there is no TLS endpoint for members.
  int usersTlsPort = 0;  ///< The offset is added to the port of api_addr.
  /// If true, members may also connect without TLS.
  bool plainUsers = false;
  /// These files are for connections between controllers. If empty, the controllers don't use TLS.
  TlsFiles meshTls;
  /// The offset is added to the port of api_addr. If it is 0, no metrics are served.
  int metricsPort = 0;
};

/// Holds all settings of the operator.
struct OperatorSettings {
  Duration window{10000};  ///< This is the length of a forecast interval.
  /// The scaling target is the mean demand plus this factor times its spread.
  double spreadMultiple = 1.0;
  bool useSpot = true;  ///< If true, spot machines are rented for jobs that allow them.
  /// This limits the number of rented machines. If it is 0, only the cloud limits their number.
  unsigned maxMachines = 0;
  bool flows = false;                  ///< If true, rule files may be submitted (docs/flows.md).
  unsigned maxFlowInstances = 100000;  ///< This limits the instances of one flow.
  /// This limits the instances of all open flows together.
  unsigned maxFlowInstancesTotal = 200000;
  MemberSettings members;
};

/// Holds the JSON schema of the settings file.
extern const char* const kOperatorSchema;

/// Reads and checks the settings file. Throws std::runtime_error with one line that names the file
/// and the field.
OperatorSettings loadOperatorSettings(const std::string& file);
/// Checks settings given as text; `file` is used in error messages and for relative paths.
OperatorSettings parseOperatorSettings(const std::string& text, const std::string& file);

}  // namespace kestrelhoist
