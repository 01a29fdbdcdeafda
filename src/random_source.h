#pragma once

#include <cstdint>
#include <random>

namespace indigopoint {

/// 64 random bits from the operating system, different in each process.
inline uint64_t randomBits() {
  std::random_device Device;
  return (uint64_t{Device()} << 32) | Device();
}

/// Maps 64 uniformly distributed bits, such as a hash, to a fraction in [0, 1).
inline double fractionOf(uint64_t Bits) {
  return static_cast<double>(Bits >> 11) * 0x1.0p-53;
}

/// The pseudorandom numbers of one decision engine. Equal seeds give equal
/// sequences.
class RandomSource {
public:
  explicit RandomSource(uint64_t Seed) : Engine(Seed) {}

  /// A number of 64 random bits.
  uint64_t next() { return Engine(); }

  /// A number in [0, Bound); 0 if Bound is 0.
  uint64_t below(uint64_t Bound) { return Bound == 0 ? 0 : Engine() % Bound; }

  /// A fraction in [0, 1).
  double fraction() { return fractionOf(Engine()); }

private:
  std::mt19937_64 Engine;
};

} // namespace indigopoint
