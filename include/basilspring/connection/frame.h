#ifndef BASILSPRING_CONNECTION_FRAME_H_
#define BASILSPRING_CONNECTION_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilspring/connection/messages.h"

namespace basilspring {

/// Size of the header, which precedes the body: length of the whole frame (4 bytes), magic number
/// (2), version (1), type (1), sequence number (8). All are little-endian.
inline constexpr std::size_t kFrameHeaderBytes = 16;
inline constexpr std::uint16_t kFrameMagic = 0x4253;
inline constexpr std::uint8_t kProtocolVersion = 1;
/// Maximum size of a frame with its header. A larger length is rejected before any memory is
/// allocated for the frame.
inline constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/// Maximum size of a frame that is sent as one datagram. It fits into an Ethernet frame, so IP does
/// not fragment it.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// A message with its sequence number. A frame without a message acknowledges all messages up to
/// `sequence` and also serves as the heartbeat of the connection.
struct Frame {
  std::uint64_t sequence = 0;
  /// std::nullopt for an acknowledgement.
  std::optional<Message> message;
};

/// Encodes a frame. Throws Error(kPayloadTooLarge) if it would exceed kMaxFrameBytes.
std::string EncodeFrame(const Frame& frame);

/// Returns the length in bytes of the frame at the beginning of `bytes`; std::nullopt if the header
/// is incomplete. Throws Error(kBadFrame) if the header is invalid.
std::optional<std::size_t> FrameLength(std::string_view bytes);

/// Decodes one complete frame. Throws Error(kBadFrame) if the header or the body is invalid, for
/// example if the magic number, the version or the type is wrong, if a container claims more
/// elements than bytes remain, or if bytes are left over.
Frame DecodeFrame(std::string_view bytes);

/// Encode and decode a job specification or result without a frame header, for values in the store.
/// Decoding makes the checks that DecodeFrame makes of a frame's body, and throws the same errors.
std::string EncodeJobSpec(const JobSpec& spec);
JobSpec DecodeJobSpec(std::string_view bytes);
std::string EncodeJobResult(const JobResult& result);
JobResult DecodeJobResult(std::string_view bytes);

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_FRAME_H_
