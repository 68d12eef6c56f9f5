#include "request/accelerator_runs.h"

#include <algorithm>

namespace basilspring::internal {

std::uint32_t EnclosingFreeBlock(AcceleratorMask free, std::uint32_t first, std::uint32_t size) {
  std::uint32_t enclosing = 0;
  while (size <= kMaxAcceleratorsPerWorker) {
    const std::uint32_t start = first & ~(size - 1);
    const AcceleratorMask block = RunMask(start, size);
    if ((free & block) != block) break;
    enclosing = size;
    size *= 2;
  }
  return enclosing;
}

std::vector<FreeBlock> FreeBlocks(AcceleratorMask free) {
  std::vector<FreeBlock> blocks;
  while (free != 0) {
    const auto first = static_cast<std::uint32_t>(std::countr_zero(free));
    const std::uint32_t size = EnclosingFreeBlock(free, first, 1);
    blocks.push_back({first, size});
    free &= ~RunMask(first, size);
  }
  return blocks;
}

std::uint32_t LargestFreeBlock(AcceleratorMask free) {
  for (std::uint32_t size = std::bit_floor(CountBits(free)); size > 0; size /= 2) {
    if (BestAlignedBlock(free, size) != 0) return size;
  }
  return 0;
}

AcceleratorMask BestAlignedBlock(AcceleratorMask free, std::uint32_t size) {
  AcceleratorMask best = 0;
  std::uint32_t best_enclosing = 0;
  for (std::uint32_t first = 0; first + size <= kMaxAcceleratorsPerWorker; first += size) {
    if ((free >> first) == 0) break;
    const std::uint32_t enclosing = EnclosingFreeBlock(free, first, size);
    if (enclosing == 0 || (best != 0 && enclosing >= best_enclosing)) continue;
    best = RunMask(first, size);
    best_enclosing = enclosing;
  }
  return best;
}

AcceleratorMask ScatteredAccelerators(AcceleratorMask free, std::uint32_t count) {
  if (count > CountBits(free)) return 0;
  AcceleratorMask taken = 0;
  while (count > 0) {
    const AcceleratorMask one = BestAlignedBlock(free & ~taken, 1);
    taken |= one;
    --count;
  }
  return taken;
}

}  // namespace basilspring::internal
