#ifndef BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_
#define BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_

#include <bit>
#include <cstdint>
#include <vector>

#include "basilspring/units.h"

namespace basilspring::internal {

/// The mask of accelerators 0 to count - 1; a count over the limit counts as the limit.
constexpr AcceleratorMask AllAccelerators(std::uint32_t count) {
  return count >= kMaxAcceleratorsPerWorker ? ~AcceleratorMask{0}
                                            : (AcceleratorMask{1} << count) - 1;
}

/// The mask of `count` accelerators from `first`.
constexpr AcceleratorMask RunMask(std::uint32_t first, std::uint32_t count) {
  return AllAccelerators(count) << first;
}

constexpr std::uint32_t CountBits(AcceleratorMask mask) {
  return static_cast<std::uint32_t>(std::popcount(mask));
}

/// Size of the largest aligned block that contains the block of `size` at `first` and lies inside
/// `free`; 0 when the block itself doesn't.
std::uint32_t EnclosingFreeBlock(AcceleratorMask free, std::uint32_t first, std::uint32_t size);

/// An aligned block of a power of two of accelerators.
struct FreeBlock {
  std::uint32_t first = 0;
  std::uint32_t size = 0;
};

/// The largest aligned blocks that `free` consists of, from the lowest accelerator up.
std::vector<FreeBlock> FreeBlocks(AcceleratorMask free);

/// Size of the largest aligned power-of-two block inside `free`; 0 when `free` is empty.
std::uint32_t LargestFreeBlock(AcceleratorMask free);

/// The first aligned block of `size` (a power of two) that lies in the smallest enclosing free
/// block; 0 when no such block is free.
AcceleratorMask BestAlignedBlock(AcceleratorMask free, std::uint32_t size);

/// `count` free accelerators without a demand on their position, taken from the smallest free
/// blocks first; 0 when fewer are free.
AcceleratorMask ScatteredAccelerators(AcceleratorMask free, std::uint32_t count);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_
