#include <LibRelay/DrainAdmission.h>

namespace Jujube
{

std::chrono::milliseconds DrainAdmission::expectedTime(const RunDemand &demand) const
{
    if (demand.promptTokens == 0) {
        return callDuration;
    }
    const double prefill = static_cast<double>(demand.promptTokens) / prefillTokensPerMs;
    const double output = lengthFactor * static_cast<double>(demand.expectedTokens) * std::chrono::duration<double, std::milli>(timePerToken).count();
    return queueTime + std::chrono::milliseconds(static_cast<int64_t>(prefill + output));
}

bool DrainAdmission::admits(const RunDemand &demand, MonotonicTime stopAt, MonotonicTime now) const
{
    return now + expectedTime(demand) <= stopAt;
}

} // namespace Jujube
