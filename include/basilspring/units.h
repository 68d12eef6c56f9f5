#ifndef BASILSPRING_UNITS_H_
#define BASILSPRING_UNITS_H_

#include <compare>
#include <cstdint>

namespace basilspring {

/// A non-negative amount of one resource. Amounts of different resources are distinct types.
template <typename Tag>
class Amount {
 public:
  constexpr Amount() = default;
  constexpr explicit Amount(std::uint32_t value) : value_(value) {}

  constexpr std::uint32_t value() const { return value_; }
  constexpr auto operator<=>(const Amount&) const = default;
  constexpr Amount operator+(Amount other) const { return Amount(value_ + other.value_); }
  /// Saturates at zero: agents report usage with a delay, so more can be released than was counted.
  constexpr Amount operator-(Amount other) const {
    return Amount(value_ < other.value_ ? 0 : value_ - other.value_);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::uint32_t value_ = 0;
};

/// Processor cores.
using Cores = Amount<struct CoresTag>;
/// Memory in mebibytes.
using Megabytes = Amount<struct MegabytesTag>;
/// Accelerators (GPUs).
using Accelerators = Amount<struct AcceleratorsTag>;
/// Number of tasks that a backend server runs at the same time.
using Slots = Amount<struct SlotsTag>;
/// Number of HTTP connections that a backend server accepts at the same time.
using Connections = Amount<struct ConnectionsTag>;

/// A set of accelerators of one worker; bit i represents accelerator i. Adjacent accelerators have
/// adjacent bits.
using AcceleratorMask = std::uint32_t;

/// Maximum number of accelerators of one worker.
inline constexpr std::uint32_t kMaxAcceleratorsPerWorker = 32;

}  // namespace basilspring

#endif  // BASILSPRING_UNITS_H_
