#include "base/message_limits.hpp"

#include <cbor.h>

#include <atomic>
#include <vector>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

std::array<std::atomic<std::uint64_t>, kMessageFaults.size()> refused{};

// The initial bytes of the tags 6 to 23, which consist of that byte alone.
constexpr unsigned char kFirstUnassignedTag = 0xc6;
constexpr unsigned char kLastShortTag = 0xd7;

/// Checks the structure of a message item by item. libcbor reads the items without recursion; this
/// class keeps the open containers in a list.
class StructureCheck {
 public:
  StructureCheck(std::string_view message, const MessageLimits& limits)
      : message_(message), limits_(limits) {
    open_.reserve(limits.nesting);
  }

  std::optional<MessageFault> run() {
    while (!complete_) {
      if (!readItem()) return MessageFault::malformed;
      if (fault_) return fault_;
      if (++items_ > limits_.items) return MessageFault::tooManyItems;
    }
    if (position_ != message_.size()) return MessageFault::malformed;
    return std::nullopt;
  }

  std::size_t position() const { return position_; }

 private:
  enum class Kind { list, map, tag, textChunks, byteChunks };
  enum class Length { definite, untilBreak };
  struct Container {
    Kind kind;
    Length length;
    /// The number of items to come, or of those that have come if the length is not definite.
    std::uint64_t items;
  };

  bool readItem() {
    if (position_ == message_.size()) return false;
    const auto* next = reinterpret_cast<const unsigned char*>(message_.data()) + position_;
    // libcbor 0.8 refuses these tags, which are valid.
    if (*next >= kFirstUnassignedTag && *next <= kLastShortTag) {
      ++position_;
      tag(this, 0);
      return true;
    }
    auto result = cbor_stream_decode(next, message_.size() - position_, &callbacks(), this);
    position_ += result.read;
    return result.status == CBOR_DECODER_FINISHED;
  }

  // Begins an item other than a chunk. Only chunks may follow within a text or bytes in chunks.
  bool beginItem() {
    if (open_.empty()) return true;
    const Kind kind = open_.back().kind;
    if (kind != Kind::textChunks && kind != Kind::byteChunks) return true;
    fault_ = MessageFault::malformed;
    return false;
  }

  void onScalar() {
    if (beginItem()) endItem();
  }

  // Text and bytes of definite length are items of their own, or chunks of the same kind.
  void onString(Kind chunksOfSameKind) {
    if (!open_.empty() && open_.back().kind == chunksOfSameKind) return;
    onScalar();
  }

  void onContainer(Kind kind, Length length, std::uint64_t items) {
    if (!beginItem()) return;
    if (open_.size() == limits_.nesting) {
      fault_ = MessageFault::tooDeep;
      return;
    }
    // Each item takes at least one byte. This also keeps the number of a map's items from
    // overflowing.
    if (items > message_.size()) {
      fault_ = MessageFault::malformed;
      return;
    }
    if (length == Length::definite && items == 0) return endItem();
    open_.push_back({kind, length, kind == Kind::map ? 2 * items : items});
  }

  void onBreak() {
    bool expected = !open_.empty() && open_.back().length == Length::untilBreak;
    bool keyWithoutValue =
        expected && open_.back().kind == Kind::map && open_.back().items % 2 != 0;
    if (!expected || keyWithoutValue) {
      fault_ = MessageFault::malformed;
      return;
    }
    open_.pop_back();
    endItem();
  }

  // Ends an item, and all containers whose last item it is.
  void endItem() {
    while (!open_.empty()) {
      Container& container = open_.back();
      if (container.length == Length::untilBreak) {
        ++container.items;
        return;
      }
      if (--container.items > 0) return;
      open_.pop_back();
    }
    complete_ = true;
  }

  static StructureCheck& self(void* context) { return *static_cast<StructureCheck*>(context); }

  template <class Value>
  static void scalar(void* context, Value) {
    self(context).onScalar();
  }
  static void scalarWithoutValue(void* context) { self(context).onScalar(); }
  template <Kind kind>
  static void string(void* context, cbor_data, std::size_t) {
    self(context).onString(kind);
  }
  template <Kind kind>
  static void counted(void* context, std::size_t items) {
    self(context).onContainer(kind, Length::definite, items);
  }
  template <Kind kind>
  static void untilBreak(void* context) {
    self(context).onContainer(kind, Length::untilBreak, 0);
  }
  static void tag(void* context, std::uint64_t) {
    self(context).onContainer(Kind::tag, Length::definite, 1);
  }
  static void itemsEnd(void* context) { self(context).onBreak(); }

  static const cbor_callbacks& callbacks() {
    static const cbor_callbacks all{
        .uint8 = scalar<std::uint8_t>,
        .uint16 = scalar<std::uint16_t>,
        .uint32 = scalar<std::uint32_t>,
        .uint64 = scalar<std::uint64_t>,
        .negint64 = scalar<std::uint64_t>,
        .negint32 = scalar<std::uint32_t>,
        .negint16 = scalar<std::uint16_t>,
        .negint8 = scalar<std::uint8_t>,
        .byte_string_start = untilBreak<Kind::byteChunks>,
        .byte_string = string<Kind::byteChunks>,
        .string = string<Kind::textChunks>,
        .string_start = untilBreak<Kind::textChunks>,
        .indef_array_start = untilBreak<Kind::list>,
        .array_start = counted<Kind::list>,
        .indef_map_start = untilBreak<Kind::map>,
        .map_start = counted<Kind::map>,
        .tag = tag,
        .float2 = scalar<float>,
        .float4 = scalar<float>,
        .float8 = scalar<double>,
        .undefined = scalarWithoutValue,
        .null = scalarWithoutValue,
        .boolean = scalar<bool>,
        .indef_break = itemsEnd,
    };
    return all;
  }

  std::string_view message_;
  MessageLimits limits_;
  std::size_t position_ = 0;
  std::size_t items_ = 0;
  std::vector<Container> open_;
  std::optional<MessageFault> fault_;
  bool complete_ = false;
};

}  // namespace

const char* toString(MessageFault fault) {
  switch (fault) {
    case MessageFault::malformed:
      return "malformed";
    case MessageFault::tooDeep:
      return "too_deep";
    case MessageFault::tooManyItems:
      return "too_many_items";
  }
  return "unknown";
}

std::optional<MessageFault> findFault(std::string_view message, const MessageLimits& limits) {
  StructureCheck check(message, limits);
  auto fault = check.run();
  if (fault) {
    ++refused[static_cast<std::size_t>(*fault)];
    logDebug("message refused", "fault", toString(*fault), "bytes", message.size(), "at",
             check.position());
  }
  return fault;
}

std::uint64_t refusedMessages(MessageFault fault) {
  return refused[static_cast<std::size_t>(fault)];
}

}  // namespace kestrelhoist
