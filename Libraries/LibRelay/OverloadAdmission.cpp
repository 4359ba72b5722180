#include <LibRelay/OverloadAdmission.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Callers come back at the latest after this part of the time that they have left.
constexpr int MaxReturnDivisor = 3;

} // namespace

std::chrono::milliseconds OverloadAdmission::waitingTime(const Engine &engine, const Request &request) const
{
    if (engine.memoryTokens <= 0) {
        return std::chrono::milliseconds(0);
    }
    const auto memory = static_cast<double>(engine.memoryTokens);
    const auto committed = static_cast<double>(engine.load.memory + request.promptTokens + request.expectedTokens);
    const double excess = std::max(0.0, committed - m_options.maxCommitment * memory);
    const double freedPerMs = memory / static_cast<double>(m_options.runTime.count());
    const double prefill = static_cast<double>(engine.load.prefill) / m_options.prefillTokensPerMs;
    return std::chrono::milliseconds(static_cast<int64_t>(prefill + excess / freedPerMs));
}

std::optional<std::chrono::milliseconds> OverloadAdmission::rejectionOf(const Engine &engine, const Request &request, double draw) const
{
    const auto waiting = waitingTime(engine, request);
    if (waiting <= request.latencyGoal * m_options.maxWaitPart) {
        return std::nullopt;
    }
    const auto latest = request.timeLeft / MaxReturnDivisor;
    const auto earliest = std::min(waiting, latest);
    // Relays reject many requests in the same second, and their callers must not all come back in the same second.
    return earliest + std::chrono::duration_cast<std::chrono::milliseconds>((latest - earliest) * draw);
}

} // namespace Jujube
