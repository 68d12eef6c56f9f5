#include "basilspring/connection/frame.h"

#include <fmt/format.h>

#include <array>
#include <utility>
#include <variant>

#include "connection/frame_archive.h"

namespace basilspring {
namespace {

using internal::FrameReader;
using internal::FrameWriter;

/// Type of a frame without a message.
constexpr std::uint8_t kAcknowledgement = 0xff;

struct Header {
  std::size_t length = 0;
  std::uint8_t type = 0;
  std::uint64_t sequence = 0;
};

Header ReadHeader(std::string_view bytes) {
  FrameReader reader(bytes.substr(0, kFrameHeaderBytes));
  Header header;
  header.length = reader.ReadNumber<std::uint32_t>();
  if (header.length < kFrameHeaderBytes || header.length > kMaxFrameBytes) {
    FrameReader::Fail("the length is out of bounds");
  }
  if (reader.ReadNumber<std::uint16_t>() != kFrameMagic) FrameReader::Fail("wrong magic number");
  if (reader.ReadNumber<std::uint8_t>() != kProtocolVersion) {
    FrameReader::Fail("unknown protocol version");
  }
  header.type = reader.ReadNumber<std::uint8_t>();
  if (header.type >= std::variant_size_v<Message> && header.type != kAcknowledgement) {
    FrameReader::Fail("unknown message type");
  }
  header.sequence = reader.ReadNumber<std::uint64_t>();
  return header;
}

template <std::size_t kIndex>
Message DecodeMessage(std::string_view body) {
  return internal::DecodeBody<std::variant_alternative_t<kIndex, Message>>(body);
}

template <std::size_t... kIndexes>
Message DecodeMessageOfType(std::uint8_t type, std::string_view body,
                            std::index_sequence<kIndexes...> /*indexes*/) {
  using Decoder = Message (*)(std::string_view);
  static constexpr std::array<Decoder, sizeof...(kIndexes)> kDecoders = {
      &DecodeMessage<kIndexes>...};
  return kDecoders[type](body);
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  std::string bytes;
  FrameWriter writer(bytes);
  writer.WriteNumber(std::uint32_t{0});
  writer.WriteNumber(kFrameMagic);
  writer.WriteNumber(kProtocolVersion);
  writer.WriteNumber(frame.message ? static_cast<std::uint8_t>(frame.message->index())
                                   : kAcknowledgement);
  writer.WriteNumber(frame.sequence);
  if (frame.message) {
    std::visit([&bytes](const auto& message) { internal::EncodeBody(message, bytes); },
               *frame.message);
  }
  if (bytes.size() > kMaxFrameBytes) {
    throw Error(ErrorKind::kPayloadTooLarge,
                fmt::format("{} takes {} bytes in a frame; allowed: {}",
                            frame.message ? MessageName(*frame.message) : "acknowledgement",
                            bytes.size(), kMaxFrameBytes));
  }
  std::string length;
  FrameWriter(length).WriteNumber(static_cast<std::uint32_t>(bytes.size()));
  bytes.replace(0, length.size(), length);
  return bytes;
}

std::optional<std::size_t> FrameLength(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
  return ReadHeader(bytes).length;
}

Frame DecodeFrame(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) FrameReader::Fail("the header is not whole");
  const Header header = ReadHeader(bytes);
  if (header.length != bytes.size()) FrameReader::Fail("the length differs from the bytes");
  const std::string_view body = bytes.substr(kFrameHeaderBytes);
  Frame frame;
  frame.sequence = header.sequence;
  if (header.type != kAcknowledgement) {
    frame.message = DecodeMessageOfType(header.type, body,
                                        std::make_index_sequence<std::variant_size_v<Message>>());
  } else if (!body.empty()) {
    FrameReader::Fail("bytes are left over");
  }
  return frame;
}

std::string EncodeJobSpec(const JobSpec& spec) {
  std::string bytes;
  internal::EncodeBody(spec, bytes);
  return bytes;
}

JobSpec DecodeJobSpec(std::string_view bytes) { return internal::DecodeBody<JobSpec>(bytes); }

std::string EncodeJobResult(const JobResult& result) {
  std::string bytes;
  internal::EncodeBody(result, bytes);
  return bytes;
}

JobResult DecodeJobResult(std::string_view bytes) { return internal::DecodeBody<JobResult>(bytes); }

}  // namespace basilspring
