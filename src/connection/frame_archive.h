#ifndef BASILSPRING_SRC_CONNECTION_FRAME_ARCHIVE_H_
#define BASILSPRING_SRC_CONNECTION_FRAME_ARCHIVE_H_

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "basilspring/connection/messages.h"
#include "basilspring/error.h"

namespace basilspring::internal {

/// cereal archive that appends to a string. Numbers are little-endian in the width of their type;
/// strings and vectors begin with a 32-bit count.
class FrameWriter : public cereal::OutputArchive<FrameWriter, cereal::AllowEmptyClassElision> {
 public:
  explicit FrameWriter(std::string& out) : OutputArchive(this), out_(out) {}

  template <typename Number>
  void WriteNumber(Number number) {
    static_assert(std::is_integral_v<Number>);
    auto rest = static_cast<std::uint64_t>(number);
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
      out_.push_back(static_cast<char>(rest & 0xff));
      rest >>= 8;
    }
  }
  void WriteBytes(std::string_view bytes) { out_.append(bytes); }

 private:
  std::string& out_;
};

/// cereal archive that reads untrusted bytes from a peer. Memory is allocated only for data that is
/// present: a count larger than the remaining bytes is refused, and vectors grow element by
/// element, because one byte on the wire may correspond to a large struct in memory.
class FrameReader : public cereal::InputArchive<FrameReader, cereal::AllowEmptyClassElision> {
 public:
  explicit FrameReader(std::string_view bytes) : InputArchive(this), rest_(bytes) {}

  std::size_t remaining() const { return rest_.size(); }

  template <typename Number>
  Number ReadNumber() {
    static_assert(std::is_integral_v<Number>);
    const std::string_view bytes = ReadBytes(sizeof(Number));
    std::uint64_t number = 0;
    for (std::size_t i = sizeof(Number); i-- > 0;) {
      number = (number << 8) | static_cast<unsigned char>(bytes[i]);
    }
    // Any other byte in a bool would be undefined behaviour.
    if (std::is_same_v<Number, bool> && number > 1) Fail("a truth value is not 0 or 1");
    return static_cast<Number>(number);
  }
  std::string_view ReadBytes(std::size_t count) {
    if (count > rest_.size()) Fail("the body ends early");
    const std::string_view bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
  }
  std::size_t ReadCount() {
    const std::size_t count = ReadNumber<std::uint32_t>();
    if (count > rest_.size()) Fail("a container claims more elements than bytes remain");
    return count;
  }

  [[noreturn]] static void Fail(const char* reason) {
    throw Error(ErrorKind::kBadFrame, std::string("bad frame: ") + reason);
  }

 private:
  std::string_view rest_;
};

// cereal finds the functions below by their names, which it prescribes.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Number, std::enable_if_t<std::is_integral_v<Number>, int> = 0>
void CEREAL_SAVE_FUNCTION_NAME(FrameWriter& archive, const Number& number) {
  archive.WriteNumber(number);
}
template <typename Number, std::enable_if_t<std::is_integral_v<Number>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& archive, Number& number) {
  number = archive.ReadNumber<Number>();
}

inline void CEREAL_SAVE_FUNCTION_NAME(FrameWriter& archive, const std::string& text) {
  archive.WriteNumber(static_cast<std::uint32_t>(text.size()));
  archive.WriteBytes(text);
}
inline void CEREAL_LOAD_FUNCTION_NAME(FrameReader& archive, std::string& text) {
  text.assign(archive.ReadBytes(archive.ReadCount()));
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(FrameWriter& archive, const std::vector<Element>& elements) {
  archive.WriteNumber(static_cast<std::uint32_t>(elements.size()));
  for (const Element& element : elements) archive(element);
}
template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(FrameReader& archive, std::vector<Element>& elements) {
  const std::size_t count = archive.ReadCount();
  elements.clear();
  for (std::size_t i = 0; i < count; ++i) archive(elements.emplace_back());
}
// NOLINTEND(readability-identifier-naming)

}  // namespace basilspring::internal

CEREAL_SETUP_ARCHIVE_TRAITS(basilspring::internal::FrameReader, basilspring::internal::FrameWriter)

namespace basilspring {

namespace internal {

template <typename Enum>
Enum CheckedEnum(std::underlying_type_t<Enum> value, Enum last) {
  if (value > static_cast<std::underlying_type_t<Enum>>(last)) {
    FrameReader::Fail("an enumeration is out of its range");
  }
  return static_cast<Enum>(value);
}

}  // namespace internal

// Enumerations that index tables elsewhere are checked here. ErrorKind is not: its table has a row
// for unknown kinds, so a newer process may send kinds that this one doesn't know.
// NOLINTBEGIN(readability-identifier-naming)
inline void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const internal::FrameReader& /*archive*/,
                                              JobClass& out, const std::uint8_t& value) {
  out = internal::CheckedEnum(value, JobClass::kBackground);
}
inline void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const internal::FrameReader& /*archive*/,
                                              JobState& out, const std::uint8_t& value) {
  out = internal::CheckedEnum(value, JobState::kUnknown);
}
inline void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const internal::FrameReader& /*archive*/,
                                              TaskState& out, const std::uint8_t& value) {
  out = internal::CheckedEnum(value, TaskState::kFinished);
}
inline void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const internal::FrameReader& /*archive*/,
                                              StopReason& out, const std::uint8_t& value) {
  out = internal::CheckedEnum(value, StopReason::kDeadline);
}
// NOLINTEND(readability-identifier-naming)

namespace internal {

template <typename Value>
void EncodeBody(const Value& value, std::string& out) {
  FrameWriter writer(out);
  writer(value);
}

/// Decodes a value from the beginning of `bytes` and removes its bytes. Throws Error(kBadFrame) if
/// they are invalid.
template <typename Value>
Value DecodePrefix(std::string_view& bytes) {
  Value value;
  FrameReader reader(bytes);
  try {
    reader(value);
  } catch (const cereal::Exception& error) {
    throw Error(ErrorKind::kBadFrame, error.what());
  }
  bytes.remove_prefix(bytes.size() - reader.remaining());
  return value;
}

/// Decodes a message body. Throws Error(kBadFrame) if the bytes are invalid or some are left over.
template <typename Value>
Value DecodeBody(std::string_view bytes) {
  auto value = DecodePrefix<Value>(bytes);
  if (!bytes.empty()) FrameReader::Fail("bytes are left over");
  return value;
}

}  // namespace internal
}  // namespace basilspring

#endif  // BASILSPRING_SRC_CONNECTION_FRAME_ARCHIVE_H_
