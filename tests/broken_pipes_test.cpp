// These tests close what a program of the project writes to, while the program runs as a process of
// its own with default signals. They guard against a program that ends by SIGPIPE, by the end of
// its terminal, or that stops serving because it has no free file descriptor.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>

#include "base/process_signals.hpp"
#include "base/tls.hpp"
#include "certificates.hpp"
#include "child_process.hpp"
#include "kestrelhoist/client.hpp"
#include "members/records.hpp"

namespace kestrelhoist {
namespace {

constexpr int kTlsPortOffset = 7;
constexpr Duration kAnswerTimeout{5000};
// The bit of SIGPIPE in a mask of signals.
constexpr std::uint64_t kBrokenPipe = 1ULL << (SIGPIPE - 1);

// How a client ends its connection.
enum class Ending { close, reset };

// A connection to a port on loopback.
class Connection {
 public:
  explicit Connection(int port, Ending ending = Ending::reset)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)), ending_(ending) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Also bounds connect(), which waits if the listener's queue is full.
    const timeval timeout{5, 0};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    isOpen_ = connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  }
  ~Connection() {
    const linger reset{ending_ == Ending::reset ? 1 : 0, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(fd_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool isOpen() const { return isOpen_; }
  int fd() const { return fd_; }
  void sendText(const std::string& text) const {
    EXPECT_EQ(send(fd_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }

 private:
  int fd_;
  Ending ending_;
  bool isOpen_{};
};

// Runs a controller whose state service and cloud are out of reach.
class LoneController {
 public:
  explicit LoneController(const std::string& log = "") {
    const Credential root = generateCredential();
    directory.write("root.key", root.id.value + " " + hashOfSecret(root) + "\n");
    const std::string members =
        R"({"members": {"enabled": true, "root_key_file": "root.key", "tls": {"certificate": ")" +
        certificates_.pem("server") + R"(", "key": ")" + certificates_.key("server") +
        R"(", "port_offset": )" + std::to_string(kTlsPortOffset) + R"(, "also_plain": true}}})";
    const std::string operators = directory.write("operator.json", members);
    logFile_ = log.empty() ? directory.path + "/node0.log" : log;
    constexpr int kAttempts = 5;
    // Another process may take a free port before the controller does, which then ends at once.
    for (int attempt = 0; attempt < kAttempts && !answers(); ++attempt) {
      const std::string api = freeAddress(loop_);
      port = splitAddress(api)->second;
      const std::string settings = directory.write(
          "node0.toml", controllerSettings({api, freeAddress(loop_), freeAddress(loop_),
                                            freeAddress(loop_), freeAddress(loop_)}));
      process = std::make_unique<ChildProcess>(
          std::vector<std::string>{PROGRAM_PATH, "--config", settings, "--operator", operators},
          logFile_);
    }
  }

  // Returns whether the controller answers a request within some seconds.
  bool answers() {
    if (!process) return false;
    const Instant end = loop_.now() + kAnswerTimeout;
    int status = 0;
    while (status == 0 && loop_.now() < end && !process->hasEnded()) {
      EvHttpClient client(loop_, 1);
      client.send("127.0.0.1:" + std::to_string(port), {"GET", "/ready", ""}, Duration{1000},
                  [&](std::optional<Response> answer) {
                    status = answer ? answer->status : 0;
                    loop_.after(Duration{20}, [&] { loop_.stop(); });
                  });
      loop_.run();
    }
    return status != 0;
  }

  void wait(Duration time) {
    loop_.after(time, [&] { loop_.stop(); });
    loop_.run();
  }

  // Stands still while `meanwhile` runs.
  void freeze(const std::function<void()>& meanwhile) const {
    kill(process->pid(), SIGSTOP);
    meanwhile();
    kill(process->pid(), SIGCONT);
  }

  // Leaves the controller few file descriptors, and for a while connects more clients than that.
  void useAllDescriptors() {
    constexpr rlim_t kDescriptors = 40;
    const rlimit few{kDescriptors, kDescriptors};
    ASSERT_EQ(prlimit(process->pid(), RLIMIT_NOFILE, &few, nullptr), 0);
    std::vector<std::unique_ptr<Connection>> connections;
    for (rlim_t i = 0; i < kDescriptors + 20; ++i) {
      connections.push_back(std::make_unique<Connection>(port));
    }
    wait(Duration{2000});
  }

  TemporaryDirectory directory;
  std::unique_ptr<ChildProcess> process;
  int port{};
  const std::string& logFile() const { return logFile_; }

 private:
  Certificates certificates_;
  EventLoop loop_;
  std::string logFile_;
};

// Guards against a controller that ends by SIGPIPE: OpenSSL writes twice after a client's
// handshake.
TEST(BrokenPipes, AControllerOutlivesClientsThatCloseAfterTheirHandshake) {
  LoneController controller;
  ASSERT_TRUE(controller.answers());
  std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_client_method()),
                                                            SSL_CTX_free);
  constexpr int kClients = 100;
  for (int i = 0; i < kClients; ++i) {
    Connection connection(controller.port + kTlsPortOffset);
    std::unique_ptr<SSL, decltype(&SSL_free)> session(SSL_new(context.get()), SSL_free);
    SSL_set_fd(session.get(), connection.fd());
    ASSERT_EQ(SSL_connect(session.get()), 1) << "client " << i;
  }
  EXPECT_TRUE(controller.answers());
  EXPECT_FALSE(controller.process->hasEnded());
}

// Guards against a controller that ends by SIGPIPE when it goes on after its clients gave up.
TEST(BrokenPipes, AControllerThatStoodStillOutlivesClientsThatGaveUp) {
  LoneController controller;
  ASSERT_TRUE(controller.answers());
  std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_client_method()),
                                                            SSL_CTX_free);
  // Fewer than a listener holds back, so that no client waits for the frozen controller.
  constexpr int kClients = 100;
  controller.freeze([&] {
    for (int i = 0; i < kClients; ++i) {
      const Ending ending = i % 2 == 0 ? Ending::close : Ending::reset;
      const std::string request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
      Connection(controller.port, ending).sendText(request + request);
      Connection overTls(controller.port + kTlsPortOffset, ending);
      fcntl(overTls.fd(), F_SETFL, O_NONBLOCK);
      std::unique_ptr<SSL, decltype(&SSL_free)> session(SSL_new(context.get()), SSL_free);
      SSL_set_fd(session.get(), overTls.fd());
      EXPECT_EQ(SSL_connect(session.get()), -1) << "the controller stands still";
    }
  });
  EXPECT_TRUE(controller.answers());
  EXPECT_FALSE(controller.process->hasEnded());
}

// Guards against a controller that ends by SIGPIPE as soon as nobody reads its log.
TEST(BrokenPipes, AControllerOutlivesTheReaderOfItsLog) {
  TemporaryDirectory directory;
  const std::string pipe = directory.path + "/log";
  ASSERT_EQ(mkfifo(pipe.c_str(), 0600), 0);
  const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  LoneController controller(pipe);
  ASSERT_TRUE(controller.answers());
  close(reader);
  controller.useAllDescriptors();  // The controller logs that it can accept nothing.
  EXPECT_TRUE(controller.answers());
  EXPECT_FALSE(controller.process->hasEnded());
}

// Guards against a controller that ends with the terminal from which it was started.
TEST(BrokenPipes, AControllerOutlivesItsTerminal) {
  LoneController controller;
  ASSERT_TRUE(controller.answers());
  kill(controller.process->pid(), SIGHUP);
  EXPECT_TRUE(controller.answers());
  EXPECT_FALSE(controller.process->hasEnded());
}

// Guards against a controller without free file descriptors that tries to accept without end.
TEST(BrokenPipes, AControllerWithoutFreeDescriptorsPausesAndServesAgain) {
  LoneController controller;
  ASSERT_TRUE(controller.answers());
  controller.useAllDescriptors();
  EXPECT_TRUE(controller.answers());
  std::ifstream log(controller.logFile());
  const auto lines = std::count(std::istreambuf_iterator<char>(log), {}, '\n');
  EXPECT_LT(lines, 200);
}

// Returns how a command of the users ends when nobody reads its output.
std::string endWithoutReader(std::vector<std::string> words) {
  TemporaryDirectory directory;
  const std::string pipe = directory.path + "/output";
  EXPECT_EQ(mkfifo(pipe.c_str(), 0600), 0);
  const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  // The shell opens the pipe and runs the command once the reader has gone.
  const std::string go = directory.path + "/go";
  std::string script = "exec > " + pipe + "; touch " + go + "; while [ -e " + go +
                       " ]; do sleep 0.02; done; exec \"$@\"";
  std::vector<std::string> all{"/bin/bash", "-c", script, "bash"};
  all.insert(all.end(), words.begin(), words.end());
  ChildProcess command(all, "/dev/null");
  while (!std::filesystem::exists(go)) usleep(20000);
  close(reader);
  std::filesystem::remove(go);
  return command.waitForEnd();
}

// Guards against a command that ends by SIGPIPE, or that goes on for nobody.
TEST(BrokenPipes, CommandsTellThatTheirOutputWasClosed) {
  EXPECT_EQ(endWithoutReader({CLI_PATH, "completion"}), "exit 9");
  EXPECT_EQ(endWithoutReader({CLI_PATH, "--help"}), "exit 9");
  EXPECT_EQ(endWithoutReader({ADMIN_PATH, "--help"}), "exit 9");
}

// Guards against a simulator that hides what a broken pipe does to the controllers that it starts.
TEST(BrokenPipes, ProgramsThatTheSimulatorStartsGetDefaultSignals) {
  TemporaryDirectory directory;
  const std::string signals = directory.path + "/signals";
  const std::string program = directory.write(
      "program", "#!/bin/bash\nexec > " + signals + "\ngrep SigIgn /proc/self/status\nsleep 60\n");
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  ChildProcess simulator({SIMULATOR_PATH, "--directory", directory.path + "/region", "--program",
                          program, "--port", "0"},
                         directory.path + "/region.log");
  std::string name;
  std::string ignored;
  for (int i = 0; i < 200 && ignored.empty(); ++i) {
    usleep(20000);
    std::ifstream(signals) >> name >> ignored;
  }
  ASSERT_EQ(name, "SigIgn:");
  EXPECT_EQ(std::stoull(ignored, nullptr, 16) & kBrokenPipe, 0U);
}

// Returns a mask of signals from a status file of the system, such as "SigBlk".
std::uint64_t signalsIn(const std::filesystem::path& status, const std::string& mask) {
  std::ifstream file(status);
  for (std::string name, value; file >> name;) {
    if (name == mask + ":" && file >> value) return std::stoull(value, nullptr, 16);
  }
  return 0;
}

// Counts the threads of this process that block SIGPIPE.
int threadsThatBlockBrokenPipes() {
  int count = 0;
  for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task")) {
    count += (signalsIn(thread.path() / "status", "SigBlk") & kBrokenPipe) != 0 ? 1 : 0;
  }
  return count;
}

// Guards against a client library that ends its host by SIGPIPE, or that changes the host's
// signals.
TEST(BrokenPipes, TheClientLibraryKeepsBrokenPipesToItsOwnThread) {
  std::signal(SIGPIPE, SIG_DFL);
  const int before = threadsThatBlockBrokenPipes();
  client::Settings settings;
  settings.servers = {"127.0.0.1:9"};
  settings.team = "herbarium";
  client::Client client(settings);
  EXPECT_EQ(threadsThatBlockBrokenPipes(), before + 1);
  EXPECT_EQ(signalsIn("/proc/thread-self/status", "SigBlk") & kBrokenPipe, 0U);
  EXPECT_EQ(signalsIn("/proc/self/status", "SigIgn") & kBrokenPipe, 0U);
}

// Guards against a socket that gets the number of a closed standard stream, and so its output.
TEST(BrokenPipes, ClosedStandardStreamsAreReplaced) {
  const pid_t child = fork();
  if (child == 0) {
    close(STDOUT_FILENO);
    close(STDERR_FILENO);
    openClosedStandardStreams();
    _exit(socket(AF_INET, SOCK_STREAM, 0) > STDERR_FILENO ? 0 : 1);
  }
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace kestrelhoist
