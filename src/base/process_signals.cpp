#include "base/process_signals.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

namespace kestrelhoist {

void ignoreBrokenPipes() { std::signal(SIGPIPE, SIG_IGN); }

void blockBrokenPipesInThread() {
  sigset_t brokenPipe;
  sigemptyset(&brokenPipe);
  sigaddset(&brokenPipe, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &brokenPipe, nullptr);
}

void ignoreTerminalHangup() { std::signal(SIGHUP, SIG_IGN); }

void restoreDefaultSignals() {
  std::signal(SIGPIPE, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
}

void openClosedStandardStreams() {
  // open() takes the lowest free number, so this ends with the first one above the streams.
  int fd = 0;
  while (fd >= 0 && fd <= STDERR_FILENO) fd = open("/dev/null", O_RDWR);
  if (fd > STDERR_FILENO) close(fd);
}

}  // namespace kestrelhoist
