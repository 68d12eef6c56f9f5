#ifndef BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_
#define BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_

#include <bit>
#include <cstdint>
#include <vector>

#include "basilspring/units.h"

namespace basilspring::internal {

/// The mask of the accelerators 0 to count - 1; counts above kMaxAcceleratorsPerWorker are clamped.
constexpr AcceleratorMask AllAccelerators(std::uint32_t count) {
  return count >= kMaxAcceleratorsPerWorker ? ~AcceleratorMask{0}
                                            : (AcceleratorMask{1} << count) - 1;
}

/// The mask of `count` accelerators starting at `first`.
constexpr AcceleratorMask RunMask(std::uint32_t first, std::uint32_t count) {
  return AllAccelerators(count) << first;
}

constexpr std::uint32_t CountBits(AcceleratorMask mask) {
  return static_cast<std::uint32_t>(std::popcount(mask));
}

/// Size of the largest aligned block that contains the block of `size` at `first` and lies inside
/// `free`; 0 if that block is not entirely free.
std::uint32_t EnclosingFreeBlock(AcceleratorMask free, std::uint32_t first, std::uint32_t size);

/// An aligned block of free accelerators whose size is a power of two.
struct FreeBlock {
  std::uint32_t first = 0;
  std::uint32_t size = 0;
};

/// Splits `free` into its largest aligned blocks, in ascending order of accelerators.
std::vector<FreeBlock> FreeBlocks(AcceleratorMask free);

/// Size of the largest aligned power-of-two block inside `free`; 0 if `free` is empty.
std::uint32_t LargestFreeBlock(AcceleratorMask free);

/// Best fit: the first aligned block of `size` (a power of two) within the smallest free block that
/// can hold it; 0 if no such block is free.
AcceleratorMask BestAlignedBlock(AcceleratorMask free, std::uint32_t size);

/// `count` free accelerators that need not be adjacent, from the smallest free blocks first; 0 if
/// fewer are free.
AcceleratorMask ScatteredAccelerators(AcceleratorMask free, std::uint32_t count);

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_REQUEST_ACCELERATOR_RUNS_H_
