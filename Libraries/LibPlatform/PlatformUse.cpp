#include <LibPlatform/PlatformUse.h>

#include <algorithm>
#include <array>

namespace Jujube
{

namespace
{

// The platform handles several hundred writes/s and about 2,000 reads/s for all clients. The fleet's limits add up to 256 writes/s and 1,376 reads/s; the rest
// is left to other users of the platform. docs/platform-budget.md lists the resulting rates at 8 and at 390 nodes.
constexpr std::array Uses {
    PlatformUseInfo {PlatformUse::DocumentHead, "document_head", false, false, 400, 1, 1},
    PlatformUseInfo {PlatformUse::DocumentObject, "document_object", false, false, 200, 2, 2},
    PlatformUseInfo {PlatformUse::VmList, "vm_list", false, false, 80, 0.5, 1},
    PlatformUseInfo {PlatformUse::Claim, "claim", true, false, 100, 20, 10},
    PlatformUseInfo {PlatformUse::ClaimOutcome, "claim_outcome", true, false, 100, 20, 10},
    PlatformUseInfo {PlatformUse::ClaimRead, "claim_read", false, false, 300, 40, 10},
    PlatformUseInfo {PlatformUse::PermitRead, "permit_read", false, false, 250, 4, 4},
    PlatformUseInfo {PlatformUse::PermitWrite, "permit_write", true, false, 30, 2, 2},
    PlatformUseInfo {PlatformUse::LeaseRead, "lease_read", false, false, 100, 1, 1},
    PlatformUseInfo {PlatformUse::LeaseWrite, "lease_write", true, true, 1, 1, 2},
    PlatformUseInfo {PlatformUse::PermitScan, "permit_scan", false, true, 26, 26, 4},
    PlatformUseInfo {PlatformUse::PermitGrant, "permit_grant", true, true, 20, 20, 10},
    PlatformUseInfo {PlatformUse::Operator, "operator", true, true, 5, 5, 5},
};

} // namespace

std::span<const PlatformUseInfo> platformUses()
{
    return Uses;
}

const PlatformUseInfo &platformUseInfo(PlatformUse use)
{
    return Uses.at(static_cast<size_t>(use));
}

double ratePerNode(PlatformUse use, int nodes)
{
    const auto &info = platformUseInfo(use);
    const double share = info.isExclusive ? info.fleetPerSecond : info.fleetPerSecond / std::max(1, nodes);
    return std::min(info.nodePerSecond, share);
}

double ratePerFleet(PlatformUse use, int nodes)
{
    return ratePerNode(use, nodes) * (platformUseInfo(use).isExclusive ? 1 : nodes);
}

} // namespace Jujube
