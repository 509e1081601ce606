/// \file
/// Limits the structure of messages before they are decoded. The decoder, and everything that later
/// copies, compares or prints a decoded value, recurses once for each level of nesting.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace kestrelhoist {

/// Limits the structure of one message.
struct MessageLimits {
  std::size_t nesting{};  ///< in levels; each array, map, tag and text in chunks is one level
  std::size_t items{};    ///< in CBOR data items, which include keys and containers
};

/// Applies to requests and answers of users, members, workers and the cloud.
inline constexpr MessageLimits kExternalLimits{32, 1 << 17};
/// Applies to messages of other controllers and of the state service. They contain parts of
/// external messages some levels deeper, and records that earlier versions have written.
inline constexpr MessageLimits kInternalLimits{128, 1 << 22};

/// Tells why a message is not decoded.
enum class MessageFault { malformed, tooDeep, tooManyItems };
/// Lists all faults.
inline constexpr std::array kMessageFaults{MessageFault::malformed, MessageFault::tooDeep,
                                           MessageFault::tooManyItems};

/// Returns the name of a fault for logs and metrics.
const char* toString(MessageFault fault);

/// Returns why a CBOR message must not be decoded, or nullopt if it is well-formed CBOR within the
/// limits. Uses a constant amount of stack and time in proportion to the length of the message.
std::optional<MessageFault> findFault(std::string_view message, const MessageLimits& limits);

/// Returns how many messages this process has refused because of a fault.
std::uint64_t refusedMessages(MessageFault fault);

}  // namespace kestrelhoist
