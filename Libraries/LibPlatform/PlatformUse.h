#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace Jujube
{

// A kind of request that processes send to the platform. Each use has a budget of its own, so that a burst of one does not starve another.
enum class PlatformUse {
    DocumentHead,
    DocumentObject,
    VmList,
    Claim,
    ClaimOutcome,
    ClaimRead,
    PermitRead,
    PermitWrite,
    LeaseRead,
    LeaseWrite,
    PermitScan,
    PermitGrant,
    Operator,
};

// The budget of one use. A node is one process of the fleet; its rate is the lower of its own limit and its share of the fleet's limit.
struct PlatformUseInfo {
    PlatformUse use;
    std::string_view name;
    bool isWrite;
    // Only one process at a time has this use, for example the lease holder.
    bool isExclusive;
    double fleetPerSecond;
    double nodePerSecond;
    double burst;
};

// All uses in the order of the enumeration.
std::span<const PlatformUseInfo> platformUses();

const PlatformUseInfo &platformUseInfo(PlatformUse use);

// Requests per second that one process may send for this use in a fleet of this many nodes.
double ratePerNode(PlatformUse use, int nodes);

// Requests per second that the whole fleet may send for this use.
double ratePerFleet(PlatformUse use, int nodes);

} // namespace Jujube
