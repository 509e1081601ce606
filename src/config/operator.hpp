/// \file
/// The operator's own settings: an optional JSON file, checked by a schema. Defaults work.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "members/admission.hpp"

namespace kestrelhoist {

/// Where a TLS server finds what it shows, and whom it lets in. "{member}" in a path stands for the
/// controller's name, so that one file serves all.
struct TlsFiles {
  std::string certificate, key;  ///< PEM
  std::string authority;         ///< PEM; for the other controllers: who signs their certificates
  bool empty() const { return certificate.empty(); }
};

/// Members with keys (docs/members.md).
struct MemberSettings {
  bool enabled = false;
  bool open = false;  ///< users without a key are served too, apart from all members
  KeyId rootKey;      ///< the operator's own key, which makes the first others
  std::string rootHash;
  Duration keyTrust{10000};  ///< no answer under a key that was not checked for longer
  Duration longestWatch{30000};
  MemberLimits limits;
  TlsFiles usersTls;        ///< empty: none
  int usersTlsPort = 0;     ///< added to the port of api_addr
  bool plainUsers = false;  ///< whether members may also come without TLS
  TlsFiles meshTls;         ///< between controllers; empty: none
  int metricsPort = 0;      ///< added to the port of api_addr; 0: none
};

struct OperatorSettings {
  Duration window{10000};              ///< forecast window
  double spreadMultiple = 1.0;         ///< k of mean + k * spread
  bool useSpot = true;                 ///< rent spot machines for jobs that allow them
  unsigned maxMachines = 0;            ///< never rent above this many; 0: no bound of ours
  bool flows = false;                  ///< whether rule files may be submitted (docs/flows.md)
  unsigned flowInstances = 100000;     ///< the most of one flow
  unsigned flowInstancesAll = 200000;  ///< and of all graphs that a controller holds
  MemberSettings members;
};

extern const char* const kOperatorSchema;

/// Throws std::runtime_error with one line that names the file and the field.
OperatorSettings loadOperatorSettings(const std::string& file);
OperatorSettings parseOperatorSettings(const std::string& text, const std::string& file);

}  // namespace kestrelhoist
