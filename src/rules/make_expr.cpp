#include "rules/make_expr.hpp"

#include <fnmatch.h>

#include <algorithm>
#include <set>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace kestrelhoist::rules {
namespace {

namespace peg = tao::pegtl;

// Defines the grammar of $(...), ${...}, $x and $$ in a text. Commas that separate arguments are
// separate nodes of the parse tree.
namespace m {
using namespace tao::pegtl;  // NOLINT: the directive keeps the grammar readable.
struct dollars : string<'$', '$'> {};
struct ref;
struct text : plus<not_one<'$'>> {};
struct letter : seq<one<'$'>, not_at<one<'(', '{', '$'>>, any> {};
struct lone : seq<one<'$'>, eof> {};
template <char Open, char Close>
struct inText : plus<not_one<'$', ',', Open, Close>> {};
struct comma : one<','> {};
template <char Open, char Close>
struct group;
struct open : one<'(', '{'> {};
struct close : one<')', '}'> {};
// Brackets of the same kind must be balanced in arguments, and commas inside of them do not
// separate arguments.
struct rawComma : one<','> {};
template <char Open, char Close>
struct group
    : seq<at<one<Open>>, open,
          star<sor<dollars, ref, letter, group<Open, Close>, rawComma, inText<Open, Close>>>,
          at<one<Close>>, close> {};
template <char Open, char Close>
struct inside : star<sor<dollars, ref, letter, group<Open, Close>, comma, inText<Open, Close>>> {};
struct ref : sor<seq<string<'$', '('>, inside<'(', ')'>, one<')'>>,
                 seq<string<'$', '{'>, inside<'{', '}'>, one<'}'>>> {};
struct all : seq<star<sor<dollars, ref, letter, lone, text>>, eof> {};

template <typename Rule>
using keep =
    parse_tree::selector<Rule,
                         parse_tree::store_content::on<text, letter, dollars, comma, rawComma, open,
                                                       close, inText<'(', ')'>, inText<'{', '}'>>,
                         parse_tree::remove_content::on<ref>>;
}  // namespace m

using Node = peg::parse_tree::node;

constexpr const char* kBlank = " \t\n\r";

}  // namespace

const MakeVariable* MakeScope::find(const std::string& name) const {
  for (const MakeScope* s = this; s; s = s->outer.get()) {
    if (auto it = s->variables.find(name); it != s->variables.end()) return &it->second;
  }
  return nullptr;
}

std::string makeStrip(const std::string& s) {
  auto a = s.find_first_not_of(kBlank);
  if (a == std::string::npos) return "";
  return s.substr(a, s.find_last_not_of(kBlank) - a + 1);
}

std::vector<std::string> makeWords(const std::string& text) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while ((at = text.find_first_not_of(kBlank, at)) != std::string::npos) {
    auto end = std::min(text.find_first_of(kBlank, at), text.size());
    out.push_back(text.substr(at, end - at));
    at = end;
  }
  return out;
}

std::string makeJoin(const std::vector<std::string>& words) {
  std::string out;
  for (const auto& w : words) out += (out.empty() ? "" : " ") + w;
  return out;
}

bool makeMatch(const std::string& pattern, const std::string& word, std::string* stem) {
  auto p = pattern.find('%');
  if (p == std::string::npos) {
    if (stem) stem->clear();
    return pattern == word;
  }
  std::size_t tail = pattern.size() - p - 1;
  if (word.size() < p + tail || word.compare(0, p, pattern, 0, p) != 0 ||
      word.compare(word.size() - tail, tail, pattern, p + 1, tail) != 0) {
    return false;
  }
  if (stem) *stem = word.substr(p, word.size() - p - tail);
  return true;
}

std::string makeSubstitute(const std::string& pattern, const std::string& stem) {
  auto p = pattern.find('%');
  return p == std::string::npos ? pattern : pattern.substr(0, p) + stem + pattern.substr(p + 1);
}

// Expands one text with the variables of one scope.
class MakeCall {
 public:
  MakeCall(MakeExpander& e, const MakeScope& scope, const Place& place)
      : e_(e), scope_(scope), place_(place) {}

  std::string text(const std::string& in) {
    if (in.find('$') == std::string::npos) {
      e_.spend(1, in.size(), place_);
      return in;
    }
    struct Depth {
      std::size_t& d;
      ~Depth() { --d; }
    } depth{e_.depth_};
    if (++e_.depth_ > e_.limits_.depth) fail("a variable needs itself, or is nested too deeply");
    // The parser recurses once per nesting level, so the nesting is limited before parsing.
    std::size_t nest = 0;
    for (char c : in) {
      if (c == '(' || c == '{') ++nest;
      if ((c == ')' || c == '}') && nest > 0) --nest;
      if (nest > 4 * e_.limits_.depth) fail("is nested too deeply");
    }
    e_.spend(in.size() / 8 + 1, 0, place_);
    peg::memory_input<> input(in.data(), in.data() + in.size(), "");
    auto root = peg::parse_tree::parse<m::all, m::keep>(input);
    if (!root) fail("a reference is not closed in \"" + in.substr(0, 80) + "\"");
    return pieces(root->children, 0, root->children.size());
  }

 private:
  using Children = decltype(Node::children);

  [[noreturn]] void fail(const std::string& why, const std::string& construct = "") const {
    throw RuleError(place_, why, construct);
  }

  std::string pieces(const Children& c, std::size_t from, std::size_t to) {
    std::string out;
    for (std::size_t i = from; i < to; ++i) {
      const Node& n = *c[i];
      if (n.is_type<m::ref>()) {
        out += reference(n);
      } else if (n.is_type<m::dollars>()) {
        out += '$';
      } else if (n.is_type<m::letter>()) {
        out += variable(n.string().substr(1));
      } else {
        out += n.string_view();
      }
    }
    e_.spend(1, out.size(), place_);
    return out;
  }

  std::string variable(const std::string& name) {
    if (name == "MAKE" || name == "MAKEFLAGS")
      fail("recursive make: $(" + name + ") is not supported", "recursive make");
    const MakeVariable* v = scope_.find(name);
    if (!v) return "";
    if (v->simple) {
      e_.spend(1, v->text.size(), place_);
      return v->text;
    }
    return text(v->text);
  }

  std::string reference(const Node& n) {
    const Children& c = n.children;
    if (c.empty()) return "";
    // The name of a function is the first word of the literal text after the opening bracket.
    const Node& first = *c[0];
    bool literal = first.is_type<m::inText<'(', ')'>>() || first.is_type<m::inText<'{', '}'>>();
    if (literal) {
      std::string head = first.string();
      auto blank = head.find_first_of(kBlank);
      if (blank != std::string::npos && blank > 0) {
        std::string name = head.substr(0, blank);
        auto rest = head.find_first_not_of(kBlank, blank);
        std::string lead = rest == std::string::npos ? "" : head.substr(rest);
        if (isFunction(name)) return call(name, lead, c);
        if (refusedFunctions().contains(name))
          fail("function '" + name + "' is not supported", name);
      }
    }
    std::string name = pieces(c, 0, c.size());
    // This handles the substitution reference $(name:a=b).
    auto colon = name.find(':');
    auto equals = colon == std::string::npos ? colon : name.find('=', colon);
    if (equals != std::string::npos) {
      std::string from = name.substr(colon + 1, equals - colon - 1), to = name.substr(equals + 1);
      if (from.find('%') == std::string::npos) {
        from = "%" + from;
        to = "%" + to;
      }
      return patsubst(from, to, variable(name.substr(0, colon)));
    }
    return variable(name);
  }

  static const std::set<std::string>& refusedFunctions() {
    static const std::set<std::string> names{"shell",   "eval",     "file", "guile", "load",
                                             "abspath", "realpath", "let",  "intcmp"};
    return names;
  }
  static bool isFunction(const std::string& name) {
    static const std::set<std::string> names{
        "subst",  "patsubst", "strip",     "findstring", "filter",   "filter-out", "sort",
        "word",   "wordlist", "words",     "firstword",  "lastword", "dir",        "notdir",
        "suffix", "basename", "addsuffix", "addprefix",  "join",     "wildcard",   "foreach",
        "if",     "or",       "and",       "call",       "value",    "origin",     "flavor",
        "error",  "warning",  "info"};
    return names.contains(name);
  }

  // Describes one argument: its leading literal text and the range of its remaining parse tree
  // nodes.
  struct Arg {
    std::string lead;
    std::size_t from, to;
  };
  // Splits the nodes at commas into at most `most` arguments. The last argument keeps further
  // commas.
  std::vector<Arg> split(const std::string& lead, const Children& c, std::size_t most) {
    std::vector<Arg> out{{lead, 1, 1}};
    for (std::size_t i = 1; i < c.size(); ++i) {
      if (c[i]->is_type<m::comma>() && out.size() < most) {
        out.push_back({"", i + 1, i + 1});
      } else {
        out.back().to = i + 1;
      }
    }
    return out;
  }
  std::string value(const Arg& a, const Children& c) { return a.lead + pieces(c, a.from, a.to); }

  std::string call(const std::string& f, const std::string& lead, const Children& c) {
    std::size_t most =
        f == "subst" || f == "patsubst" || f == "wordlist" || f == "foreach" || f == "if" ? 3
        : f == "or" || f == "and" || f == "call"                                          ? 1000
        : f == "findstring" || f == "filter" || f == "filter-out" || f == "word" ||
                f == "addsuffix" || f == "addprefix" || f == "join"
            ? 2
            : 1;
    auto args = split(lead, c, most);
    if (f == "if") {
      bool yes = !makeStrip(value(args[0], c)).empty();
      if (yes) return args.size() > 1 ? value(args[1], c) : "";
      return args.size() > 2 ? value(args[2], c) : "";
    }
    if (f == "or" || f == "and") {
      std::string last;
      for (const auto& a : args) {
        last = makeStrip(value(a, c));
        if (last.empty() == (f == "and")) return last;
      }
      return last;
    }
    if (f == "foreach") return foreach (args, c);
    std::vector<std::string> v;
    for (const auto& a : args) v.push_back(value(a, c));
    if (v.size() < std::min<std::size_t>(most, 3) && most < 1000)
      fail("function '" + f + "' needs " + std::to_string(most) + " arguments");
    if (f == "call") return callUser(v);
    if (f == "error") fail("*** " + v[0]);
    if (f == "warning" || f == "info") return "";
    if (f == "value") {
      const MakeVariable* var = scope_.find(makeStrip(v[0]));
      return var ? var->text : "";
    }
    if (f == "origin") {
      const MakeVariable* var = scope_.find(makeStrip(v[0]));
      return !var ? "undefined" : var->fixed ? "command line" : "file";
    }
    if (f == "flavor") {
      const MakeVariable* var = scope_.find(makeStrip(v[0]));
      return !var ? "undefined" : var->simple ? "simple" : "recursive";
    }
    return plain(f, v);
  }

  std::string foreach (const std::vector<Arg>& args, const Children& c) {
    if (args.size() < 3) fail("function 'foreach' needs 3 arguments");
    std::string name = makeStrip(value(args[0], c));
    std::string out;
    bool first = true;
    for (const auto& word : makeWords(value(args[1], c))) {
      MakeScope inner;
      inner.variables[name] = {word, true, false};
      inner.outer = std::shared_ptr<const MakeScope>(std::shared_ptr<const MakeScope>(), &scope_);
      MakeCall body(e_, inner, place_);
      out += (first ? "" : " ") + args[2].lead + body.pieces(c, args[2].from, args[2].to);
      first = false;
      e_.spend(1, out.size() / 16, place_);
    }
    return out;
  }

  std::string callUser(const std::vector<std::string>& v) {
    std::string name = makeStrip(v[0]);
    if (isFunction(name) && !scope_.find(name)) {
      std::vector<std::string> rest(v.begin() + 1, v.end());
      return plain(name, rest);
    }
    const MakeVariable* var = scope_.find(name);
    if (!var) return "";
    MakeScope inner;
    for (std::size_t i = 0; i < v.size(); ++i)
      inner.variables[std::to_string(i)] = {i == 0 ? name : v[i], true, false};
    inner.outer = std::shared_ptr<const MakeScope>(std::shared_ptr<const MakeScope>(), &scope_);
    return MakeCall(e_, inner, place_).text(var->text);
  }

  std::string patsubst(const std::string& from, const std::string& to, const std::string& in) {
    std::vector<std::string> out;
    for (const auto& w : makeWords(in)) {
      std::string stem;
      out.push_back(makeMatch(from, w, &stem)
                        ? (from.find('%') == std::string::npos ? to : makeSubstitute(to, stem))
                        : w);
      e_.spend(1, 0, place_);
    }
    return makeJoin(out);
  }

  std::size_t count(const std::string& text) const {
    std::string s = makeStrip(text);
    if (s.empty() || s.size() > 9 || s.find_first_not_of("0123456789") != std::string::npos)
      fail("a number is expected, not \"" + s + "\"");
    return std::stoul(s);
  }

  std::string plain(const std::string& f, const std::vector<std::string>& v) {
    auto arg = [&](std::size_t i) { return i < v.size() ? v[i] : std::string(); };
    auto each = [&](const std::string& in, const auto& change) {
      std::vector<std::string> out;
      for (const auto& w : makeWords(in)) out.push_back(change(w));
      e_.spend(out.size(), 0, place_);
      return makeJoin(out);
    };
    if (f == "subst") {
      std::string from = arg(0), to = arg(1), in = arg(2), out;
      if (from.empty()) return in + to;
      for (std::size_t i = 0; i < in.size();) {
        auto at = in.find(from, i);
        out += in.substr(i, at == std::string::npos ? at : at - i);
        if (at == std::string::npos) break;
        out += to;
        i = at + from.size();
        if (out.size() > e_.limits_.totalBytes) fail("expands to too much");
      }
      return out;
    }
    if (f == "patsubst") return patsubst(makeStrip(arg(0)), makeStrip(arg(1)), arg(2));
    if (f == "strip") return makeJoin(makeWords(arg(0)));
    if (f == "findstring") return arg(1).find(arg(0)) != std::string::npos ? arg(0) : "";
    if (f == "filter" || f == "filter-out") {
      auto patterns = makeWords(arg(0));
      std::vector<std::string> out;
      auto words = makeWords(arg(1));
      e_.spend(words.size() * patterns.size() + 1, 0, place_);
      for (const auto& w : words) {
        bool hit = std::any_of(patterns.begin(), patterns.end(),
                               [&](const auto& p) { return makeMatch(p, w, nullptr); });
        if (hit == (f == "filter")) out.push_back(w);
      }
      return makeJoin(out);
    }
    if (f == "sort") {
      auto words = makeWords(arg(0));
      e_.spend(words.size() * 8, 0, place_);
      std::sort(words.begin(), words.end());
      words.erase(std::unique(words.begin(), words.end()), words.end());
      return makeJoin(words);
    }
    if (f == "word") {
      auto words = makeWords(arg(1));
      auto n = count(arg(0));
      if (n == 0) fail("word 0 is asked for");
      return n <= words.size() ? words[n - 1] : "";
    }
    if (f == "wordlist") {
      auto words = makeWords(arg(2));
      auto a = count(arg(0)), b = count(arg(1));
      if (a == 0) fail("word 0 is asked for");
      std::vector<std::string> out;
      for (std::size_t i = a; i <= b && i <= words.size(); ++i) out.push_back(words[i - 1]);
      return makeJoin(out);
    }
    if (f == "words") return std::to_string(makeWords(arg(0)).size());
    if (f == "firstword" || f == "lastword") {
      auto words = makeWords(arg(0));
      return words.empty() ? "" : f == "firstword" ? words.front() : words.back();
    }
    auto dirOf = [](const std::string& w) {
      auto slash = w.rfind('/');
      return slash == std::string::npos ? std::string("./") : w.substr(0, slash + 1);
    };
    auto notdirOf = [](const std::string& w) {
      auto slash = w.rfind('/');
      return slash == std::string::npos ? w : w.substr(slash + 1);
    };
    if (f == "dir") return each(arg(0), dirOf);
    if (f == "notdir") return each(arg(0), notdirOf);
    if (f == "basename" || f == "suffix") {
      std::vector<std::string> out;
      for (const auto& w : makeWords(arg(0))) {
        auto dot = w.rfind('.');
        bool has = dot != std::string::npos && w.find('/', dot) == std::string::npos;
        if (f == "basename") out.push_back(has ? w.substr(0, dot) : w);
        if (f == "suffix" && has) out.push_back(w.substr(dot));
      }
      return makeJoin(out);
    }
    if (f == "addsuffix") return each(arg(1), [&](const std::string& w) { return w + arg(0); });
    if (f == "addprefix") return each(arg(1), [&](const std::string& w) { return arg(0) + w; });
    if (f == "join") {
      auto a = makeWords(arg(0)), b = makeWords(arg(1));
      std::vector<std::string> out;
      for (std::size_t i = 0; i < std::max(a.size(), b.size()); ++i)
        out.push_back((i < a.size() ? a[i] : "") + (i < b.size() ? b[i] : ""));
      return makeJoin(out);
    }
    if (f == "wildcard") {
      std::vector<std::string> out;
      for (const auto& pattern : makeWords(arg(0))) {
        e_.spend(e_.sources_.size() + 1, 0, place_);
        for (const auto& s : e_.sources_) {
          if (fnmatch(pattern.c_str(), s.c_str(), FNM_PATHNAME | FNM_PERIOD) == 0) out.push_back(s);
        }
      }
      std::sort(out.begin(), out.end());
      out.erase(std::unique(out.begin(), out.end()), out.end());
      return makeJoin(out);
    }
    fail("function '" + f + "' is not supported", f);
  }

  MakeExpander& e_;
  const MakeScope& scope_;
  Place place_;
};

std::string MakeExpander::expand(const std::string& text, const MakeScope& scope,
                                 const Place& place) {
  return MakeCall(*this, scope, place).text(text);
}

void MakeExpander::spend(std::size_t s, std::size_t b, const Place& place) {
  steps_ += s;
  bytes_ += b;
  if (steps_ > limits_.steps || bytes_ > limits_.totalBytes) {
    throw RuleError(place, "the file asks for too much: more than " +
                               std::to_string(limits_.steps) + " steps or " +
                               std::to_string(limits_.totalBytes >> 20) + " MiB");
  }
}

}  // namespace kestrelhoist::rules
