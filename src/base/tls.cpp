#include "base/tls.hpp"

#include <arpa/inet.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <stdexcept>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

std::shared_ptr<SSL_CTX> newContext(const SSL_METHOD* method) {
  std::shared_ptr<SSL_CTX> context(SSL_CTX_new(method), SSL_CTX_free);
  if (!context) throw std::runtime_error("cannot create a TLS context: " + tlsError());
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_options(context.get(), SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
  // Idle connections release their buffers, since thousands of watches may be held open.
  SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  return context;
}

void setCertificate(SSL_CTX* context, const std::string& certificate, const std::string& key) {
  if (SSL_CTX_use_certificate_chain_file(context, certificate.c_str()) != 1) {
    throw std::runtime_error(certificate + ": " + tlsError());
  }
  if (SSL_CTX_use_PrivateKey_file(context, key.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context) != 1) {
    throw std::runtime_error(key + ": " + tlsError());
  }
}

void trustAuthority(SSL_CTX* context, const std::string& authority) {
  if (SSL_CTX_load_verify_locations(context, authority.c_str(), nullptr) != 1) {
    throw std::runtime_error(authority + ": " + tlsError());
  }
}

std::int64_t fileFingerprint(const std::string& file) {
  struct stat s {};
  if (file.empty() || stat(file.c_str(), &s) != 0) return 0;
  return s.st_mtim.tv_sec * 1000000000LL + s.st_mtim.tv_nsec + s.st_size;
}

}  // namespace

std::string tlsError() {
  char text[256] = "unknown fault";
  if (auto code = ERR_get_error()) ERR_error_string_n(code, text, sizeof text);
  ERR_clear_error();
  return text;
}

TlsServer::TlsServer(std::string certificate, std::string key, std::string authority)
    : certificate_(std::move(certificate)),
      key_(std::move(key)),
      authority_(std::move(authority)),
      fingerprint_(filesFingerprint()),
      context_(load()) {}

TlsServer::~TlsServer() = default;

// The result is unsigned, because the product with a time in nanoseconds overflows, which is
// undefined behaviour for signed numbers.
std::uint64_t TlsServer::filesFingerprint() const {
  auto at = [](const std::string& file) {
    return static_cast<std::uint64_t>(fileFingerprint(file));
  };
  return at(certificate_) * 31 + at(key_) * 7 + at(authority_);
}

std::shared_ptr<ssl_ctx_st> TlsServer::load() const {
  auto context = newContext(TLS_server_method());
  setCertificate(context.get(), certificate_, key_);
  if (!authority_.empty()) {
    trustAuthority(context.get(), authority_);
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  }
  return context;
}

bool TlsServer::reload() {
  auto now = filesFingerprint();
  if (now == fingerprint_) return false;
  fingerprint_ = now;  // Invalid files are not read again until they change again.
  try {
    context_ = load();
  } catch (const std::exception& e) {
    logError("TLS certificate reload failed; keeping the old certificate", "why", e.what());
    return false;
  }
  logInfo("TLS certificate reloaded", "file", certificate_);
  return true;
}

ssl_st* TlsServer::session() const { return SSL_new(context_.get()); }

TlsClient::TlsClient(std::string authority, std::string certificate, std::string key)
    : context_(newContext(TLS_client_method())) {
  if (authority.empty()) {
    SSL_CTX_set_default_verify_paths(context_.get());
  } else {
    trustAuthority(context_.get(), authority);
  }
  if (!certificate.empty()) setCertificate(context_.get(), certificate, key);
  SSL_CTX_set_verify(context_.get(), SSL_VERIFY_PEER, nullptr);
}

ssl_st* TlsClient::session(const std::string& name) const {
  SSL* ssl = SSL_new(context_.get());
  if (!ssl) return nullptr;
  in_addr address{};
  if (inet_pton(AF_INET, name.c_str(), &address) == 1) {
    X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), name.c_str());
  } else {
    SSL_set_tlsext_host_name(ssl, name.c_str());
    SSL_set_hostflags(ssl, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
    SSL_set1_host(ssl, name.c_str());
  }
  return ssl;
}

}  // namespace kestrelhoist
