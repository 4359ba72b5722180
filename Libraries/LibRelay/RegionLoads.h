#pragma once

#include <LibRelay/TargetLoad.h>
#include <optional>
#include <vector>

namespace Jujube
{

// What relays of other regions are told of loads in a large fleet. Load pattern: dozens of relays in each region, each with something placed on most targets;
// if each told all of it to every relay elsewhere, heartbeats would outweigh the answers between the regions.
//
// Each relay tells only what it would have to copy off its targets, because the turns of copies depend on it from the moment at which a target leaves.
// `others` are the loads of the other relays in the region for the one relay that speaks for it, which tells the sum of all; nothing for the rest.
std::vector<TargetLoad> loadsForOtherRegions(const std::vector<TargetLoad> &own, const std::optional<std::vector<std::vector<TargetLoad>>> &others);

} // namespace Jujube
