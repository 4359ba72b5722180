#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>

namespace Jujube
{

// Targets that have turned a request of this relay away and have said when to come back (RFC 9110, section 10.2.3). Until then they get no new run from this
// relay. The wish holds for the relay that was told, so others are not told of it.
class TargetCooldowns
{
public:
    struct Options {
        // Longest time for which a target is left alone, however long it asks for.
        std::chrono::milliseconds maxCooldown {60000};
        // Sends that a target gets all the same, because the memory of a running generation lies there and nowhere else.
        int maxContinuations = 1;
    };

    explicit TargetCooldowns(Options options);

    // A target has asked to be left alone. The later end holds if it has asked before.
    void record(const std::string &target, std::chrono::milliseconds time, MonotonicTime now);

    // Until when a target is to be left alone. Nothing if it may get work.
    std::optional<MonotonicTime> until(const std::string &target, MonotonicTime now) const;

    // Whether a running generation may go on at a target.
    bool mayContinue(const std::string &target, MonotonicTime now) const;
    // A running generation is sent to a target.
    void recordContinuation(const std::string &target);

    // Another target has the name now.
    void forget(const std::string &target);
    void expire(MonotonicTime now);

private:
    struct Cooldown {
        MonotonicTime until;
        int continuations = 0;
    };

    const Options m_options;
    absl::flat_hash_map<std::string, Cooldown> m_targets;
};

} // namespace Jujube
