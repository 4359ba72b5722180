#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>

namespace Jujube
{

// Cooldowns of targets that have rejected a request of this relay with a Retry-After header field (RFC 9110, section 10.2.3). Until its cooldown ends, a target
// gets no new run from this relay. The cooldown applies only to the relay that received it, so it is not sent to peers.
class TargetCooldowns
{
public:
    struct Options {
        // Maximum cooldown, however long a target asks for.
        std::chrono::milliseconds maxCooldown {60000};
        // Continuations that a target gets during its cooldown, because the KV cache of a running generation exists only there.
        size_t maxContinuations = 1;
    };

    explicit TargetCooldowns(Options options);

    // Starts or extends a cooldown. The later end applies if the target already has one.
    void record(const std::string &target, std::chrono::milliseconds time, MonotonicTime now);

    // When the cooldown of a target ends. Nothing if it may get work.
    std::optional<MonotonicTime> until(const std::string &target, MonotonicTime now) const;

    // Continuations that a target has had during its cooldown. None without one.
    size_t continuations(const std::string &target, MonotonicTime now) const;
    // Continuations that a target may still get during its cooldown. Nothing if it has no cooldown.
    std::optional<size_t> remainingContinuations(const std::string &target, MonotonicTime now) const;
    // Whether a running generation may be continued at a target.
    bool mayContinue(const std::string &target, MonotonicTime now) const;
    // Records that a running generation was sent to a target.
    void recordContinuation(const std::string &target);

    // Removes the cooldown, because another target has the id now.
    void forget(const std::string &target);
    void expire(MonotonicTime now);

private:
    struct Cooldown {
        MonotonicTime until;
        size_t continuations = 0;
    };

    const Options m_options;
    absl::flat_hash_map<std::string, Cooldown> m_targets;
};

} // namespace Jujube
