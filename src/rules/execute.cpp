#include "rules/execute.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace kestrelhoist::rules {
namespace fs = std::filesystem;

bool staysInside(const std::string& name) {
  fs::path p(name);
  if (name.empty() || p.is_absolute() || name.find('\0') != std::string::npos) return false;
  return std::none_of(p.begin(), p.end(), [](const fs::path& part) { return part == ".."; });
}

std::string prepare(const std::string& directory, const PlannedInstance& instance) {
  std::error_code error;
  fs::path root(directory);
  auto parentOf = [&](const std::string& name) -> std::string {
    if (!staysInside(name)) return name + " is not below the flow's directory";
    fs::create_directories((root / name).parent_path(), error);
    return error ? "the directory of " + name + " can't be made: " + error.message() : "";
  };
  for (std::size_t i = 0; i < instance.outputs.size(); ++i) {
    if (auto why = parentOf(instance.outputs[i]); !why.empty()) return why;
    // An output of an earlier attempt is removed, because it may be read-only and must not count as
    // an output of this attempt.
    if (!instance.flags[i].touch && !instance.lenient)
      fs::remove_all(root / instance.outputs[i], error);
    if (instance.flags[i].directory) fs::create_directories(root / instance.outputs[i], error);
  }
  if (!instance.log.empty()) return parentOf(instance.log);
  return "";
}

std::string conclude(const std::string& directory, const PlannedInstance& instance, bool succeeded,
                     double seconds) {
  fs::path root(directory);
  std::error_code error;
  std::string why;
  if (!succeeded) why = "its command failed";
  if (succeeded && !instance.benchmark.empty()) {
    std::ofstream out(root / instance.benchmark);
    char line[80];
    int s = static_cast<int>(seconds);
    std::snprintf(line, sizeof line, "%.4f\t%d:%02d:%02d\n", seconds, s / 3600, s / 60 % 60,
                  s % 60);
    out << "s\th:m:s\n" << line;
  }
  for (std::size_t i = 0; i < instance.outputs.size() && why.empty(); ++i) {
    fs::path path = root / instance.outputs[i];
    if (instance.flags[i].touch) {
      if (!fs::exists(path, error)) std::ofstream(path, std::ios::app);
      fs::last_write_time(path, fs::file_time_type::clock::now(), error);
    }
    if (!instance.lenient && !fs::exists(path, error))
      why = "it did not make " + instance.outputs[i];
  }
  for (std::size_t i = 0; i < instance.outputs.size(); ++i) {
    fs::path path = root / instance.outputs[i];
    if (!why.empty() && instance.deleteOnError) fs::remove_all(path, error);
    if (why.empty() && instance.flags[i].guarded) {
      fs::permissions(path,
                      fs::perms::owner_write | fs::perms::group_write | fs::perms::others_write,
                      fs::perm_options::remove, error);
    }
  }
  return why;
}

std::vector<std::string> filesBelow(const std::string& directory, std::size_t most) {
  std::vector<std::string> out;
  std::error_code error;
  fs::path root(directory);
  fs::recursive_directory_iterator it(root, fs::directory_options::skip_permission_denied, error),
      end;
  for (; !error && it != end && out.size() < most; it.increment(error)) {
    std::string name = it->path().filename().string();
    if (name.starts_with(".")) {
      if (it->is_directory(error)) it.disable_recursion_pending();
      continue;
    }
    if (it->is_regular_file(error)) out.push_back(it->path().lexically_relative(root).string());
  }
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace kestrelhoist::rules
