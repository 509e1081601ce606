/// \file
/// Defines members, their keys and the rights of a key (docs/members.md). The text form of a key is
/// "kh_<id>_<secret>". The state service stores only a hash of the secret.
#pragma once

#include <optional>
#include <string>

#include "base/runtime.hpp"
#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Identifies a member of a team. Each job, key and set of limits belongs to one member.
struct Owner {
  TeamId team;
  std::string member;
  auto operator<=>(const Owner&) const = default;
  std::string str() const { return team.value + "/" + member; }
};

using KeyId = Name<struct KeyIdTag>;  ///< The id consists of 16 hex digits.

/// Defines the rights of a key, which are combined as bits.
namespace right {
inline constexpr unsigned kSubmit = 1, kRead = 2, kCancel = 4, kAdmin = 8, kAll = 15;
}
/// Parses a list of rights such as "submit,read,cancel,admin". Returns nullopt if a word is unknown
/// or the list is empty.
std::optional<unsigned> parseRights(const std::string& words);
/// Returns the rights as a comma-separated list.
std::string rightsToString(unsigned rights);

/// Represents the record of a key in the state service.
struct KeyRecord {
  std::string hash;  ///< The result of hashOfSecret(), which has 64 hex digits.
  Owner owner;
  unsigned rights{};
  std::int64_t createdAtMs{};  ///< The key was created at this wall-clock time.
  /// The key expires or was revoked at this wall-clock time.
  std::optional<std::int64_t> expiresAtMs{};
  std::string note;  ///< The note is for people; the service does not interpret it.
  /// Returns whether the key has expired or is revoked at this wall-clock time.
  bool isExpiredAt(std::int64_t wallMs) const { return expiresAtMs && wallMs >= *expiresAtMs; }
};

/// Encodes a key record for the state service.
Json toJson(const KeyRecord& r);
/// Parses a key record; returns nullopt if it is malformed.
std::optional<KeyRecord> keyRecordFromJson(const Json& v);

/// Holds a key with its secret, as the member has it.
struct Credential {
  KeyId id;
  std::string secret;  ///< The secret has 256 bits, encoded in 43 base64url characters.
  /// Returns the text form "kh_<id>_<secret>".
  std::string str() const { return "kh_" + id.value + "_" + secret; }
};
/// Parses the text form of a key; returns nullopt if it is malformed.
std::optional<Credential> parseCredential(const std::string& text);
/// Generates a key with a random id and secret.
Credential generateCredential();
/// Returns the BLAKE2b-256 hash of id and secret. The secret has 256 random bits, so a slow
/// password hash is not needed.
std::string hashOfSecret(const Credential& credential);
/// Compares two hashes in constant time.
bool sameHash(const std::string& a, const std::string& b);
/// Returns whether the text has the form of a key id.
bool validKeyId(const std::string& id);
/// Returns whether the text has the form of a key's hash.
bool validHash(const std::string& hash);
/// Returns whether the text may be the name of a member.
bool validMember(const std::string& name);

/// Returns the job id for the reference `ref` of a member. Each member has a separate namespace, so
/// references of two members never give the same id. A user without a key can't choose such an id.
JobId memberJob(const Owner& owner, const std::string& ref);
/// Returns whether the id was made by memberJob().
bool isMemberJob(const JobId& id);
/// Returns a hash, in 32 hex digits, of all fields of a job's specification except its id. Two
/// submissions describe the same job if and only if their digests are equal.
std::string specDigest(const JobSpec& spec);

/// Returns the job reference for an idempotency key of a member: "j-" and up to 18 digits. The
/// result must stay the same in all versions, because scripts rely on it.
std::string refForIdempotencyKey(const Owner& owner, const std::string& idempotencyKey);
/// Returns a random job reference: "j-" and a number below 10^18.
std::string generateRef();

}  // namespace kestrelhoist
