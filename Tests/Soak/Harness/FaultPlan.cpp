#include "FaultPlan.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <LibCore/AbslView.h>
#include <random>

namespace Jujube
{

namespace
{

struct KindEntry {
    FaultKind kind;
    std::string_view name;
    // How often the kind is drawn, against the others.
    unsigned weight;
    // Longest time until the fault is lifted, in milliseconds.
    unsigned mostMs;
};

// Kinds of weight zero have a plan of their own, so that the other faults of a seed stay the same.
constexpr std::array Kinds {KindEntry {FaultKind::KillRelay, "kill-relay", 3, 1500},
                            KindEntry {FaultKind::PauseRelay, "pause-relay", 3, 3000},
                            KindEntry {FaultKind::TerminateRelay, "terminate-relay", 3, 8000},
                            KindEntry {FaultKind::ReloadRelay, "reload-relay", 1, 1},
                            KindEntry {FaultKind::CallerLink, "caller-link", 2, 3000},
                            KindEntry {FaultKind::StoreLink, "store-link", 2, 5000},
                            KindEntry {FaultKind::TargetLink, "target-link", 2, 3000},
                            KindEntry {FaultKind::ResetLinks, "reset-links", 1, 1},
                            KindEntry {FaultKind::Store, "store", 1, 5000},
                            KindEntry {FaultKind::TargetBehaviour, "target-behaviour", 4, 3000},
                            KindEntry {FaultKind::CrashTarget, "crash-target", 2, 2000},
                            KindEntry {FaultKind::DrainTarget, "drain-target", 2, 5000},
                            KindEntry {FaultKind::ChangeDocument, "change-document", 2, 1},
                            KindEntry {FaultKind::Evacuate, "evacuate", 1, 6000},
                            KindEntry {FaultKind::LimitTarget, "limit-target", 0, 9000},
                            KindEntry {FaultKind::StoreReader, "store-reader", 0, 4000},
                            KindEntry {FaultKind::GrowDocument, "grow-document", 0, 1},
                            KindEntry {FaultKind::DrainSeries, "drain-series", 0, 3000},
                            KindEntry {FaultKind::StrikeDataCentre, "strike-data-centre", 0, 3000},
                            KindEntry {FaultKind::SlowRelay, "slow-relay", 0, 4000},
                            KindEntry {FaultKind::RestoreStore, "restore-store", 0, 12000}};

const KindEntry &entryOf(FaultKind kind)
{
    return *std::find_if(Kinds.begin(), Kinds.end(), [&](const auto &entry) { return entry.kind == kind; });
}

size_t subjectCount(const FaultPlanOptions &options, FaultKind kind)
{
    switch (kind) {
    case FaultKind::TargetLink:
    case FaultKind::TargetBehaviour:
    case FaultKind::CrashTarget:
    case FaultKind::DrainTarget:
    case FaultKind::DrainSeries:
        return options.targets;
    case FaultKind::Evacuate:
    case FaultKind::StrikeDataCentre:
        return options.dataCentres;
    default:
        return options.relays;
    }
}

// Limits that targets name. The rule binds only some seconds after a limit was first named, so limits are long, and those of one target follow each other.
void addLimits(std::vector<Fault> &plan, const FaultPlanOptions &options)
{
    constexpr unsigned LeastMs = 3000;
    constexpr unsigned Variants = 1U << 16;
    constexpr uint64_t SeedOffset = 0x11;
    std::mt19937_64 random(options.seed + (SeedOffset << 32));
    const auto below = [&random](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random); };
    const auto mostMs = entryOf(FaultKind::LimitTarget).mostMs;
    for (size_t subject = 0; subject < options.targets; ++subject) {
        // Every second target names limits.
        if (below(2) == 0) {
            continue;
        }
        auto at = std::chrono::milliseconds(below(LeastMs));
        for (auto duration = std::chrono::milliseconds(LeastMs + below(mostMs - LeastMs)); at + duration < options.length;
             duration = std::chrono::milliseconds(LeastMs + below(mostMs - LeastMs))) {
            plan.push_back(
                {.at = at, .duration = duration, .kind = FaultKind::LimitTarget, .subject = subject, .variant = static_cast<unsigned>(below(Variants))});
            // The next limit begins before the end of this one, or a while after.
            at += duration / 2 + std::chrono::milliseconds(below(LeastMs));
        }
    }
}

// Changes of the store's tables, beside faults of the relays that read them. They have draws of their own, so that the other faults of a seed stay the same.
void addTableChanges(std::vector<Fault> &plan, const FaultPlanOptions &options)
{
    constexpr std::array Drawn {FaultKind::ChangeDocument,
                                FaultKind::ChangeDocument,
                                FaultKind::ChangeDocument,
                                FaultKind::DrainTarget,
                                FaultKind::DrainTarget,
                                FaultKind::DrainSeries,
                                FaultKind::Evacuate,
                                FaultKind::Evacuate,
                                FaultKind::StoreReader,
                                FaultKind::StoreReader,
                                FaultKind::StoreReader,
                                FaultKind::SlowRelay};
    constexpr unsigned Variants = 1U << 16;
    constexpr uint64_t SeedOffset = 0x12;
    constexpr unsigned LeastMs = 300;
    constexpr unsigned MostInSeries = 3;
    constexpr unsigned MostPauseMs = 1500;
    constexpr double MillisecondsPerSecond = 1000;
    std::mt19937_64 random(options.seed + (SeedOffset << 32));
    const auto below = [&random](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random); };
    const auto add = [&](FaultKind kind, size_t subject, std::chrono::milliseconds at) {
        const auto mostMs = entryOf(kind).mostMs;
        const auto duration = std::chrono::milliseconds(std::min<uint64_t>(mostMs, LeastMs + below(mostMs)));
        const auto variant = static_cast<unsigned>(below(Variants));
        if (at + duration < options.length) {
            plan.push_back({.at = at, .duration = duration, .kind = kind, .subject = subject, .variant = variant});
        }
        return duration;
    };
    const auto length = static_cast<uint64_t>(options.length.count());
    const auto count = static_cast<size_t>(options.tableChanges * static_cast<double>(length) / MillisecondsPerSecond);
    if (count == 0) {
        return;
    }
    for (size_t number = 0; number < count; ++number) {
        const auto kind = Drawn[below(Drawn.size())];
        const auto subject = below(subjectCount(options, kind));
        auto at = std::chrono::milliseconds(below(length));
        const auto series = below(2) == 0 ? 1 : 1 + below(MostInSeries);
        for (uint64_t turn = 0; turn < series; ++turn) {
            at += add(kind, subject, at) / (1 + static_cast<int>(below(2))) + std::chrono::milliseconds(below(MostPauseMs));
        }
    }
    // The document grows once or twice, while most of its changes are still to come.
    const auto growths = 1 + below(2);
    for (uint64_t number = 0; number < growths; ++number) {
        add(FaultKind::GrowDocument, growths, std::chrono::milliseconds(below(length / 2)));
    }
    if (below(2) == 0) {
        add(FaultKind::StrikeDataCentre, below(options.dataCentres), std::chrono::milliseconds(below(length)));
    }
}

// Returns of the store from older copies, at times two within some seconds, with draws of their own.
void addRestores(std::vector<Fault> &plan, const FaultPlanOptions &options)
{
    constexpr unsigned Variants = 1U << 16;
    constexpr uint64_t SeedOffset = 0x13;
    constexpr unsigned LeastAgeMs = 1000;
    constexpr unsigned MostPauseMs = 6000;
    constexpr double MillisecondsPerSecond = 1000;
    std::mt19937_64 random(options.seed + (SeedOffset << 32));
    const auto below = [&random](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random); };
    const auto mostAgeMs = entryOf(FaultKind::RestoreStore).mostMs;
    // The store goes away at this time at the earliest. Returns when it is back.
    const auto add = [&](std::chrono::milliseconds earliest) {
        const std::chrono::milliseconds age(LeastAgeMs + below(mostAgeMs - LeastAgeMs));
        const auto variant = static_cast<unsigned>(below(Variants));
        const auto outage = restoreFormOf(variant).outage;
        const auto away = std::max(earliest, age);
        if (away + outage < options.length) {
            plan.push_back({.at = away - age, .duration = age + outage, .kind = FaultKind::RestoreStore, .variant = variant});
        }
        return away + outage;
    };
    const auto length = static_cast<uint64_t>(options.length.count());
    const auto count = static_cast<size_t>(options.restores * static_cast<double>(length) / MillisecondsPerSecond);
    for (size_t number = 0; number < count; ++number) {
        const auto back = add(std::chrono::milliseconds(below(length)));
        if (below(2) == 0) {
            add(back + std::chrono::milliseconds(below(MostPauseMs)));
        }
    }
}

} // namespace

RestoreForm restoreFormOf(unsigned variant)
{
    constexpr unsigned LeastOutageMs = 500;
    constexpr unsigned MostOutageMs = 3000;
    constexpr unsigned Outages = MostOutageMs - LeastOutageMs + 1;
    constexpr unsigned Failures = 3;
    const auto rest = variant / Outages;
    return {.outage = std::chrono::milliseconds(LeastOutageMs + variant % Outages),
            .failure = rest % Failures,
            .rewritesNewestOnly = rest / Failures % 2 == 1,
            .finishesTransactions = rest / Failures / 2 % 2 == 1};
}

std::string_view nameOf(FaultKind kind)
{
    return entryOf(kind).name;
}

std::string Fault::toText() const
{
    return absl::StrCat(at.count(), " ms: ", toAbsl(nameOf(kind)), " subject ", subject, " variant ", variant, " for ", duration.count(), " ms");
}

std::vector<Fault> makeFaultPlan(const FaultPlanOptions &options)
{
    constexpr unsigned MostInSeries = 4;
    constexpr unsigned Variants = 1U << 16;
    constexpr unsigned LeastMs = 50;
    constexpr unsigned MostPauseMs = 1500;
    constexpr double MillisecondsPerSecond = 1000;
    std::mt19937_64 random(options.seed);
    const auto below = [&random](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random); };
    unsigned weights = 0;
    for (const auto &entry : Kinds) {
        weights += entry.weight;
    }
    std::vector<Fault> plan;
    const auto count = static_cast<size_t>(options.rate * static_cast<double>(options.length.count()) / MillisecondsPerSecond);
    for (size_t number = 0; number < count; ++number) {
        auto drawn = below(weights);
        auto entry = Kinds.begin();
        while (drawn >= entry->weight) {
            drawn -= entry->weight;
            ++entry;
        }
        const auto subject = below(subjectCount(options, entry->kind));
        auto at = std::chrono::milliseconds(below(static_cast<uint64_t>(options.length.count())));
        // Half of the faults come once, the others in a series.
        const auto series = below(2) == 0 ? 1 : 1 + below(MostInSeries);
        for (uint64_t turn = 0; turn < series; ++turn) {
            const auto duration = std::chrono::milliseconds(std::min<uint64_t>(entry->mostMs, LeastMs + below(entry->mostMs)));
            if (at + duration < options.length) {
                plan.push_back({.at = at, .duration = duration, .kind = entry->kind, .subject = subject, .variant = static_cast<unsigned>(below(Variants))});
            }
            at += std::chrono::milliseconds(below(MostPauseMs)) + duration / (1 + static_cast<int>(below(2)));
        }
    }
    addLimits(plan, options);
    addTableChanges(plan, options);
    addRestores(plan, options);
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return plan;
}

} // namespace Jujube
