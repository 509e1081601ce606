/// \file
/// Converts jobs, identities and keys to and from the bodies of requests and responses (PROTOCOL,
/// docs/members.md).
#pragma once

#include "base/runtime.hpp"
#include "kestrelhoist/error.hpp"
#include "kestrelhoist/job.hpp"

namespace kestrelhoist::client {

/// Returns the body of the request that submits a job.
Json toBody(const Job& job, const std::string& id);
/// Returns the digest that the service computes for a job description. The digest is empty if the
/// service would reject the description.
std::string digestFor(const Job& job);
/// These functions parse a response body. They return std::nullopt if a required field is missing.
std::optional<JobState> jobStateFrom(const Json& body);
std::optional<JobPage> jobPageFrom(const Json& body);
std::optional<Identity> identityFrom(const Json& body);
std::optional<KeyInfo> keyInfoFrom(const Json& body);
/// Returns the query string of a list request or, if `wait` is positive, of a watch request.
std::string queryOf(const JobQuery& query, Duration wait);

}  // namespace kestrelhoist::client
