#pragma once

#include "LoopbackProxy.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Jujube
{

enum class FaultKind {
    // SIGKILL and a restart.
    KillRelay,
    // SIGSTOP and SIGCONT.
    PauseRelay,
    // SIGTERM, the end of the process, and a restart.
    TerminateRelay,
    // A changed settings file, at times with mistakes, and SIGHUP.
    ReloadRelay,
    CallerLink,
    StoreLink,
    TargetLink,
    ResetLinks,
    Store,
    TargetBehaviour,
    CrashTarget,
    DrainTarget,
    ChangeDocument,
    Evacuate,
    // The target names a limit on the requests of all relays.
    LimitTarget,
    // A relay that reads the store is killed or paused, or its link to the store fails.
    StoreReader,
    // The document grows by many routes.
    GrowDocument,
    // Several targets of a service leave one after the other.
    DrainSeries,
    // All relays of a data centre are killed or paused, or lose the store.
    StrikeDataCentre,
    // The relay gets little processor time.
    SlowRelay,
    // The store is away for a moment and comes back from a copy that was taken when the fault began.
    RestoreStore,
};

std::string_view nameOf(FaultKind kind);

// Which relays, targets or links a fault strikes, and how.
struct Fault {
    std::chrono::milliseconds at {0};
    std::chrono::milliseconds duration {0};
    FaultKind kind = FaultKind::KillRelay;
    // Index of the relay, target or data centre.
    size_t subject = 0;
    // Chooses among the forms of the fault.
    unsigned variant = 0;

    std::string toText() const;
};

// How the store is restored, as the variant of the fault chooses it.
struct RestoreForm {
    // For how long the store is away at the end of the fault.
    std::chrono::milliseconds outage {0};
    // How calls fail meanwhile.
    unsigned failure = 0;
    // Whether the operator writes each row that was lost again once, with its newest value, and not all values in order.
    bool rewritesNewestOnly = false;
    // Whether transactions that were not done before the outage are done after it if their conditions hold.
    bool finishesTransactions = false;
};
RestoreForm restoreFormOf(unsigned variant);

struct FaultPlanOptions {
    uint64_t seed = 1;
    size_t relays = 0;
    size_t targets = 0;
    size_t dataCentres = 0;
    // The last fault is lifted before this time.
    std::chrono::milliseconds length {15000};
    // Faults for each second, each of them possibly a series.
    double rate = 1;
    // Changes of the store's tables and faults of the relays that read them, for each second.
    double tableChanges = 0;
    // Returns of the store from an older copy, for each second.
    double restores = 0;
};

// The faults of a run, by time. Faults come in series on the same subject and overlap. The plan depends on the options only.
std::vector<Fault> makeFaultPlan(const FaultPlanOptions &options);

} // namespace Jujube
