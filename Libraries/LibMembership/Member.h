#pragma once

#include <cstdint>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

enum class MemberState {
    // Heard of lately.
    Live,
    // A silence was reported, or nothing was heard of its data centre lately, or it was never heard of.
    Suspect,
    // The silence lasted, or it has exited, or a higher incarnation took its place.
    Gone,
    // Draining by its own word or by the VM list. Stays so until it returns under a new incarnation.
    Leaving,
};

std::string_view nameOf(MemberState state);

// What identifies a gateway and where it is reached.
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

// A 32-bit hash of name and incarnation. Two members out of 400 share one with a probability of 2 in 100,000; then the age of one shows on the other until
// either restarts.
uint32_t hashOf(const MemberIdentity &identity);

// A gateway as this process sees it.
struct Member {
    MemberIdentity identity;
    MemberState state = MemberState::Suspect;
    // When the latest heartbeat known of, own or relayed, was received by a gateway. Nothing if none is known.
    std::optional<MonotonicTime> evidenceAt;
    int64_t sequence = 0;
    int32_t openStreams = 0;
    int64_t documentVersion = 0;

    // Time since the latest evidence. Nothing if it was never heard of.
    std::optional<std::chrono::milliseconds> age(MonotonicTime now) const;
};

// A machine in the platform's VM list that is to run a gateway.
struct VmListEntry {
    MemberIdentity identity;
    bool leaving = false;
};

} // namespace Jujube
