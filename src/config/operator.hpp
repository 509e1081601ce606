/// \file
/// The operator's settings, an optional JSON file that is checked against a schema. Every setting
/// has a usable default.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "members/admission.hpp"

namespace kestrelhoist {

/// The files of a TLS endpoint. "{member}" in a path is replaced by the controller's name, so that
/// all controllers can use the same settings file.
struct TlsFiles {
  std::string certificate, key;  ///< The certificate chain and its private key are PEM files.
  std::string authority;  ///< This PEM file has the CA certificates of the other controllers.
  /// Whether no certificate is configured.
  bool empty() const { return certificate.empty(); }
};

/// The settings for members and their keys (docs/members.md).
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
  /// Whether members may also connect without TLS.
  bool plainUsers = false;
  /// The files for connections between controllers. If it is empty, they don't use TLS.
  TlsFiles meshTls;
  /// The offset is added to the port of api_addr. If it is 0, no metrics are served.
  int metricsPort = 0;
};

/// All settings of the operator.
struct OperatorSettings {
  Duration window{10000};  ///< The length of a forecast interval.
  /// The scaling target is the mean demand plus this factor times its spread.
  double spreadMultiple = 1.0;
  bool useSpot = true;  ///< Whether spot machines are rented for jobs that allow them.
  /// The maximum number of rented machines. If it is 0, only the cloud limits their number.
  unsigned maxMachines = 0;
  bool flows = false;                  ///< Whether rule files may be submitted (docs/flows.md).
  unsigned maxFlowInstances = 100000;  ///< The maximum number of instances of one flow.
  /// The maximum number of instances of all open flows together.
  unsigned maxFlowInstancesTotal = 200000;
  MemberSettings members;
};

/// The JSON schema of the settings file.
extern const char* const kOperatorSchema;

/// Reads and checks the settings file. Throws std::runtime_error with one line that names the file
/// and the field.
OperatorSettings loadOperatorSettings(const std::string& file);
/// Checks settings given as text; `file` is used in error messages and for relative paths.
OperatorSettings parseOperatorSettings(const std::string& text, const std::string& file);

}  // namespace kestrelhoist
