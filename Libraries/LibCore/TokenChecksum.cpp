#include <LibCore/TokenChecksum.h>

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace Jujube
{

void TokenChecksum::add(std::string_view token)
{
    m_value = XXH3_64bits_withSeed(token.data(), token.size(), m_value);
}

std::string TokenChecksum::hex() const
{
    return absl::StrFormat("%016x", m_value);
}

} // namespace Jujube
