#include "base/base.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace arbutusgrade {

std::uint64_t nextRandom(RandomGenerator &generator) noexcept
{
    generator.m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = generator.m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t nextRandomBelow(RandomGenerator &generator, std::uint64_t bound) noexcept
{
    if (bound == 0) {
        return 0;
    }
    return nextRandom(generator) % bound;
}

double nextRandomUnit(RandomGenerator &generator) noexcept
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(nextRandom(generator) >> 11U) * scale;
}

std::uint64_t stableHash(std::string_view text) noexcept
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) noexcept
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), stableHash(key));
}

double weightedRendezvousScore(std::string_view key, std::string_view candidate,
                               double weight) noexcept
{
    constexpr int hashBits = std::numeric_limits<std::uint64_t>::digits;
    // The largest hashes would be rounded to 1, whose logarithm is 0.
    constexpr double largestBelowOne = 1.0 - std::numeric_limits<double>::epsilon() / 2.0;
    const double hash = static_cast<double>(rendezvousWeight(key, candidate));
    const double unit = std::min(std::ldexp(hash + 0.5, -hashBits), largestBelowOne);
    return -weight / std::log(unit);
}

} // namespace arbutusgrade
