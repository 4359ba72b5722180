#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides when the copies of generations whose engine leaves are ordered. Load pattern: an engine with several long generations is taken away within some two
// seconds, and its link carries one copy after the other. A generation is stopped by a second, short copy, which must not wait behind the first copies of
// others; so the copies of one engine are ordered one generation at a time, the most valuable first, and gateways take turns in an order that they agree on.
class MigrationSchedule
{
public:
    // An engine leaves. `wait` is the time that the copies of the gateways before this one need.
    void addLeavingTarget(const std::string &target, std::chrono::milliseconds wait, MonotonicTime now);

    // A generation on the engine waits for its turn.
    void add(const std::string &target, const std::string &request, double value);

    // The generation has been moved, has ended, or cannot be moved now: the turn passes on.
    void remove(const std::string &request);

    // No gateway before this one has a generation on the engine any more.
    void grantTurn(const std::string &target, MonotonicTime now);

    // Engines whose generations wait for gateways before this one.
    std::vector<std::string> waitingTargets(MonotonicTime now) const;

    // Generations whose copies are to be ordered now. Each keeps its engine's turn until remove().
    std::vector<std::string> takeDue(MonotonicTime now);

    // When takeDue() has to be called next, or nothing if no generation waits for a time.
    std::optional<MonotonicTime> nextDueTime() const;

    // Forgets engines that left long ago.
    void expire(MonotonicTime now);

private:
    struct Waiting {
        std::string request;
        double value = 0;
    };
    struct Leaving {
        MonotonicTime since;
        MonotonicTime turnAt;
        std::vector<Waiting> waiting;
        // The generation that has the turn; empty if none.
        std::string active;
    };

    absl::flat_hash_map<std::string, Leaving> m_leavingTargets;
};

} // namespace Jujube
