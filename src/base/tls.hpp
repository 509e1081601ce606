/// \file
/// Provides TLS over OpenSSL for servers and clients. A server can reload its certificate while it
/// runs.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

struct ssl_ctx_st;
struct ssl_st;

namespace kestrelhoist {

/// Holds the TLS settings of a server, which accepts TLS 1.2 or newer.
class TlsServer {
 public:
  /// Loads the PEM files. If `authority` is not empty, clients must present a certificate signed by
  /// it. Throws std::runtime_error naming the file.
  TlsServer(std::string certificate, std::string key, std::string authority = "");
  ~TlsServer();
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  /// Reloads the files if they have changed and returns whether new ones are in use. If a new file
  /// is invalid, logs an error and keeps the old ones. Open connections are not affected.
  bool reload();
  /// Creates the TLS state for one connection.
  ssl_st* session() const;

 private:
  std::shared_ptr<ssl_ctx_st> load() const;
  std::uint64_t filesFingerprint() const;
  std::string certificate_, key_, authority_;
  std::uint64_t fingerprint_{};
  std::shared_ptr<ssl_ctx_st> context_;
};

/// Holds the TLS settings of a client.
class TlsClient {
 public:
  /// Loads the PEM files. `authority` has the trusted CA certificates; if it is empty, those of the
  /// system are used. `certificate` and `key` are presented if the server asks for them, and may be
  /// empty. Throws std::runtime_error naming the file.
  explicit TlsClient(std::string authority, std::string certificate = "", std::string key = "");
  /// Creates the TLS state for one connection. The server must present a certificate for this name
  /// or IP address.
  ssl_st* session(const std::string& name) const;

 private:
  std::shared_ptr<ssl_ctx_st> context_;
};

/// Returns the text of the first error in OpenSSL's error queue and clears the queue.
std::string tlsError();

}  // namespace kestrelhoist
