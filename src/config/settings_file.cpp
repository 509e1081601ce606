#include "config/settings_file.hpp"

#include <fstream>
#include <stdexcept>

namespace kestrelhoist {

std::string readSettingsFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  std::string content(kMaxSettingsBytes + 1, '\0');
  in.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (in.bad()) throw std::runtime_error(file + ": cannot be read");
  content.resize(static_cast<std::size_t>(in.gcount()));
  if (content.size() > kMaxSettingsBytes) throw std::runtime_error(file + ": is too long");
  return content;
}

}  // namespace kestrelhoist
