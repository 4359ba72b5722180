#pragma once

#include <chrono>
#include <cstddef>

namespace Jujube
{

// Time and size parameters of the membership protocol. The defaults stay within 5 KB/s of control traffic at 390 members; see docs/MEASUREMENTS-membership.md.
struct MembershipTuning {
    // Interval between two heartbeats of a member.
    std::chrono::milliseconds round {1000};
    // A watcher reports a member after this time without a heartbeat: three lost heartbeats and the jitter of a round.
    std::chrono::milliseconds watchTimeout {3500};
    // A suspect member is gone unless a later heartbeat becomes known within this time. A report reaches 390 members in about 6 rounds.
    std::chrono::milliseconds suspicionTimeout {4000};
    // A data centre counts as unreachable if no heartbeat from it is known for contactTimeoutBase plus contactTimeoutPerDoubling for each doubling of the
    // membership.
    std::chrono::milliseconds contactTimeoutBase {4000};
    std::chrono::milliseconds contactTimeoutPerDoubling {400};
    // A member is suspect, even if no watcher reported it, if no heartbeat of it is known for staleTimeoutBase plus staleTimeoutPerMember for each member.
    std::chrono::milliseconds staleTimeoutBase {10000};
    std::chrono::milliseconds staleTimeoutPerMember {500};
    // A longer time between two rounds indicates that the process was frozen.
    std::chrono::milliseconds freezeThreshold {3000};
    // A gone member that the VM list no longer contains is removed after this time.
    std::chrono::seconds unlistedRetention {60};
    // Any other gone member is removed after this time. Until then it counts as known, so that a long partition does not turn a minority into a majority.
    std::chrono::seconds goneRetention {3600};
    size_t watchers = 2;
    // Maximum number of digests of other members in one datagram, with about 15 bytes each.
    size_t digestsPerDatagram = 20;
    // Exponent for the random choice of digests, after those of changes and of the latest member of each data centre. Members are sorted by the age of their
    // latest heartbeat and indexed by a uniform random number raised to this power: 1 prefers no member, higher powers prefer those with recent heartbeats.
    double freshnessBias = 1.5;
    // Digests in the response to a member that has just started. They fill a datagram.
    size_t digestsPerJoinResponse = 80;
    // Number of rounds after its start in which a member requests such responses.
    int64_t joinRounds = 6;
    // Heartbeats that all members of a region together send to other regions in each round. Traffic between regions is billed by volume.
    double crossRegionHeartbeatsPerRound = 6;
    size_t maxMembers = 2048;
};

} // namespace Jujube
