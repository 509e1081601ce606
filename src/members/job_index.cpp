#include "members/job_index.hpp"

#include <sodium.h>

#include <array>
#include <cstring>

namespace kestrelhoist {

void JobIndex::recordChange(const Owner& owner, const JobId& job, Revision at) {
  auto [it, isNew] = entries_.try_emplace(job);
  Entry& entry = it->second;
  if (isNew) {
    entry.owner = orders_.try_emplace(owner).first;
  } else {
    if (at <= entry.at) return;
    entry.owner->second.erase({entry.at, job});
  }
  entry.at = at;
  entry.owner->second.emplace(at, job);
  changedOwners_.insert(owner);
}

void JobIndex::remove(const JobId& job) {
  auto it = entries_.find(job);
  if (it == entries_.end()) return;
  auto owner = it->second.owner;
  owner->second.erase({it->second.at, job});
  if (owner->second.empty()) orders_.erase(owner);
  entries_.erase(it);
}

const JobIndex::Order* JobIndex::of(const Owner& owner) const {
  auto it = orders_.find(owner);
  return it == orders_.end() ? nullptr : &it->second;
}

JobIndex::Order::const_iterator after(const JobIndex::Order& order,
                                      const ChangePosition& position) {
  if (position.job.empty()) {
    return order.lower_bound({Revision{position.revision.value + 1}, JobId{}});
  }
  return order.upper_bound({position.revision, position.job});
}

// ---- cursors ----

namespace {
// The plain text holds the revision (8 bytes), whether a job follows (1 byte) and the job's id
// (16 bytes), so it always has the same length.
constexpr std::size_t kPlainBytes = 25;
constexpr std::size_t kNonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t kCursorBytes = kNonceBytes + kPlainBytes + kTagBytes;
constexpr std::size_t kJobHexDigits = 32;  // A member's job id is "m-" and this many hex digits.

const unsigned char* bytes(const std::string& s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}
}  // namespace

CursorCipher::CursorCipher(const std::string& key) : key_(32, '\0') {
  crypto_generichash(reinterpret_cast<unsigned char*>(key_.data()), key_.size(), bytes(key),
                     key.size(), nullptr, 0);
}

std::string CursorCipher::encrypt(const Owner& owner, const ChangePosition& position) const {
  std::array<unsigned char, kPlainBytes> plain{};
  for (std::size_t i = 0; i < 8; ++i) {
    plain[i] = static_cast<unsigned char>(position.revision.value >> (8 * i));
  }
  if (!position.job.empty()) {
    plain[8] = 1;
    std::size_t n = 0;
    sodium_hex2bin(plain.data() + 9, 16, position.job.value.data() + 2, kJobHexDigits, nullptr, &n,
                   nullptr);
  }
  // The nonce is a hash of the plain text and the owner. So the same position gives the same
  // cursor, and different positions never share a nonce.
  std::array<unsigned char, kCursorBytes> out{};
  std::string ownerText = owner.str(), nonceInput = "nonce " + ownerText + std::string(1, '\0');
  nonceInput.append(reinterpret_cast<const char*>(plain.data()), plain.size());
  crypto_generichash(out.data(), kNonceBytes, bytes(nonceInput), nonceInput.size(), bytes(key_),
                     key_.size());
  unsigned long long n = 0;
  crypto_aead_xchacha20poly1305_ietf_encrypt(out.data() + kNonceBytes, &n, plain.data(),
                                             plain.size(), bytes(ownerText), ownerText.size(),
                                             nullptr, out.data(), bytes(key_));
  std::string text(
      sodium_base64_ENCODED_LEN(kCursorBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(text.data(), text.size(), out.data(), out.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();
  return text;
}

std::optional<ChangePosition> CursorCipher::decrypt(const Owner& owner,
                                                    const std::string& cursor) const {
  std::array<unsigned char, kCursorBytes> cipherText{};
  std::size_t n = 0;
  if (sodium_base642bin(cipherText.data(), cipherText.size(), cursor.data(), cursor.size(), nullptr,
                        &n, nullptr, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
      n != kCursorBytes) {
    return std::nullopt;
  }
  std::array<unsigned char, kPlainBytes> plain{};
  std::string ownerText = owner.str();
  unsigned long long length = 0;
  if (crypto_aead_xchacha20poly1305_ietf_decrypt(
          plain.data(), &length, nullptr, cipherText.data() + kNonceBytes, kPlainBytes + kTagBytes,
          bytes(ownerText), ownerText.size(), cipherText.data(), bytes(key_)) != 0) {
    return std::nullopt;
  }
  ChangePosition position;
  for (std::size_t i = 0; i < 8; ++i) position.revision.value |= std::uint64_t{plain[i]} << (8 * i);
  if (plain[8] == 1) {
    std::string hex(kJobHexDigits + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), plain.data() + 9, 16);
    hex.pop_back();
    position.job = JobId{"m-" + hex};
  }
  return position;
}

}  // namespace kestrelhoist
