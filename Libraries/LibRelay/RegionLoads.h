#pragma once

#include <LibRelay/TargetLoad.h>
#include <optional>
#include <vector>

namespace Jujube
{

// The loads that are reported to relays of other regions in a large fleet. Each region has dozens of relays, each with requests on most targets; if every relay
// reported all of its loads to all relays elsewhere, heartbeats would exceed the response traffic between the regions.
//
// Each relay reports only what it would have to copy off its targets, because the order of migrations depends on it as soon as a target is leaving. `others`
// are the loads of the other relays in the region if this relay is the one that reports for the region, which then sends the sum of all; nothing for any other
// relay.
std::vector<TargetLoad> loadsForOtherRegions(const std::vector<TargetLoad> &own, const std::optional<std::vector<std::vector<TargetLoad>>> &others);

} // namespace Jujube
