/// \file
/// TLS by OpenSSL: certificates that may be exchanged while the process runs, and who is believed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

struct ssl_ctx_st;
struct ssl_st;

namespace kestrelhoist {

class TlsServer {
 public:
  /// PEM files. With `authority`, whoever connects must show a certificate that it has signed.
  /// TLS 1.2 at least. Throws std::runtime_error naming the file.
  TlsServer(std::string certificate, std::string key, std::string authority = "");
  ~TlsServer();
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  /// Reads the files again if they changed; what is no good is reported and the old ones stay.
  /// Connections that are open go on. True if new ones are used from now on.
  bool reload();
  /// For one connection.
  ssl_st* session() const;

 private:
  std::shared_ptr<ssl_ctx_st> load() const;
  std::uint64_t stamp() const;
  std::string certificate_, key_, authority_;
  std::uint64_t stamp_{};
  std::shared_ptr<ssl_ctx_st> context_;
};

class TlsClient {
 public:
  /// `authority`: PEM file with those who are believed; empty: the system's. Certificate and key:
  /// what is shown if the server asks; may be empty. Throws std::runtime_error naming the file.
  explicit TlsClient(std::string authority, std::string certificate = "", std::string key = "");
  /// For one connection to a server that must show a certificate of this name or IP address.
  ssl_st* session(const std::string& name) const;

 private:
  std::shared_ptr<ssl_ctx_st> context_;
};

/// What OpenSSL has last complained of.
std::string tlsFault();

}  // namespace kestrelhoist
