#include <LibPolicy/Backoff.h>

#include <LibPolicy/SplitMix.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Keeps the factor within its type. 2^30 times any initial delay is above every sensible maximum delay.
constexpr int MaxDoublings = 30;

} // namespace

std::chrono::milliseconds backoffDelay(const BackoffOptions &options, int attempt, uint64_t random, std::chrono::milliseconds atLeast)
{
    const int64_t factor = int64_t {1} << std::clamp(attempt, 0, MaxDoublings);
    const auto whole = std::min<std::chrono::milliseconds>(options.initialDelay * factor, options.maxDelay);
    const auto half = static_cast<double>(whole.count()) / 2;
    const std::chrono::milliseconds delay(static_cast<int64_t>(half + half * SplitMix(random).unit()));
    return atLeast.count() > 0 ? atLeast + delay : delay;
}

} // namespace Jujube
