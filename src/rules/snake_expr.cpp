#include "rules/snake_expr.hpp"

#include <algorithm>
#include <set>

#include "rules/snake_functions.hpp"
#include "rules/snake_grammar.hpp"

namespace kestrelhoist::rules {
namespace {

namespace peg = tao::pegtl;
using Node = peg::parse_tree::node;

// Returns the name of the Python construct at the start of the text that the grammar did not
// accept.
std::string constructAt(std::string_view rest) {
  auto word = [&] {
    std::size_t n = 0;
    while (n < rest.size() && (std::isalnum(static_cast<unsigned char>(rest[n])) || rest[n] == '_'))
      ++n;
    return std::string(rest.substr(0, n));
  }();
  if (word == "if" || word == "else") return "conditional expression";
  if (word == "for") return "comprehension";
  if (word == "lambda") return "lambda";
  if (word == "and" || word == "or" || word == "not" || word == "in" || word == "is") {
    return "operator '" + word + "'";
  }
  if (rest.empty()) return "end of the file";
  if (rest.substr(0, 2) == "**") return "unpacking";
  if (std::string_view("*/%-<>=!&|^~@:").find(rest[0]) != std::string_view::npos) {
    return std::string("operator '") + rest[0] + "'";
  }
  return "'" + (word.empty() ? std::string(1, rest[0]) : word) + "'";
}

class Eval {
 public:
  Eval(const Source& source, std::size_t base, SnakeEnv& env)
      : source_(source), base_(base), env_(env) {}

  // n.begin() must not be called, because it builds a position with the source name. The node keeps
  // only a view of that name into the parser input, and the input is destroyed when treeOf returns.
  Place place(const Node& n) const { return source_.at(base_ + n.m_begin.byte); }

  [[noreturn]] void refuse(const Node& n, const std::string& construct,
                           const std::string& why = "is not supported: it needs Python") const {
    rules::refuse(place(n), construct, why);
  }

  Value expr(const Node& n) {
    Value sum = postfix(*n.children.at(0));
    for (std::size_t i = 1; i < n.children.size(); ++i) {
      Value next = postfix(*n.children[i]);
      using Kind = Value::Kind;
      if (sum.kind == Kind::text && next.kind == Kind::text) {
        sum.s += next.s;
        env_.spend(1, next.s.size(), place(n));
      } else if (sum.kind == Kind::list && next.kind == Kind::list) {
        env_.spend(next.items.size(), 0, place(n));
        sum.items.insert(sum.items.end(), next.items.begin(), next.items.end());
      } else if (sum.kind == Kind::integer && next.kind == Kind::integer) {
        sum.n = static_cast<std::int64_t>(static_cast<std::uint64_t>(sum.n) +
                                          static_cast<std::uint64_t>(next.n));
      } else {
        refuse(n, "operator '+'",
               std::string("can't join ") + sum.kindName() + " and " + next.kindName());
      }
    }
    return sum;
  }

  Args args(const Node& n) {
    Args out;
    std::vector<Place> named;
    for (const auto& child : n.children) {
      if (child->is_type<g::named>()) {
        out.named.emplace_back(child->children.at(0)->string(), expr(*child->children.at(1)));
        named.push_back(place(*child));
      } else {
        if (!out.named.empty())
          throw RuleError(place(*child), "a positional argument after a named one");
        out.positional.push_back(expr(*child));
        out.places.push_back(place(*child));
      }
    }
    out.places.insert(out.places.end(), named.begin(), named.end());
    return out;
  }

 private:
  Value postfix(const Node& n) {
    const Node& atom = *n.children.at(0);
    std::size_t at = 1;
    Value v;
    if (atom.is_type<g::name>()) {
      v = named(n, atom, at);
    } else {
      v = literalOf(atom);
    }
    for (; at < n.children.size(); ++at) {
      const Node& t = *n.children[at];
      if (t.is_type<g::index>()) {
        v = indexed(v, expr(*t.children.at(0)), t);
      } else if (t.is_type<g::attribute>()) {
        std::string method = attributeName(t);
        bool called = at + 1 < n.children.size() && n.children[at + 1]->is_type<g::call>();
        if (!called) refuse(t, "attribute '" + method + "'");
        v = methodOf(v, method, args(callArgs(*n.children[++at])), t);
      } else {
        refuse(t, "call");
      }
    }
    return v;
  }

  static std::string attributeName(const Node& n) {
    std::string text = n.string();
    text.erase(0, text.find_first_not_of(" \t\r\n."));
    return text;
  }

  static const Node& callArgs(const Node& call) { return *call.children.at(0); }

  Value literalOf(const Node& n) {
    env_.spend(1, 0, place(n));
    if (n.is_type<g::strings>()) {
      Value v = Value::of(std::string());
      for (const auto& part : n.children) v.s += stringOf(*part);
      env_.spend(1, v.s.size(), place(n));
      return v;
    }
    if (n.is_type<g::number>()) {
      std::string text = n.string();
      if (text.find_first_of(".eE") == std::string::npos) {
        if (text.size() > 18) refuse(n, "number", "is too large");
        return Value::of(static_cast<std::int64_t>(std::stoll(text)));
      }
      return Value::of(std::strtod(text.c_str(), nullptr));
    }
    if (n.is_type<g::list>()) {
      Value v = Value::list();
      for (const auto& item : n.children) v.items.push_back(expr(*item));
      return v;
    }
    if (n.is_type<g::tuple>()) {
      // A single expression in parentheses is not a tuple.
      if (n.children.size() == 1) return expr(*n.children[0]);
      Value v = Value::list();
      for (const auto& item : n.children) v.items.push_back(expr(*item));
      return v;
    }
    if (n.is_type<g::dict>()) {
      Value v = Value::dict();
      for (const auto& p : n.children)
        v.put(expr(*p->children.at(0)).str(), expr(*p->children.at(1)));
      return v;
    }
    refuse(n, "expression");
  }

  Value named(const Node& n, const Node& atom, std::size_t& at) {
    std::string name = atom.string();
    static const std::set<std::string> keywords{"lambda", "if", "else", "for",   "not",  "and",
                                                "or",     "in", "is",   "await", "yield"};
    if (keywords.contains(name)) refuse(atom, constructAt(name));
    if (name == "True" || name == "False") return Value::truth(name == "True");
    if (name == "None") return {};
    bool called = at < n.children.size() && n.children[at]->is_type<g::call>();
    if (called) {
      const Node& call = *n.children[at++];
      Value v = function(name, call, atom);
      // The result of glob_wildcards has one attribute per wildcard name.
      if (name == "glob_wildcards" && at < n.children.size() &&
          n.children[at]->is_type<g::attribute>()) {
        std::string which = attributeName(*n.children[at]);
        const Value* list = v.find(which);
        if (!list) throw RuleError(place(*n.children[at]), "no wildcard is called " + which);
        ++at;
        return *list;
      }
      return v;
    }
    if (name == "config") return env_.config;
    auto it = env_.names.find(name);
    if (it == env_.names.end())
      refuse(atom, "name '" + name + "'", "is not defined here, or needs Python");
    return it->second;
  }

  Value indexed(const Value& v, const Value& key, const Node& n) {
    if (v.kind == Value::Kind::dict) {
      const Value* found = v.find(key.str());
      if (!found) throw RuleError(place(n), "nothing is set for '" + key.str() + "'");
      return *found;
    }
    if (v.kind == Value::Kind::list && key.kind == Value::Kind::integer) {
      std::int64_t i = key.n < 0 ? key.n + static_cast<std::int64_t>(v.items.size()) : key.n;
      if (i < 0 || i >= static_cast<std::int64_t>(v.items.size())) {
        throw RuleError(place(n), "the list has " + std::to_string(v.items.size()) + " items");
      }
      return v.items[static_cast<std::size_t>(i)];
    }
    refuse(n, "index", std::string("of ") + v.kindName());
  }

  Value methodOf(const Value& v, const std::string& method, const Args& a, const Node& n) {
    if (v.kind == Value::Kind::text && method == "format")
      return Value::of(format(v.s, a, place(n), env_));
    if (v.kind == Value::Kind::dict && method == "get" && !a.positional.empty()) {
      if (const Value* found = v.find(a.positional[0].str())) return *found;
      return a.positional.size() > 1 ? a.positional[1] : Value{};
    }
    refuse(n, "method '" + method + "'");
  }

  // Returns the value of a string literal after handling its prefix, quotes and escapes.
  std::string stringOf(const Node& n) {
    std::string text = n.string();
    std::size_t q = text.find_first_of("\"'");
    std::string prefix = text.substr(0, q);
    bool raw = prefix.find_first_of("rR") != std::string::npos;
    bool f = prefix.find_first_of("fF") != std::string::npos;
    if (prefix.find_first_of("bB") != std::string::npos) refuse(n, "bytes literal");
    std::size_t quotes =
        text.compare(q, 3, std::string(3, text[q])) == 0 && text.size() >= q + 6 ? 3 : 1;
    std::string body = text.substr(q + quotes, text.size() - q - 2 * quotes);
    if (!raw) body = unescape(body);
    return f ? interpolated(body, n) : body;
  }

  static std::string unescape(const std::string& in) {
    std::string out;
    for (std::size_t i = 0; i < in.size(); ++i) {
      if (in[i] != '\\' || i + 1 == in.size()) {
        out += in[i];
        continue;
      }
      char c = in[++i];
      switch (c) {
        case 'n':
          out += '\n';
          break;
        case 't':
          out += '\t';
          break;
        case 'r':
          out += '\r';
          break;
        case '\n':
          break;
        case '\\':
        case '\'':
        case '"':
          out += c;
          break;
        default:
          out += '\\';
          out += c;
      }
    }
    return out;
  }

  // Replaces each {expression} of an f-string by its value. {{ and }} are escaped braces.
  std::string interpolated(const std::string& body, const Node& n) {
    std::string out = fillBraces(body, place(n), [&](const std::string& inner) {
      if (inner.find('{') != std::string::npos || inner.find('!') != std::string::npos) {
        refuse(n, "f-string conversion");
      }
      Source source{place(n).str(), inner};
      return parseExpr(source, 0, inner.size(), env_).str();
    });
    env_.spend(1, out.size(), place(n));
    return out;
  }

  Value function(const std::string& name, const Node& call, const Node& at) {
    static const std::set<std::string> flagNames{"temp",      "temporary", "protected",
                                                 "directory", "touch",     "ancient"};
    if (flagNames.contains(name)) return flagged(name, args(callArgs(call)), place(at), env_);
    if (name == "expand") return rules::expand(args(callArgs(call)), place(at), env_);
    if (name == "multiext") return rules::multiext(args(callArgs(call)), place(at), env_);
    if (name == "glob_wildcards")
      return rules::globWildcards(args(callArgs(call)), place(at), env_);
    if (name == "range") return rules::range(args(callArgs(call)), place(at), env_);
    if (name == "str") {
      Args a = args(callArgs(call));
      if (a.positional.size() == 1) return Value::of(a.positional[0].str());
    }
    refuse(at, "function '" + name + "'");
  }

  const Source& source_;
  std::size_t base_;
  SnakeEnv& env_;
};

// Returns the offset of the construct that the grammar did not accept. The grammar stops at the
// start of the outermost expression that it can't parse. The unsupported keyword or operator
// follows that position or is the word just before it.
std::size_t findUnsupported(std::string_view text, std::size_t stopped) {
  static const std::set<std::string_view> keywords{"lambda", "for", "if", "else",  "and",  "or",
                                                   "not",    "in",  "is", "await", "yield"};
  auto isWord = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_'; };
  std::size_t end = stopped;
  while (end > 0 && std::isspace(static_cast<unsigned char>(text[end - 1]))) --end;
  std::size_t start = end;
  while (start > 0 && isWord(text[start - 1])) --start;
  if (keywords.contains(text.substr(start, end - start))) return start;
  for (std::size_t i = stopped; i < text.size();) {
    char c = text[i];
    if (c == '#') {
      while (i < text.size() && text[i] != '\n') ++i;
    } else if (c == '"' || c == '\'') {
      std::string_view three = text.substr(i, 3);
      std::size_t quotes = three.size() == 3 && three[1] == c && three[2] == c ? 3 : 1;
      auto close = text.find(std::string(quotes, c), i + quotes);
      if (close == std::string_view::npos) break;
      i = close + quotes;
    } else if (isWord(c)) {
      std::size_t begin = i;
      while (i < text.size() && isWord(text[i])) ++i;
      if (keywords.contains(text.substr(begin, i - begin))) return begin;
    } else if (std::string_view("*/%<>!&|^~@").find(c) != std::string_view::npos) {
      return i;
    } else {
      ++i;
    }
  }
  return stopped;
}

template <typename Rule>
std::unique_ptr<Node> treeOf(const Source& source, std::size_t begin, std::size_t end,
                             SnakeEnv& env) {
  std::string_view text = source.text.substr(begin, end - begin);
  // The parser recurses once per nesting level, so the nesting is limited before parsing.
  std::size_t depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '(' || text[i] == '[' || text[i] == '{') {
      if (++depth > 4 * env.limits->depth)
        throw RuleError(source.at(begin + i), "is nested too deeply");
    } else if ((text[i] == ')' || text[i] == ']' || text[i] == '}') && depth > 0) {
      --depth;
    }
  }
  env.spend(text.size(), 0, source.at(begin));
  peg::memory_input<> in(text.data(), text.data() + text.size(), source.file);
  auto root = peg::parse_tree::parse<Rule, g::keep>(in);
  std::size_t stopped = root ? in.byte() : 0;
  if (!root) {
    // The grammar matched nothing, so the error is reported at the first character that is not
    // white space.
    while (stopped < text.size() && std::isspace(static_cast<unsigned char>(text[stopped])))
      ++stopped;
  }
  if (!root || stopped < text.size()) {
    stopped = findUnsupported(text, stopped);
    std::string construct = constructAt(text.substr(stopped));
    throw RuleError(source.at(begin + stopped), construct + " is not supported here", construct);
  }
  return root;
}

}  // namespace

Place Source::at(std::size_t offset) const {
  Place p{file, 1, 1};
  offset = std::min(offset, text.size());
  p.line += static_cast<std::size_t>(
      std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
  auto start = text.substr(0, offset).rfind('\n');
  p.column = start == std::string_view::npos ? offset + 1 : offset - start;
  return p;
}

void SnakeEnv::spend(std::size_t s, std::size_t b, const Place& place) {
  steps += s;
  bytes += b;
  if (steps > limits->steps || bytes > limits->totalBytes) {
    throw RuleError(place, "the file asks for too much: more than " +
                               std::to_string(limits->steps) + " steps or " +
                               std::to_string(limits->totalBytes >> 20) + " MiB");
  }
}

Args parseArgs(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env) {
  auto root = treeOf<g::argsFile>(source, begin, end, env);
  if (root->children.empty()) return {};
  return Eval(source, begin, env).args(*root->children[0]);
}

Value parseExpr(const Source& source, std::size_t begin, std::size_t end, SnakeEnv& env) {
  auto root = treeOf<g::exprFile>(source, begin, end, env);
  return Eval(source, begin, env).expr(*root->children.at(0));
}

}  // namespace kestrelhoist::rules
