/// \file
/// Defines the grammar of expressions in Snakefiles. Only snake_expr.cpp includes this header.
#pragma once

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace kestrelhoist::rules {

namespace peg = tao::pegtl;

namespace g {
using namespace tao::pegtl;  // NOLINT: the directive keeps the grammar readable.
struct comment : seq<one<'#'>, star<not_one<'\n'>>> {};
struct ws : star<sor<one<' ', '\t', '\r', '\n'>, comment, seq<one<'\\'>, eol>>> {};
template <char Q>
struct longString
    : seq<rep<3, one<Q>>, star<sor<seq<one<'\\'>, any>, seq<not_at<rep<3, one<Q>>>, any>>>,
          rep<3, one<Q>>> {};
template <char Q>
struct shortString : seq<one<Q>, star<sor<seq<one<'\\'>, any>, not_one<Q, '\n', '\\'>>>, one<Q>> {};
struct prefix : rep_max<2, one<'r', 'R', 'f', 'F', 'b', 'B', 'u', 'U'>> {};
struct literal
    : seq<prefix, sor<longString<'"'>, longString<'\''>, shortString<'"'>, shortString<'\''>>> {};
struct strings : seq<literal, star<ws, literal>> {};
struct number : seq<opt<one<'-'>>, plus<digit>, opt<one<'.'>, star<digit>>,
                    opt<one<'e', 'E'>, opt<one<'+', '-'>>, plus<digit>>, not_at<identifier_other>> {
};
struct name : identifier {};
struct expr;
struct argName : identifier {};
struct named : seq<argName, ws, one<'='>, not_at<one<'='>>, ws, expr> {};
struct arg : sor<named, expr> {};
struct args : seq<opt<arg, star<ws, one<','>, ws, arg>, ws, opt<one<','>>>, ws> {};
struct list
    : seq<one<'['>, ws, opt<expr, star<ws, one<','>, ws, expr>, ws, opt<one<','>>>, ws, one<']'>> {
};
struct tuple
    : seq<one<'('>, ws, opt<expr, star<ws, one<','>, ws, expr>, ws, opt<one<','>>>, ws, one<')'>> {
};
struct pair : seq<expr, ws, one<':'>, ws, expr> {};
struct dict
    : seq<one<'{'>, ws, opt<pair, star<ws, one<','>, ws, pair>, ws, opt<one<','>>>, ws, one<'}'>> {
};
struct call : seq<one<'('>, ws, args, one<')'>> {};
struct index : seq<one<'['>, ws, expr, ws, one<']'>> {};
struct attribute : seq<one<'.'>, ws, identifier> {};
struct atom : sor<strings, number, list, tuple, dict, name> {};
struct postfix : seq<atom, star<ws, sor<call, index, attribute>>> {};
struct expr : seq<postfix, star<ws, one<'+'>, ws, postfix>> {};
struct argsFile : seq<ws, args> {};
struct exprFile : seq<ws, expr, ws> {};

template <typename Rule>
using keep =
    parse_tree::selector<Rule,
                         parse_tree::store_content::on<literal, number, name, argName, attribute>,
                         parse_tree::remove_content::on<strings, named, list, tuple, dict, pair,
                                                        call, index, postfix, expr, args>>;
}  // namespace g

}  // namespace kestrelhoist::rules
