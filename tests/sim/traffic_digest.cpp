#include "sim/traffic_digest.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <fstream>

namespace kestrelhoist::sim {
namespace {

std::uint64_t randomCalls = 0;

// Fills the buffer with random bytes that depend only on the number of earlier calls in this world.
void repeatableBytes(void* const buffer, const std::size_t size) {
  std::array<unsigned char, randombytes_SEEDBYTES> seed{};
  ++randomCalls;
  for (std::size_t i = 0; i < sizeof randomCalls; ++i) {
    seed[i] = static_cast<unsigned char>(randomCalls >> (8 * i));
  }
  randombytes_buf_deterministic(buffer, size, seed.data());
}

std::uint32_t repeatableNumber() {
  std::uint32_t number = 0;
  repeatableBytes(&number, sizeof number);
  return number;
}

randombytes_implementation repeatableRandom{[] { return "repeatable"; },
                                            repeatableNumber,
                                            nullptr,
                                            nullptr,
                                            repeatableBytes,
                                            [] { return 0; }};

}  // namespace

std::unique_ptr<TrafficDigest> TrafficDigest::fromEnvironment() {
  const char* file = std::getenv("KESTRELHOIST_DIGEST");
  if (file == nullptr) return nullptr;
  randomCalls = 0;
  randombytes_set_implementation(&repeatableRandom);
  return std::unique_ptr<TrafficDigest>(new TrafficDigest(file));
}

TrafficDigest::TrafficDigest(std::string file) : file_(std::move(file)) {
  crypto_generichash_init(&state_, nullptr, 0, crypto_generichash_BYTES);
}

void TrafficDigest::onRequest(std::string_view event, std::int64_t atMs, const std::string& from,
                              const std::string& to, const Request& request) {
  ++messages_;
  add(event);
  add(atMs);
  for (const auto* text : {&from, &to, &request.method, &request.path, &request.body,
                           &request.credential, &request.id}) {
    add(*text);
  }
}

void TrafficDigest::onResponse(std::int64_t atMs, const std::string& from, const std::string& to,
                               const Response& response) {
  ++messages_;
  add("response");
  add(atMs);
  add(from);
  add(to);
  add(response.status);
  add(response.retryAfterS);
  add(response.type);
  add(response.body);
}

void TrafficDigest::report() {
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash_final(&state_, hash.data(), hash.size());
  std::array<char, crypto_generichash_BYTES * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  const auto* test = testing::UnitTest::GetInstance()->current_test_info();
  std::string line =
      test == nullptr ? "?" : std::string(test->test_suite_name()) + "." + test->name();
  line += " " + std::string(hex.data()) + " " + std::to_string(messages_) + "\n";
  std::ofstream(file_, std::ios::app) << line;
}

// The length is hashed before the bytes, so that no two sequences of parts have the same input.
void TrafficDigest::add(std::string_view bytes) {
  add(static_cast<std::int64_t>(bytes.size()));
  crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(bytes.data()),
                            bytes.size());
}

void TrafficDigest::add(std::int64_t number) {
  crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(&number),
                            sizeof number);
}

}  // namespace kestrelhoist::sim
