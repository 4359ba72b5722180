#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides when to order the KV cache copies of generations whose engine is leaving. An engine with several long generations terminates within some two seconds,
// and its link transfers one copy after the other. Each migration ends with a second, short copy that stops the generation and must not queue behind the first
// copies of others. Copies of one engine are therefore ordered one generation at a time, the most valuable first, and relays take turns in an order on which
// they agree.
class MigrationSchedule
{
public:
    // Registers an engine that is leaving. `wait` is the time that the relays before this one need for their copies.
    void addLeavingTarget(const std::string &target, std::chrono::milliseconds wait, MonotonicTime now);

    // Queues a generation of the engine for migration, unless it is queued already.
    void add(const std::string &target, const std::string &request, double value);

    // Removes a generation that has been migrated, has ended, or cannot be migrated now, so that the next one gets its turn.
    void remove(const std::string &request);

    // Starts this relay's turn early, because no relay before it has a generation on the engine any more.
    void grantTurn(const std::string &target, MonotonicTime now);

    // Engines whose generations wait for the turns of other relays.
    std::vector<std::string> waitingTargets(MonotonicTime now) const;

    // Generations whose copies are to be ordered now. Each occupies its engine until remove().
    std::vector<std::string> takeDue(MonotonicTime now);

    // When takeDue() has to be called next, or nothing if no generation is waiting for its turn.
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
        // The generation that is being copied; empty if none.
        std::string active;
    };

    absl::flat_hash_map<std::string, Leaving> m_leavingTargets;
};

} // namespace Jujube
