#include "lab/extra_bytes.h"

#include <algorithm>

namespace turntally::lab {
namespace {

constexpr uint64_t kStream = 78;  // of random numbers
constexpr size_t kMaxNoiseBytes = 100'000;

}  // namespace

ExtraBytes::ExtraBytes(double share, uint64_t seed) : share_(share), random_(seed, kStream) {}

std::string ExtraBytes::with_extra(const std::string& answer) {
  if (!random_.chance(share_)) return answer;
  ++count_;
  switch (random_.below(5)) {
    case 0:
    case 1:
      return answer + answer;
    case 2:
      return answer + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    case 3:
      return answer + answer.substr(0, std::min<size_t>(11, answer.size()));  // half a status line
    default:
      return answer + std::string(1 + random_.below(kMaxNoiseBytes), 'x');
  }
}

bool ExtraBytes::tells_twice() {
  const bool twice = random_.chance(share_);
  count_ += twice ? 1 : 0;
  return twice;
}

}  // namespace turntally::lab
