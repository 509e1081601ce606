/// \file
/// Who may ask: keys of members, and what a key lets its holder do (docs/members.md). A key in text
/// form is "kh_<id>_<secret>"; on record is only a hash of the secret.
#pragma once

#include <optional>
#include <string>

#include "base/runtime.hpp"
#include "jobs/spec.hpp"

namespace kestrelhoist {

/// A member of a team; jobs, keys and limits belong to one.
struct Owner {
  TeamId team;
  std::string member;
  auto operator<=>(const Owner&) const = default;
  std::string str() const { return team.value + "/" + member; }
};

using KeyId = Name<struct KeyIdTag>;  ///< 16 hex digits

namespace right {
inline constexpr unsigned kSubmit = 1, kRead = 2, kCancel = 4, kAdmin = 8, kAll = 15;
}
/// "submit,read,cancel,admin" and back; empty if a word is unknown or none is there.
std::optional<unsigned> rightsFrom(const std::string& words);
std::string wordsOf(unsigned rights);

struct KeyRecord {
  std::string hash;  ///< 64 hex digits, see hashOfSecret
  Owner owner;
  unsigned rights{};
  std::int64_t madeAtMs{};                 ///< time of day
  std::optional<std::int64_t> endsAtMs{};  ///< time of day; revoked keys: when that was
  std::string note;                        ///< for people
  bool endedAt(std::int64_t wallMs) const { return endsAtMs && wallMs >= *endsAtMs; }
};

Json toJson(const KeyRecord& r);
std::optional<KeyRecord> keyRecordFrom(const Json& v);

/// A key as its holder has it.
struct Credential {
  KeyId id;
  std::string secret;  ///< 43 letters: 256 bits
  std::string str() const { return "kh_" + id.value + "_" + secret; }
};
std::optional<Credential> credentialFrom(const std::string& text);
Credential drawCredential();
/// BLAKE2b-256 over id and secret. The secret has 256 random bits, so nothing slower is needed.
std::string hashOfSecret(const Credential& credential);
/// In a time that does not depend on where they differ.
bool sameHash(const std::string& a, const std::string& b);
bool validKeyId(const std::string& id);
bool validHash(const std::string& hash);
bool validMember(const std::string& name);

/// The job that a member calls `ref`. Members have spaces of names of their own: no two of them can
/// mean the same job, and no name that a user without a key may choose looks like one.
JobId memberJob(const Owner& owner, const std::string& ref);
bool isMemberJob(const JobId& id);
/// Of everything that a user said of a job but its name: 32 hex digits. Two submissions ask for the
/// same if and only if their digests are equal.
std::string digestOf(const JobSpec& spec);

/// What a member's job of this idempotency key is called: j- and up to 18 digits, the same for
/// ever.
std::string refFor(const Owner& owner, const std::string& idempotencyKey);
/// Drawn: of 10^18.
std::string drawRef();

}  // namespace kestrelhoist
