/// \file
/// Creates TLS certificates for tests with the openssl command (Certificates).
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace kestrelhoist {

/// Certificate authorities and certificates in a temporary directory, which the destructor removes.
class Certificates {
 public:
  Certificates() {
    char name[] = "/tmp/kestrelhoist-tls-XXXXXX";
    directory = mkdtemp(name);
    authority("ca");
    authority("stranger");
    issue("server", "ca", "IP:127.0.0.1,DNS:node0", 30);
    issue("other", "ca", "DNS:elsewhere", 30);
    issue("foreign", "stranger", "IP:127.0.0.1", 30);
    issue("expired", "ca", "IP:127.0.0.1", 0);
    issue("member", "ca", "DNS:node1", 30);
  }
  ~Certificates() { std::filesystem::remove_all(directory); }
  std::string pem(const std::string& name) const { return directory + "/" + name + ".pem"; }
  std::string key(const std::string& name) const { return directory + "/" + name + ".key"; }
  void issue(const std::string& name, const std::string& by, const std::string& names, int days) {
    std::ofstream(directory + "/ext") << "subjectAltName=" << names << "\n";
    run("openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=" + name +
        " -keyout " + key(name) + " -out " + directory + "/req");
    // A validity of -1 days yields a certificate that has already expired.
    std::string time = days > 0 ? "-days " + std::to_string(days) : "-days -1";
    run("openssl x509 -req -in " + directory + "/req -CA " + pem(by) + " -CAkey " + key(by) +
        " -CAcreateserial " + time + " -extfile " + directory + "/ext -out " + pem(name));
  }
  std::string directory;

 private:
  void authority(const std::string& name) {
    run("openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 30 -subj /CN=" +
        name + " -keyout " + key(name) + " -out " + pem(name));
  }
  void run(const std::string& command) {
    EXPECT_EQ(std::system((command + " > " + directory + "/log 2>&1").c_str()), 0) << command;
  }
};

}  // namespace kestrelhoist
