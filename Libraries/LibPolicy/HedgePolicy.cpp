#include <LibPolicy/HedgePolicy.h>

#include <LibCore/AbslView.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

namespace
{

// Unit of durations in the histogram. Its logarithmic axis starts at one unit and ends at 2^17 units, which is 13 s.
constexpr double UnitsPerSecond = 10000;
constexpr double UnitsPerMs = UnitsPerSecond / 1000;

constexpr std::chrono::seconds DurationHalfLife {60};
constexpr double MaxObservations = 1000;

// Calls are declared in the environment document, which has a few dozen of them.
constexpr size_t MaxCalls = 1024;

} // namespace

HedgePolicy::HedgePolicy(const HedgeOptions &options)
    : m_options(options)
{
}

std::optional<std::chrono::milliseconds> HedgePolicy::delay(std::string_view call, bool repeatable, MonotonicTime now) const
{
    const auto known = m_durations.find(toAbsl(call));
    if (!repeatable || known == m_durations.end()) {
        return std::nullopt;
    }
    const auto &durations = known->second;
    if (durations.total() * durations.remainingAt(now, DurationHalfLife) < m_options.minObservations) {
        return std::nullopt;
    }
    int bin = 0;
    while (bin < LengthBins && durations.tail(bin) > (1 - m_options.quantile) * durations.total()) {
        ++bin;
    }
    const double units = std::exp2(static_cast<double>(bin) / LengthBinsPerDoubling);
    return std::max(std::chrono::milliseconds(static_cast<int64_t>(std::ceil(units / UnitsPerMs))), m_options.minDelay);
}

bool HedgePolicy::tryHedge(bool repeatable)
{
    if (!repeatable || m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

void HedgePolicy::recordDuration(std::string_view call, std::chrono::duration<double> duration, MonotonicTime now)
{
    m_available = std::min(m_available + m_options.share, m_options.maxSaved);
    if (m_durations.size() >= MaxCalls) {
        m_durations.clear();
    }
    m_durations[toAbsl(call)].add(duration.count() * UnitsPerSecond, 1.0, now, DurationHalfLife, MaxObservations);
}

} // namespace Jujube
