/// \file
/// Jobs in the service's words: bodies of requests and answers (PROTOCOL, docs/members.md).
#pragma once

#include "base/runtime.hpp"
#include "kestrelhoist/error.hpp"
#include "kestrelhoist/job.hpp"

namespace kestrelhoist::client {

Json toBody(const Job& job, const std::string& id);
/// What the service will say of the same description; empty if it would not accept it.
std::string digestFor(const Job& job);
std::optional<JobState> jobStateFrom(const Json& body);
std::optional<JobPage> jobPageFrom(const Json& body);
std::optional<Identity> identityFrom(const Json& body);
std::optional<KeyInfo> keyInfoFrom(const Json& body);
/// The query of a list or a watch.
std::string queryOf(const JobQuery& query, Duration wait);

}  // namespace kestrelhoist::client
