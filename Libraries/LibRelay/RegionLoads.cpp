#include <LibRelay/RegionLoads.h>

#include <absl/container/flat_hash_map.h>

namespace Jujube
{

std::vector<TargetLoad> loadsForOtherRegions(const std::vector<TargetLoad> &own, const std::optional<std::vector<std::vector<TargetLoad>>> &others)
{
    std::vector<TargetLoad> result;
    if (!others) {
        for (const auto &load : own) {
            if (load.movable > 0) {
                result.push_back({.target = load.target, .movable = load.movable});
            }
        }
        return result;
    }
    absl::flat_hash_map<std::string, TargetLoad> sums;
    for (const auto &load : own) {
        sums[load.target] = load;
    }
    for (const auto &loads : *others) {
        for (auto load : loads) {
            // Reported by the relay to which the generations belong.
            load.movable = 0;
            auto &sum = sums[load.target];
            sum.target = load.target;
            sum.add(load);
        }
    }
    for (const auto &[target, sum] : sums) {
        if (!sum.isEmpty()) {
            result.push_back(sum);
        }
    }
    return result;
}

} // namespace Jujube
