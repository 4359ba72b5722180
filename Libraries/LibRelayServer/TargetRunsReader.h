#pragma once

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <LibCore/Time.h>
#include <LibRelay/RelaySession.h>
#include <LibRelay/TargetRuns.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <string>
#include <vector>

namespace Jujube
{

// Asks targets which requests they run. Requests that ask about one target at the same time share a call, and a target that has ended is not asked again, so
// that one that interrupts many responses gets few calls. A later process proves the end of the earlier one. A refused connection does not: proxies, cut links
// and processes that are starting refuse too. It counts as the end for a second, and only until something comes from the process again. Used on the loop's
// thread only.
class TargetRunsReader
{
public:
    using Hook = std::function<void(const TargetRuns &runs)>;
    struct Hooks {
        // Counts a call against the target's request limit. Returns false if the limit does not allow it now.
        std::function<bool(const std::string &target, MonotonicTime now)> tryTakeCall;
        std::function<void(const std::string &target, MonotonicTime now)> onUnreachable;
    };

    TargetRunsReader(LoopClient &client, const PlatformAdapter &adapter, Hooks hooks);

    // Asks a target and passes its statement on, at once or later.
    void read(const RelayTarget &target, Hook hook, MonotonicTime now);

    // Records that the target's process has sent something, or accepted a connection, at this time.
    void recordAlive(const std::string &target, int64_t incarnation, MonotonicTime at);

    // Whether the target's process has ended, as far as is known at this time.
    bool isGone(const std::string &target, int64_t incarnation, MonotonicTime now) const;

    // Frees what is known of targets that have ended long ago.
    void expire(MonotonicTime now);

private:
    using Key = std::pair<std::string, int64_t>;
    struct Read {
        MonotonicTime askedAt;
        // Of the last attempt to connect.
        MonotonicTime connectingSince;
        int connectTimeouts = 0;
        // The last sign of life of the process meanwhile.
        MonotonicTime aliveAt {};
        std::vector<Hook> hooks;
    };

    void call(const RelayTarget &target, MonotonicTime now);
    TargetRuns runsOf(const RelayTarget &target, const LoopAnswer &answer, MonotonicTime now);
    void finish(const RelayTarget &target, TargetRuns runs, MonotonicTime now);

    LoopClient &m_client;
    const PlatformAdapter &m_adapter;
    const Hooks m_hooks;
    absl::flat_hash_map<Key, Read> m_reads;
    // When a later process was found in the place of these.
    absl::flat_hash_map<Key, MonotonicTime> m_replaced;
    // When these refused a connection.
    absl::flat_hash_map<Key, MonotonicTime> m_refused;
};

} // namespace Jujube
