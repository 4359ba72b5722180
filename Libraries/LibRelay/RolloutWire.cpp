#include <LibRelay/RolloutWire.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Jujube
{

namespace
{

constexpr double ShareUnits = 10000;
constexpr int32_t MaxAgeMs = std::numeric_limits<int32_t>::max();
// Some thousand years, so that differences of times do not overflow.
constexpr int64_t MaxTimeMs = 100'000'000'000'000;
constexpr size_t MaxNameBytes = 256;

// The position of a stage is its number in messages, less one.
constexpr std::array Stages {
    RolloutStage::Trial,
    RolloutStage::Switching,
    RolloutStage::Completed,
    RolloutStage::Reverting,
    RolloutStage::RolledBack,
};

int32_t toWireStage(RolloutStage stage)
{
    return static_cast<int32_t>(std::ranges::find(Stages, stage) - Stages.begin()) + 1;
}

std::optional<RolloutStage> stageFromWire(int32_t number)
{
    if (number < 1 || number > static_cast<int32_t>(Stages.size())) {
        return std::nullopt;
    }
    return Stages[static_cast<size_t>(number) - 1];
}

int32_t toWireShare(double share)
{
    // A share that is not a number must not become a random one.
    return std::isfinite(share) ? static_cast<int32_t>(std::lround(std::clamp(share, 0.0, 1.0) * ShareUnits)) : 0;
}

double shareFromWire(int32_t share)
{
    return std::clamp(share / ShareUnits, 0.0, 1.0);
}

// A plan without a valid age counts as not confirmed.
std::chrono::milliseconds ageFromWire(int32_t age)
{
    return std::chrono::milliseconds(age < 0 ? MaxAgeMs : age);
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameBytes;
}

// At most so many bytes, without a part of a UTF-8 character at the end.
std::string truncated(const std::string &text, size_t maxBytes)
{
    if (text.size() <= maxBytes) {
        return text;
    }
    constexpr unsigned ContinuationMask = 0xc0;
    constexpr unsigned ContinuationBits = 0x80;
    auto end = maxBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & ContinuationMask) == ContinuationBits) {
        --end;
    }
    return text.substr(0, end);
}

} // namespace

Wire::RolloutNotice toWire(const RolloutNotice &notice)
{
    const auto &plan = notice.plan;
    Wire::RolloutNotice result;
    result.serviceName = plan.service;
    result.orderVersion = plan.order;
    result.planVersion = plan.version;
    result.stage = toWireStage(plan.stage);
    result.to = plan.to;
    result.share = toWireShare(plan.share);
    result.hold = notice.hold;
    result.ageMs = static_cast<int32_t>(std::clamp<int64_t>(notice.age.count(), 0, MaxAgeMs));
    result.startedMs = plan.startedMs;
    result.dueMs = plan.dueMs;
    // Optional fields that are not set take no bytes.
    if (!plan.rejected.empty()) {
        const auto count = std::min(plan.rejected.size(), MaxNoticeRejectedVersions);
        result.__set_rejected({plan.rejected.end() - static_cast<ptrdiff_t>(count), plan.rejected.end()});
    }
    if (!plan.reason.empty()) {
        result.__set_reason(truncated(plan.reason, MaxNoticeReasonBytes));
    }
    if (!plan.by.empty()) {
        result.__set_by(plan.by);
    }
    return result;
}

std::optional<RolloutNotice> fromWire(const Wire::RolloutNotice &notice)
{
    const auto stage = stageFromWire(notice.stage);
    if (!stage || !isName(notice.serviceName) || !isName(notice.to) || notice.planVersion <= 0) {
        return std::nullopt;
    }
    RolloutNotice result {.plan = {.service = notice.serviceName,
                                   .to = notice.to,
                                   .order = std::max<int64_t>(0, notice.orderVersion),
                                   .stage = *stage,
                                   .share = shareFromWire(notice.share),
                                   .startedMs = std::clamp<int64_t>(notice.startedMs, 0, MaxTimeMs),
                                   .dueMs = std::clamp<int64_t>(notice.dueMs, 0, MaxTimeMs),
                                   .reason = truncated(notice.reason, MaxNoticeReasonBytes),
                                   .by = truncated(notice.by, MaxNameBytes),
                                   .rejected = {},
                                   .version = notice.planVersion},
                          .hold = notice.hold,
                          .age = ageFromWire(notice.ageMs)};
    for (const auto &version : notice.rejected) {
        if (isName(version) && result.plan.rejected.size() < MaxNoticeRejectedVersions) {
            result.plan.rejected.push_back(version);
        }
    }
    return result;
}

} // namespace Jujube
