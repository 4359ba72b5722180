#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Jujube
{

// Running 64-bit checksum over a sequence of tokens. Each token's XXH3 hash is seeded with the checksum so far, so that the value after N tokens depends
// on all of them and on where each token begins and ends.
class TokenChecksum
{
public:
    TokenChecksum() = default;

    // Continues from the value that value() returned earlier, for example one that came in a cursor.
    explicit TokenChecksum(uint64_t value)
        : m_value(value)
    {
    }

    void add(std::string_view token);

    uint64_t value() const
    {
        return m_value;
    }

    // The value as 16 lower-case hexadecimal digits.
    std::string hex() const;

private:
    uint64_t m_value = 0;
};

} // namespace Jujube
