// Reads the statements of a Snakefile. This module splits the file into lines by indentation, and
// snake_expr parses the expressions in them.
#include <algorithm>
#include <set>

#include "rules/snake.hpp"

namespace kestrelhoist::rules {
namespace {

bool nameChar(char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_'; }

// Describes one logical line. A logical line continues over several physical lines inside brackets
// and quotes and after a backslash.
struct Line {
  std::size_t indent{};
  // These are the offsets of the text without indentation and newline.
  std::size_t begin{}, end{};
};

class Reader {
 public:
  Reader(const PlanRequest& request, SnakeFile& out) : request_(request), out_(out) {
    env_.limits = &request.limits;
    env_.files = request.sources;
    // expand accepts the function zip as an argument, so zip is defined as a variable.
    env_.names["zip"] = Value::of(std::string("zip"));
  }

  void file(const std::string& name, const Place& from, std::size_t depth) {
    if (depth > request_.limits.depth)
      throw RuleError(from, "files include one another too deeply");
    auto text = request_.read(name);
    if (!text) throw RuleError(from, "there is no file " + name);
    if (text->size() > request_.limits.fileBytes) {
      throw RuleError({name},
                      "is larger than " + std::to_string(request_.limits.fileBytes) + " bytes");
    }
    env_.spend(1, text->size(), from);
    out_.read.push_back(name);
    Source source{name, *text};
    auto lines = linesOf(source);
    for (std::size_t i = 0; i < lines.size();) i = statement(source, lines, i, depth);
  }

  SnakeEnv& env() { return env_; }

 private:
  std::vector<Line> linesOf(const Source& s) {
    std::vector<Line> out;
    std::string_view t = s.text;
    for (std::size_t i = 0; i < t.size();) {
      std::size_t start = i, indent = 0;
      while (i < t.size() && (t[i] == ' ' || t[i] == '\t'))
        indent = t[i++] == '\t' ? indent / 8 * 8 + 8 : indent + 1;
      if (i < t.size() && (t[i] == '\n' || t[i] == '\r' || t[i] == '#')) {
        while (i < t.size() && t[i] != '\n') ++i;
        if (i < t.size()) ++i;
        continue;
      }
      if (i >= t.size()) break;
      (void)start;
      std::size_t begin = i;
      i = endOf(s, i);
      std::size_t end = i;
      if (i < t.size()) ++i;
      out.push_back({indent, begin, end});
    }
    return out;
  }

  std::size_t endOf(const Source& s, std::size_t i) {
    std::string_view t = s.text;
    std::size_t open = 0;
    while (i < t.size()) {
      char c = t[i];
      if (c == '#') {
        while (i < t.size() && t[i] != '\n') ++i;
        continue;
      }
      if (c == '"' || c == '\'') {
        i = afterString(s, i);
        continue;
      }
      if (c == '\\' && i + 1 < t.size()) {
        i += 2;
        continue;
      }
      if (c == '(' || c == '[' || c == '{') ++open;
      if ((c == ')' || c == ']' || c == '}') && open > 0) --open;
      if (c == '\n' && open == 0) return i;
      ++i;
    }
    if (open > 0) throw RuleError(s.at(t.size()), "a bracket is not closed");
    return i;
  }

  std::size_t afterString(const Source& s, std::size_t i) {
    std::string_view t = s.text;
    char q = t[i];
    std::size_t begin = i;
    std::string three(3, q);
    bool isLong = t.compare(i, 3, three) == 0;
    i += isLong ? 3 : 1;
    while (i < t.size()) {
      if (t[i] == '\\') {
        i += 2;
      } else if (isLong ? t.compare(i, 3, three) == 0 : t[i] == q) {
        return i + (isLong ? 3 : 1);
      } else if (!isLong && t[i] == '\n') {
        break;
      } else {
        ++i;
      }
    }
    throw RuleError(s.at(begin), "a string is not closed");
  }

  static std::string wordAt(const Source& s, std::size_t at) {
    std::size_t end = at;
    while (end < s.text.size() && nameChar(s.text[end])) ++end;
    return std::string(s.text.substr(at, end - at));
  }

  static std::size_t skipBlank(const Source& s, std::size_t at, std::size_t end) {
    while (at < end && (s.text[at] == ' ' || s.text[at] == '\t')) ++at;
    return at;
  }

  // Returns the index after the block of line `i`. The block consists of the following lines that
  // are indented more deeply.
  static std::size_t blockEnd(const std::vector<Line>& lines, std::size_t i) {
    std::size_t k = i + 1;
    while (k < lines.size() && lines[k].indent > lines[i].indent) ++k;
    return k;
  }

  // Holds the text range of a directive, from its colon to the end of its block, and the index of
  // the line after the block.
  struct Body {
    std::size_t begin, end, next;
  };
  Body bodyOf(const Source& s, const std::vector<Line>& lines, std::size_t i, std::size_t colon) {
    std::size_t next = blockEnd(lines, i);
    (void)s;
    return {colon + 1, lines[next - 1].end, next};
  }

  std::size_t statement(const Source& s, const std::vector<Line>& lines, std::size_t i,
                        std::size_t depth) {
    const Line& line = lines[i];
    Place place = s.at(line.begin);
    if (line.indent != 0) throw RuleError(place, "is indented without a statement above it");
    std::string word = wordAt(s, line.begin);
    std::size_t after = skipBlank(s, line.begin + word.size(), line.end);
    char next = after < line.end ? s.text[after] : '\n';
    if (word == "rule" || word == "checkpoint") return rule(s, lines, i, word == "checkpoint");
    static const std::set<std::string> python{
        "import", "from", "def",    "class",  "if",    "for",   "while", "with", "try",
        "assert", "del",  "global", "return", "raise", "print", "async", "else", "elif"};
    if (python.contains(word))
      throw RuleError(place, "'" + word + "' is not supported: it needs Python", word);
    if (next == ':') {
      Body body = bodyOf(s, lines, i, after);
      if (word == "include") {
        for (const auto& v : parseArgs(s, body.begin, body.end, env_).positional)
          file(relativeTo(s.file, v.str()), place, depth + 1);
      } else if (word == "configfile") {
        for (const auto& v : parseArgs(s, body.begin, body.end, env_).positional)
          configFile(v.str(), place);
      } else if (word == "ruleorder") {
        out_.order.push_back(names(s, body.begin, body.end, '>'));
      } else if (word == "localrules") {
        for (const auto& n : names(s, body.begin, body.end, ',')) out_.localRules.push_back(n);
      } else if (word == "wildcard_constraints") {
        constraints(parseArgs(s, body.begin, body.end, env_), out_.constraints);
      } else {
        throw RuleError(place, "'" + word + ":' is not supported", word);
      }
      return body.next;
    }
    if (s.text[line.begin] == '"' || s.text[line.begin] == '\'')
      return i + 1;  // A string statement serves as a comment.
    assignment(s, line, place);
    return i + 1;
  }

  // Handles "NAME = expression" and "NAME, NAME = expression". An assignment to an element such as
  // config["name"] is rejected.
  void assignment(const Source& s, const Line& line, const Place& place) {
    std::vector<std::string> names;
    std::size_t at = line.begin;
    bool several = false;
    while (true) {
      std::string name = wordAt(s, at);
      if (name.empty()) break;
      names.push_back(name);
      at = skipBlank(s, at + name.size(), line.end);
      if (at >= line.end || s.text[at] != ',') break;
      several = true;
      at = skipBlank(s, at + 1, line.end);
    }
    if (names.empty() || at >= line.end || s.text[at] != '=' ||
        (at + 1 < line.end && s.text[at + 1] == '=')) {
      throw RuleError(place, "this statement is not supported: it needs Python", "statement");
    }
    Value v = parseExpr(s, at + 1, line.end, env_);
    if (!several) {
      env_.names[names[0]] = std::move(v);
      return;
    }
    // The result of glob_wildcards is a dictionary whose lists are in the order of the wildcards.
    std::vector<Value> values = v.items;
    if (v.kind == Value::Kind::dict) {
      for (auto& [name, value] : v.fields) values.push_back(std::move(value));
    }
    if (values.size() != names.size()) {
      throw RuleError(place, std::to_string(names.size()) + " names for " +
                                 std::to_string(values.size()) + " values");
    }
    for (std::size_t k = 0; k < names.size(); ++k) env_.names[names[k]] = values[k];
  }

  static std::string relativeTo(const std::string& file, const std::string& name) {
    if (name.starts_with("/")) return name;
    auto slash = file.rfind('/');
    return slash == std::string::npos ? name : file.substr(0, slash + 1) + name;
  }

  void configFile(const std::string& name, const Place& place) {
    auto text = request_.read(name);
    if (!text) throw RuleError(place, "there is no file " + name);
    if (text->size() > request_.limits.fileBytes) throw RuleError({name}, "is too large");
    env_.spend(text->size(), text->size(), place);
    out_.read.push_back(name);
    Value v = valueFromYaml(*text, name, request_.limits);
    for (auto& [key, value] : v.fields) env_.config.put(key, std::move(value));
    // Settings of the plan request override the configuration file.
    for (const auto& [key, value] : request_.config) env_.config.put(key, configValue(value));
  }

 public:
  static Value configValue(const std::string& text) {
    std::int64_t n = 0;
    if (!text.empty() && text.size() < 18 &&
        text.find_first_not_of("0123456789") == std::string::npos) {
      n = std::stoll(text);
      return Value::of(n);
    }
    return Value::of(text);
  }

 private:
  std::vector<std::string> names(const Source& s, std::size_t begin, std::size_t end,
                                 char separator) {
    std::vector<std::string> out;
    std::size_t at = begin;
    auto skip = [&] {
      while (at < end && std::isspace(static_cast<unsigned char>(s.text[at]))) ++at;
    };
    while (true) {
      skip();
      std::string name = wordAt(s, at);
      if (name.empty()) throw RuleError(s.at(at), "a rule's name is expected");
      out.push_back(name);
      at += name.size();
      skip();
      if (at >= end) return out;
      if (s.text[at] != separator)
        throw RuleError(s.at(at), std::string("'") + separator + "' is expected");
      ++at;
    }
  }

  static void constraints(const Args& a, std::map<std::string, std::string>& into) {
    for (const auto& [name, value] : a.named) into[name] = value.str();
  }

  std::size_t rule(const Source& s, const std::vector<Line>& lines, std::size_t i,
                   bool checkpoint) {
    const Line& line = lines[i];
    SnakeRule r;
    r.place = s.at(line.begin);
    r.checkpoint = checkpoint;
    std::size_t at = skipBlank(s, line.begin + (checkpoint ? 10 : 4), line.end);
    r.name = wordAt(s, at);
    at = skipBlank(s, at + r.name.size(), line.end);
    if (at >= line.end || s.text[at] != ':')
      throw RuleError(s.at(at), "':' is expected after the rule's name");
    if (r.name.empty()) r.name = std::to_string(out_.rules.size() + 1);
    for (const auto& other : out_.rules) {
      if (other.name == r.name)
        throw RuleError(r.place, "there is a rule " + r.name + " already, at " + other.place.str());
    }
    std::size_t end = blockEnd(lines, i);
    for (std::size_t k = i + 1; k < end;) {
      if (lines[k].indent != lines[i + 1].indent)
        throw RuleError(s.at(lines[k].begin), "is not indented like the directives above");
      k = directive(s, lines, k, r);
    }
    if (out_.rules.size() >= FlowGraph::kMaxRules) throw RuleError(r.place, "too many rules");
    out_.rules.push_back(std::move(r));
    return end;
  }

  std::size_t directive(const Source& s, const std::vector<Line>& lines, std::size_t k,
                        SnakeRule& r) {
    const Line& line = lines[k];
    Place place = s.at(line.begin);
    if (s.text[line.begin] == '"' || s.text[line.begin] == '\'')
      return k + 1;  // A string statement serves as a comment.
    std::string word = wordAt(s, line.begin);
    std::size_t colon = skipBlank(s, line.begin + word.size(), line.end);
    if (word.empty() || colon >= line.end || s.text[colon] != ':')
      throw RuleError(place, "a directive is expected");
    Body body = bodyOf(s, lines, k, colon);
    static const std::set<std::string> refused{
        "run",        "script",   "notebook",  "wrapper",        "cwl",
        "shadow",     "conda",    "container", "singularity",    "containerized",
        "envmodules", "handover", "cache",     "template_engine"};
    if (refused.contains(word)) throw RuleError(place, "'" + word + ":' is not supported", word);
    auto args = [&] { return parseArgs(s, body.begin, body.end, env_); };
    auto one = [&] {
      Args a = args();
      if (a.positional.size() != 1 || !a.named.empty())
        throw RuleError(place, word + " takes one value");
      return a.positional[0];
    };
    auto whole = [&](std::int64_t least) {
      Value v = one();
      if (v.kind != Value::Kind::integer || v.n < least || v.n > 1000000)
        throw RuleError(place, word + " takes a whole number");
      return v.n;
    };
    if (word == "input") {
      r.inputs = files(args(), place);
    } else if (word == "output") {
      r.outputs = files(args(), place);
    } else if (word == "params") {
      r.params = args();
    } else if (word == "shell") {
      Value v = one();
      if (v.kind != Value::Kind::text) throw RuleError(place, "shell takes a text");
      r.shell = v.s;
      r.shellPlace = place;
    } else if (word == "threads") {
      r.threads = whole(1);
    } else if (word == "priority") {
      Value v = one();
      if (v.kind != Value::Kind::integer || std::abs(v.n) > 1000000)
        throw RuleError(place, "priority takes a whole number");
      r.priority = v.n;
    } else if (word == "retries") {
      r.retries = whole(0);
    } else if (word == "resources") {
      Args a = args();
      if (!a.positional.empty()) throw RuleError(place, "resources are named");
      for (auto& [name, value] : a.named) r.resources[name] = value;
    } else if (word == "log") {
      SnakeFiles f = files(args(), place);
      if (f.files.size() != 1) throw RuleError(place, "log takes one file");
      r.log = f.files[0].s;
    } else if (word == "benchmark") {
      r.benchmark = one().str();
    } else if (word == "group") {
      r.group = one().str();
    } else if (word == "wildcard_constraints") {
      constraints(args(), r.constraints);
    } else if (word == "default_target") {
      r.defaultTarget = one().b;
    } else if (word == "message" || word == "name") {
      Value v = one();
      if (word == "name") r.name = v.str();
    } else {
      throw RuleError(place, "'" + word + ":' is not known", word);
    }
    return body.next;
  }

  SnakeFiles files(const Args& a, const Place& place) {
    SnakeFiles out;
    auto add = [&](const Value& v, const Place& at, const auto& self, std::size_t depth) -> void {
      if (depth > 20) throw RuleError(at, "is nested too deeply");
      if (v.kind == Value::Kind::text) {
        if (v.s.empty()) throw RuleError(at, "a file name is empty");
        out.files.push_back(v);
        out.places.push_back(at);
      } else if (v.kind == Value::Kind::list) {
        for (const auto& item : v.items) self(item, at, self, depth + 1);
      } else {
        throw RuleError(at, std::string("a file's name is expected, not ") + v.kindName());
      }
    };
    (void)place;
    for (std::size_t i = 0; i < a.positional.size(); ++i) add(a.positional[i], a.places[i], add, 0);
    for (std::size_t i = 0; i < a.named.size(); ++i) {
      std::size_t first = out.files.size();
      add(a.named[i].second, a.places[a.positional.size() + i], add, 0);
      out.names.push_back({a.named[i].first, {first, out.files.size() - first}});
    }
    return out;
  }

  const PlanRequest& request_;
  SnakeFile& out_;
  SnakeEnv env_;
};

}  // namespace

SnakeFile readSnakefile(const PlanRequest& request) {
  SnakeFile out;
  Reader reader(request, out);
  for (const auto& [key, value] : request.config)
    reader.env().config.put(key, Reader::configValue(value));
  reader.file(request.file, {request.file}, 0);
  if (out.rules.empty()) throw RuleError({request.file}, "has no rules");
  out.config = reader.env().config;
  return out;
}

}  // namespace kestrelhoist::rules
