#include "members/records.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace kestrelhoist {
namespace {

constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSecretLetters = 43;
constexpr std::size_t kHashBytes = 32;
const std::string kKeyPrefix = "kh_";
const std::string kMemberJobPrefix = "m-";

struct RightName {
  unsigned right;
  const char* word;
};
constexpr std::array<RightName, 4> kRightNames{{{right::kSubmit, "submit"},
                                                {right::kRead, "read"},
                                                {right::kCancel, "cancel"},
                                                {right::kAdmin, "admin"}}};

std::string hexOf(const unsigned char* bytes, std::size_t n) {
  std::string out(n * 2 + 1, '\0');
  sodium_bin2hex(out.data(), out.size(), bytes, n);
  out.pop_back();
  return out;
}

// Hashes each field with its length in front, so that two different lists of fields never give the
// same input to the hash.
std::string hashOfFields(std::size_t bytes, const std::string& purpose,
                         std::initializer_list<const std::string*> fields) {
  std::array<unsigned char, crypto_generichash_BYTES_MAX> out{};
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, bytes);
  auto add = [&](const std::string& text) {
    std::string length = std::to_string(text.size()) + ":";
    for (const std::string* part : {&std::as_const(length), &text}) {
      crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part->data()),
                                part->size());
    }
  };
  add(purpose);
  for (const auto* f : fields) add(*f);
  crypto_generichash_final(&state, out.data(), bytes);
  return hexOf(out.data(), bytes);
}

bool hexDigits(const std::string& text, std::size_t n) {
  return text.size() == n && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace

std::optional<unsigned> parseRights(const std::string& words) {
  unsigned rights = 0;
  std::istringstream in(words);
  for (std::string word; std::getline(in, word, ',');) {
    auto it = std::find_if(kRightNames.begin(), kRightNames.end(),
                           [&](const RightName& w) { return word == w.word; });
    if (it == kRightNames.end()) return std::nullopt;
    rights |= it->right;
  }
  return rights == 0 ? std::nullopt : std::optional(rights);
}

std::string rightsToString(unsigned rights) {
  std::string out;
  for (const auto& w : kRightNames) {
    if ((rights & w.right) != 0) out += (out.empty() ? "" : ",") + std::string(w.word);
  }
  return out;
}

Json toJson(const KeyRecord& r) {
  Json v = {{"hash", r.hash},     {"team", r.owner.team.value}, {"member", r.owner.member},
            {"rights", r.rights}, {"at", r.createdAtMs},        {"note", r.note}};
  if (r.expiresAtMs) v["ends"] = *r.expiresAtMs;
  return v;
}

std::optional<KeyRecord> keyRecordFromJson(const Json& v) {
  auto hash = textField(v, "hash"), team = textField(v, "team"), member = textField(v, "member");
  auto rights = countField(v, "rights");
  if (!hash || !validHash(*hash) || !team || !member || !rights || *rights > right::kAll) {
    return std::nullopt;
  }
  KeyRecord r{*hash,
              {TeamId{*team}, *member},
              static_cast<unsigned>(*rights),
              static_cast<std::int64_t>(countField(v, "at").value_or(0)),
              {},
              textField(v, "note").value_or("")};
  if (auto ends = countField(v, "ends")) r.expiresAtMs = static_cast<std::int64_t>(*ends);
  return r;
}

bool validKeyId(const std::string& id) { return hexDigits(id, kIdDigits); }
bool validHash(const std::string& hash) { return hexDigits(hash, kHashBytes * 2); }

bool validMember(const std::string& name) {
  return !name.empty() && name.size() <= 64 && name[0] != '.' &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

std::optional<Credential> parseCredential(const std::string& text) {
  // The secret may contain '_', so the parts are separated by their fixed lengths.
  if (text.size() != kKeyPrefix.size() + kIdDigits + 1 + kSecretLetters ||
      !text.starts_with(kKeyPrefix) || text[kKeyPrefix.size() + kIdDigits] != '_') {
    return std::nullopt;
  }
  Credential c{KeyId{text.substr(kKeyPrefix.size(), kIdDigits)},
               text.substr(kKeyPrefix.size() + kIdDigits + 1)};
  bool letters = std::all_of(c.secret.begin(), c.secret.end(), [](unsigned char x) {
    return std::isalnum(x) != 0 || x == '-' || x == '_';
  });
  if (!validKeyId(c.id.value) || !letters) return std::nullopt;
  return c;
}

Credential generateCredential() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be used");
  std::array<unsigned char, kIdDigits / 2> id{};
  std::array<unsigned char, kSecretBytes> secret{};
  randombytes_buf(id.data(), id.size());
  randombytes_buf(secret.data(), secret.size());
  std::string text(
      sodium_base64_ENCODED_LEN(kSecretBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(text.data(), text.size(), secret.data(), secret.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();
  return {KeyId{hexOf(id.data(), id.size())}, text};
}

std::string hashOfSecret(const Credential& c) {
  return hashOfFields(kHashBytes, "kestrelhoist key", {&c.id.value, &c.secret});
}

bool sameHash(const std::string& a, const std::string& b) {
  return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

JobId memberJob(const Owner& owner, const std::string& ref) {
  return JobId{kMemberJobPrefix +
               hashOfFields(16, "kestrelhoist job", {&owner.team.value, &owner.member, &ref})};
}

bool isMemberJob(const JobId& id) { return id.value.starts_with(kMemberJobPrefix); }

std::string specDigest(const JobSpec& spec) {
  std::string text = jobSpecToJson(spec).dump(-1, ' ', false, Json::error_handler_t::replace);
  return hashOfFields(16, "kestrelhoist job description", {&text});
}

namespace {
constexpr std::uint64_t kRefCount = 1000000000000000000ULL;
}

std::string refForIdempotencyKey(const Owner& owner, const std::string& idempotencyKey) {
  std::string hex =
      hashOfFields(16, "kestrelhoist ref", {&owner.team.value, &owner.member, &idempotencyKey});
  std::uint64_t n = std::stoull(hex.substr(0, 16), nullptr, 16);
  return "j-" + std::to_string(n % kRefCount);
}

std::string generateRef() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be used");
  std::uint64_t n = 0;
  randombytes_buf(&n, sizeof n);
  return "j-" + std::to_string(n % kRefCount);
}

}  // namespace kestrelhoist
