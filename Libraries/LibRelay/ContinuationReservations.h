#pragma once

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <LibRelay/TargetCooldowns.h>
#include <LibRelay/TargetRequestLimits.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Reservations of continuations: each lets one running generation continue at a target that holds its KV cache, whatever else is sent there meanwhile.
//
// A cooldown allows a target few continuations and a request limit few requests, so that a target which may continue a generation now may have no turn left
// when the generation has been stopped. A generation is therefore stopped only with a reservation at its source, which keeps the KV cache if the destination
// turns it away. A reservation counts against the cooldown and the limit from the start, and is given back if it is not used. It stays valid if the limit falls
// meanwhile. If a cooldown begins, some of the earlier reservations may still be used.
class ContinuationReservations
{
public:
    struct Options {
        // Maximum number of continuations that a target gets during a cooldown if they were reserved before it began.
        size_t maxInCooldown = 2;
        // Called when a target has a reservation less, so that another generation may get one.
        std::function<void(const std::string &target)> onReleased = [](const std::string &) {};
    };

    // The cooldowns and the limits must outlive the reservations.
    ContinuationReservations(Options options, TargetCooldowns &cooldowns, TargetRequestLimits &limits);

    // Whether a request's generation may continue at a target now.
    bool mayContinue(const std::string &target, const std::string &request, MonotonicTime now) const;

    // The same by the target's cooldown alone, for a request without a reservation.
    bool isAllowedByCooldown(const std::string &target, MonotonicTime now) const;

    // Reserves a continuation, unless the request has one there already. Returns false if the target allows none now.
    bool tryReserve(const std::string &target, const std::string &request, MonotonicTime now);
    bool isReserved(const std::string &target, const std::string &request) const;

    // Uses the reservation for a continuation that is sent now. Returns false if there is none.
    bool use(const std::string &target, const std::string &request, MonotonicTime now);
    // Gives back a reservation that is not needed any more.
    void release(const std::string &target, const std::string &request);
    // Voids the reservations at a target, because a later process has its id.
    void forget(const std::string &target);

    // When a target may allow a continuation that it does not allow now. Nothing if it allows one, or if only other reservations or the lack of a share prevent
    // it.
    std::optional<MonotonicTime> nextTime(const std::string &target, MonotonicTime now) const;

private:
    struct Reservation {
        std::string request;
        // Nothing if the target had no request limit.
        std::optional<TargetRequestLimits::Reservation> limit;
    };

    size_t countAt(const std::string &target) const;
    // Removes a reservation. Nothing if there is none.
    std::optional<Reservation> take(const std::string &target, const std::string &request);

    const Options m_options;
    TargetCooldowns &m_cooldowns;
    TargetRequestLimits &m_limits;
    absl::flat_hash_map<std::string, std::vector<Reservation>> m_targets;
};

} // namespace Jujube
