#include <LibMembership/Member.h>

#include <array>
#include <xxhash.h>

namespace Jujube
{

std::string_view nameOf(MemberState state)
{
    static constexpr std::array<std::string_view, 4> Names {"live", "suspect", "gone", "leaving"};
    return Names.at(static_cast<size_t>(state));
}

uint32_t hashOf(const MemberIdentity &identity)
{
    return static_cast<uint32_t>(XXH3_64bits_withSeed(identity.name.data(), identity.name.size(), static_cast<uint64_t>(identity.incarnation)));
}

std::optional<std::chrono::milliseconds> Member::age(MonotonicTime now) const
{
    if (!lastHeartbeatAt) {
        return std::nullopt;
    }
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(now - *lastHeartbeatAt));
}

} // namespace Jujube
