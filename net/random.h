// Random numbers that are the same for a seed on every platform: the distributions of the standard library
// differ between implementations.
#pragma once

#include <cmath>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace turntally::net {

// Returns a seed mixed by SplitMix64 (Steele, Lea, Flood 2014), to derive independent streams from one seed.
inline uint64_t mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Formats a value in lower-case hexadecimal digits with leading zeros.
inline std::string hex(uint64_t value, int digits = 16) {
  char out[24];
  std::snprintf(out, sizeof(out), "%0*llx", digits, static_cast<unsigned long long>(value));
  return out;
}

class Random {
 public:
  explicit Random(uint64_t seed, uint64_t stream = 0) : engine_(mix(seed ^ mix(stream))) {}

  uint64_t bits() { return engine_(); }
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }  // [0, 1)
  double between(double low, double high) { return low + (high - low) * unit(); }
  size_t below(size_t n) { return static_cast<size_t>(unit() * static_cast<double>(n)); }  // n > 0
  bool chance(double p) { return unit() < p; }
  double exponential(double mean) { return -mean * std::log1p(-unit()); }
  // Draws from a lognormal distribution with this mean and coefficient of variation, by the method of Box
  // and Muller (1958).
  double lognormal(double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    const double normal = std::sqrt(-2 * std::log1p(-unit())) * std::cos(2 * 3.14159265358979323846 * unit());
    return mean * std::exp(std::sqrt(variance) * normal - variance / 2);
  }
  size_t weighted(const std::vector<double>& weights) {
    double sum = 0;
    for (const double w : weights) sum += w;
    double at = unit() * sum;
    for (size_t i = 0; i + 1 < weights.size(); ++i) {
      if (at < weights[i]) return i;
      at -= weights[i];
    }
    return weights.size() - 1;
  }
  template <typename T>
  void shuffle(std::vector<T>& items) {
    for (size_t i = items.size(); i > 1; --i) std::swap(items[i - 1], items[below(i)]);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace turntally::net
