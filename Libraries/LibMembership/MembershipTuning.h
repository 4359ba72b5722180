#pragma once

#include <chrono>
#include <cstddef>

namespace Jujube
{

// Times and counts of the membership protocol. The defaults meet the control budget of 5 KB/s at 390 members; see docs/MEASUREMENTS-membership.md.
struct MembershipTuning {
    // Time between two heartbeats of a member.
    std::chrono::milliseconds round {1000};
    // A watcher reports a silence of this length: three lost heartbeats and the jitter of a round.
    std::chrono::milliseconds watchTimeout {3500};
    // A reported member that is alive has this long to be heard of again. A report reaches 390 members in about 6 rounds.
    std::chrono::milliseconds refuteTime {4000};
    // A data centre of which nothing was heard for contactBase, plus contactStep for each doubling of the membership, is out of contact.
    std::chrono::milliseconds contactBase {4000};
    std::chrono::milliseconds contactStep {400};
    // A member of which nothing was heard for staleBase, plus stalePerMember for each member, is suspect even if no watcher reported it.
    std::chrono::milliseconds staleBase {10000};
    std::chrono::milliseconds stalePerMember {500};
    // A round that comes later than this shows that the process was frozen.
    std::chrono::milliseconds frozenAfter {3000};
    // A gone member that the VM list lacks is forgotten after this time.
    std::chrono::seconds forgetUnlisted {60};
    // Any other gone member is forgotten after this time. Until then it counts as known, so that a long partition does not turn a minority into a majority.
    std::chrono::seconds forgetAfter {3600};
    size_t watchers = 2;
    // Digests of other members in one datagram; about 15 bytes each.
    size_t digestsPerDatagram = 20;
    // Digests beyond changes and contacts are chosen by this power of a uniform number over the members in the order of their age: 1 prefers none, higher
    // powers prefer fresh ones.
    double freshnessBias = 1.5;
    // Digests in the answer to a member that has just started; they fill a datagram.
    size_t digestsPerJoinAnswer = 80;
    // A member asks for such answers in its first rounds.
    int64_t joinRounds = 6;
    // Heartbeats that all members of a region together send to other regions in each round. Traffic between regions is paid by volume.
    double crossRegionPerRound = 6;
    size_t maxMembers = 2048;
};

} // namespace Jujube
