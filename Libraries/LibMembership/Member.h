#pragma once

#include <cstdint>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

enum class MemberState {
    // A recent heartbeat is known.
    Live,
    // Missing heartbeats were reported, or no recent heartbeat of any member of its data centre is known, or no heartbeat of the member was ever known.
    Suspect,
    // A suspicion was not refuted in time, or the process has exited, or a higher incarnation has replaced it.
    Gone,
    // Draining, as announced by the member itself or by the VM list. Ends only when the member returns under a new incarnation.
    Leaving,
};

std::string_view nameOf(MemberState state);

// The identity of a gateway and its addresses.
struct MemberIdentity {
    std::string name;
    std::string dataCentre;
    std::string region;
    // For callers, "address:port".
    std::string address;
    // For heartbeats, "address:port". Empty if it is not known yet.
    std::string gossipAddress;
    // A process that replaces another one under the same name or address has a higher number, for example its start time in milliseconds.
    int64_t incarnation = 0;
};

// A 32-bit hash of name and incarnation. Among 400 members, the probability of a collision is 2 in 100,000; the age of one of the two members is then shown
// for the other until either restarts.
uint32_t hashOf(const MemberIdentity &identity);

// A gateway as this process sees it.
struct Member {
    MemberIdentity identity;
    MemberState state = MemberState::Suspect;
    // When the latest known heartbeat of the member was received, by this process or by a gateway that reported it. Empty if none is known.
    std::optional<MonotonicTime> lastHeartbeatAt;
    int64_t sequence = 0;
    int32_t openStreams = 0;
    int64_t documentVersion = 0;

    // Time since the latest known heartbeat. Empty if none is known.
    std::optional<std::chrono::milliseconds> age(MonotonicTime now) const;
};

// A VM in the platform's VM list that is meant to run a gateway.
struct VmListEntry {
    MemberIdentity identity;
    bool leaving = false;
};

} // namespace Jujube
