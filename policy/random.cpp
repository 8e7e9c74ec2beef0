#include "policy/random.h"

namespace turntally::policy {

Time Random::between(Time low, Time high) {
  state_ += 0x9e3779b97f4a7c15U;
  uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return low + static_cast<Time>((z ^ (z >> 31)) % static_cast<uint64_t>(high - low + 1));
}

}  // namespace turntally::policy
