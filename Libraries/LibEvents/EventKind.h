#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Jujube
{

// The numbered events of all processes. A number keeps its meaning for ever; docs/events.md is the catalogue.
enum class EventKind : uint16_t {
    ProcessStarted = 1001,
    ProcessDraining = 1002,
    ProcessStopped = 1003,
    SettingsReloaded = 1004,
    ProcessWasFrozen = 1005,
    RequestAccepted = 2001,
    RequestRefused = 2002,
    RequestFinished = 2003,
    TargetChosen = 2101,
    TargetAnswered = 2102,
    TargetLost = 2103,
    TargetSilent = 2104,
    StreamStarted = 2201,
    StreamResumed = 2202,
    StreamContinued = 2203,
    StreamFinished = 2204,
    StreamCallerLost = 2205,
    StreamFailed = 2206,
    ClaimWritten = 2301,
    ClaimFound = 2302,
    ClaimReadBack = 2303,
    CallSent = 2304,
    OutcomeRecorded = 2305,
    OutcomeUnrecorded = 2306,
    CallNotRun = 2307,
    DocumentInForce = 3001,
    DocumentRefused = 3002,
    DataCentreOut = 3003,
    DataCentreIn = 3004,
    DataCentreUnlisted = 3005,
    PlatformLost = 3101,
    PlatformRegained = 3102,
    GatewayIsolated = 3201,
    GatewayReconnected = 3202,
    PeerJoined = 3203,
    PeerLost = 3204,
    TargetLeaving = 3301,
    TargetReturned = 3302,
    TargetCold = 3303,
    TargetWarm = 3304,
    PermitGranted = 3401,
    PermitReturned = 3402,
    LeaseAcquired = 3501,
    LeaseLost = 3502,
    OrderSent = 3503,
    OrderRefused = 3504,
    CrashSuspected = 3601,
    CrashRefused = 3602,
    PromptPartRejected = 3603,
    PromptPartAllowed = 3604,
    RolloutOrdered = 3701,
    RolloutStageChanged = 3702,
    RolloutOrderRefused = 3703,
    RolloutTargetExcluded = 3704,
    RolloutWriteFailed = 3705,
    RelayAccepted = 4001,
    RelayRejected = 4002,
    RelayFinished = 4003,
    RelayCut = 4004,
    RelaySent = 4005,
    RelayTargetFailed = 4006,
    RelayDecision = 4007,
    RelayCallerGone = 4008,
    RelayCopied = 4009,
    RelayUnfinished = 4010,
    RelaySentOutsideHomes = 4011,
    TargetListed = 4101,
    TargetLeft = 4102,
    RowUnreadable = 4103,
    TableReplaced = 4104,
    StoreReaderChanged = 4105,
    TargetLimitChanged = 4106,
    TargetLimitEnded = 4107,
    TableBehind = 4108,
    PeerReadFailed = 4109,
    StoreRestored = 4110,
};

// One line of the catalogue.
struct EventKindInfo {
    EventKind kind;
    std::string_view name;
    std::string_view meaning;
};

// All event kinds in ascending order of their numbers.
std::span<const EventKindInfo> eventKinds();

// The name of a kind, for example "stream_started".
std::string_view nameOf(EventKind kind);

} // namespace Jujube
