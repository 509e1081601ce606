#include "rules/patterns.hpp"

#include <re2/re2.h>

#include <algorithm>

namespace kestrelhoist::rules {
namespace {

bool wordChar(char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_'; }

// Returns the position of the brace that closes "{name}" or "{name,regex}" at `at`, or npos if
// there is none. Braces inside the regex must be balanced.
std::size_t closing(const std::string& text, std::size_t at) {
  int depth = 0;
  for (std::size_t i = at; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
    } else if (text[i] == '{') {
      ++depth;
    } else if (text[i] == '}' && --depth == 0) {
      return i;
    }
  }
  return std::string::npos;
}

}  // namespace

Pattern::Pattern(const std::string& text, const std::map<std::string, std::string>& constraints,
                 const Place& place)
    : text_(text) {
  std::string regex;
  bool inPrefix = true;
  for (std::size_t i = 0; i < text.size();) {
    if (text[i] != '{') {
      std::size_t end = std::min(text.find('{', i), text.size());
      std::string literal = text.substr(i, end - i);
      if (inPrefix) prefix_ += literal;
      regex += re2::RE2::QuoteMeta(literal);
      i = end;
      continue;
    }
    inPrefix = false;
    std::size_t end = closing(text, i);
    if (end == std::string::npos)
      throw RuleError(place, "a brace is not closed in \"" + text + "\"");
    std::string inside = text.substr(i + 1, end - i - 1);
    auto comma = inside.find(',');
    std::string name = inside.substr(0, comma);
    while (!name.empty() && name.back() == ' ') name.pop_back();
    while (!name.empty() && name.front() == ' ') name.erase(0, 1);
    if (name.empty() || !std::all_of(name.begin(), name.end(), wordChar)) {
      throw RuleError(place, "\"" + inside + "\" is not the name of a wildcard");
    }
    std::string constraint = ".+";
    if (comma != std::string::npos) {
      constraint = inside.substr(comma + 1);
      while (!constraint.empty() && constraint.front() == ' ') constraint.erase(0, 1);
    } else if (auto it = constraints.find(name); it != constraints.end()) {
      constraint = it->second;
    }
    regex += "(?P<w" + std::to_string(groups_.size()) + ">" + constraint + ")";
    groups_.push_back(name);
    if (std::find(names_.begin(), names_.end(), name) == names_.end()) names_.push_back(name);
    i = end + 1;
  }
  if (names_.empty()) return;
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(8 << 20);
  regex_ = std::make_shared<re2::RE2>(regex, options);
  if (!regex_->ok()) {
    throw RuleError(place, "the constraints of \"" + text + "\" can't be used: " + regex_->error());
  }
}

std::optional<Wildcards> Pattern::match(const std::string& file) const {
  if (plain()) return file == text_ ? std::optional(Wildcards{}) : std::nullopt;
  if (!file.starts_with(prefix_)) return std::nullopt;
  int count = regex_->NumberOfCapturingGroups() + 1;
  std::vector<re2::StringPiece> parts(static_cast<std::size_t>(count));
  if (!regex_->Match(file, 0, file.size(), re2::RE2::ANCHOR_BOTH, parts.data(), count)) {
    return std::nullopt;
  }
  Wildcards out;
  const auto& named = regex_->NamedCapturingGroups();
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    const auto& part = parts[static_cast<std::size_t>(named.at("w" + std::to_string(i)))];
    std::string value(part.data(), part.size());
    // A wildcard that occurs more than once must have the same value each time.
    auto [it, isNew] = out.emplace(groups_[i], value);
    if (!isNew && it->second != value) return std::nullopt;
  }
  return out;
}

std::string applyWildcards(const std::string& text, const Wildcards& wildcards,
                           const Place& place) {
  std::string out;
  for (std::size_t i = 0; i < text.size();) {
    if (text.compare(i, 2, "{{") == 0 || text.compare(i, 2, "}}") == 0) {
      out += text[i];
      i += 2;
      continue;
    }
    if (text[i] != '{') {
      out += text[i++];
      continue;
    }
    std::size_t end = closing(text, i);
    if (end == std::string::npos)
      throw RuleError(place, "a brace is not closed in \"" + text + "\"");
    std::string name = text.substr(i + 1, end - i - 1);
    name = name.substr(0, name.find(','));
    if (name.starts_with("wildcards.")) name.erase(0, 10);
    auto it = wildcards.find(name);
    if (it == wildcards.end()) {
      throw RuleError(place, "wildcard {" + name + "} is not in the rule's outputs");
    }
    out += it->second;
    i = end + 1;
  }
  return out;
}

}  // namespace kestrelhoist::rules
