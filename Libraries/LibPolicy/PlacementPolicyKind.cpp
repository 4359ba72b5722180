#include <LibPolicy/PlacementPolicy.h>

#include <LibPolicy/LeastOutstandingPolicy.h>
#include <LibPolicy/LeastReportedMemoryPolicy.h>
#include <LibPolicy/MemoryForecastPolicy.h>
#include <LibPolicy/RoundRobinPolicy.h>

#include <utility>

namespace Jujube
{

namespace
{

constexpr std::array<std::pair<PlacementPolicyKind, std::string_view>, 4> KindNames {{
    {PlacementPolicyKind::RoundRobin, "round-robin"},
    {PlacementPolicyKind::LeastOutstanding, "least-outstanding"},
    {PlacementPolicyKind::LeastReportedMemory, "least-reported-memory"},
    {PlacementPolicyKind::MemoryForecast, "memory-forecast"},
}};

} // namespace

std::string_view nameOf(PlacementPolicyKind kind)
{
    return KindNames.at(static_cast<size_t>(kind)).second;
}

std::optional<PlacementPolicyKind> placementPolicyKindFromName(std::string_view name)
{
    for (const auto &[kind, kindName] : KindNames) {
        if (kindName == name) {
            return kind;
        }
    }
    return std::nullopt;
}

std::unique_ptr<PlacementPolicy> makePlacementPolicy(const PlacementOptions &options)
{
    switch (options.kind) {
    case PlacementPolicyKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>(options);
    case PlacementPolicyKind::LeastOutstanding:
        return std::make_unique<LeastOutstandingPolicy>(options);
    case PlacementPolicyKind::LeastReportedMemory:
        return std::make_unique<LeastReportedMemoryPolicy>(options);
    case PlacementPolicyKind::MemoryForecast:
        break;
    }
    return std::make_unique<MemoryForecastPolicy>(options);
}

} // namespace Jujube
