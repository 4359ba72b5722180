#pragma once

#include <cstdint>

namespace Jujube
{

// Expands one random number that the caller passes into a sequence (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
class SplitMix
{
public:
    explicit SplitMix(uint64_t seed)
        : m_state(seed)
    {
    }

    uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

    // Uniform in [0, bound). The bias of the multiplication is below 2^-32 for bounds below 2^32.
    uint32_t below(uint32_t bound)
    {
        return static_cast<uint32_t>(((next() >> 32) * bound) >> 32);
    }

    // Uniform in [0, 1).
    double unit()
    {
        return static_cast<double>(next() >> 11) * 0x1.0p-53;
    }

private:
    uint64_t m_state;
};

} // namespace Jujube
