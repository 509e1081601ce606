// Runs one controller of the cluster scheduler kestrelhoist.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <random>

#include "app/servers.hpp"
#include "base/http.hpp"
#include "base/log.hpp"
#include "base/process_signals.hpp"

namespace kh = kestrelhoist;

int main(int argc, char** argv) {
  kh::openClosedStandardStreams();
  kh::ignoreBrokenPipes();
  kh::ignoreTerminalHangup();
  CLI::App app{"kestrelhoist, a cluster scheduler: runs one controller until it is killed"};
  std::string config, operatorFile;
  bool check = false;
  app.add_option("--config", config, "the platform's settings (TOML)")->required();
  app.add_option("--operator", operatorFile, "the operator's own settings (JSON), optional");
  std::string logFormat = "text";
  app.add_option("--log-format", logFormat, "text, or json: one object a line")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", "kestrelhoist " KESTRELHOIST_VERSION);
  app.footer("LOG_LEVEL (error, info, debug) sets how much is logged to standard error.");
  CLI11_PARSE(app, argc, argv);

  kh::Platform platform;
  kh::OperatorSettings settings;
  try {
    platform = kh::loadPlatform(config);
    if (!operatorFile.empty()) settings = kh::loadOperatorSettings(operatorFile);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kestrelhoist: %s\n", e.what());
    return 2;
  }
  if (check) {
    std::printf("settings are valid\n");
    return 0;
  }
  if (!kh::setupLogging(platform.member.value,
                        logFormat == "json" ? kh::LogFormat::json : kh::LogFormat::text)) {
    kh::logInfo("LOG_LEVEL is not one of error, info, debug: using info");
  }
  // Both threads share one arena, and freed memory is returned to the system, because the smallest
  // machine has only 40 MB.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);

  try {
    kh::EventLoop loop;
    kh::EvHttpClient http(loop, platform.maxConnections / 3);
    kh::ThreadPlanRunner planner([&loop](std::function<void()> f) { loop.post(std::move(f)); });
    std::random_device random;
    std::string incarnation = std::to_string(loop.wallMillis()) + "-" + std::to_string(random());
    kh::Controller controller(loop, http, planner, platform, settings, incarnation);
    kh::Servers servers(loop, http, platform, settings.members, controller);
    kh::logInfo("kestrelhoist starts", "version", KESTRELHOIST_VERSION, "zone", platform.zone,
                "api", platform.apiAddress, "mesh", platform.meshAddress);
    controller.start();
    loop.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kestrelhoist: %s\n", e.what());
    return 1;
  }
  return 0;
}
