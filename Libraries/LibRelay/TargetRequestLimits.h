#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <functional>
#include <LibCore/Time.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// The relays among which the request limit of a target is divided.
struct RequestLimitParticipants {
    struct Relay {
        std::string node;
        // Hash of the relay's name.
        uint64_t hash = 0;
        std::string region;
    };

    // Live relays, without this one.
    std::span<const Relay> others;
    Relay self;
    // Number of relays that may be sending requests, this one and those that have been silent for a while included.
    size_t known = 1;
    // Whether this relay has run for long enough to have received heartbeats of its peers.
    bool hasDiscoveredPeers = true;
    // Region of the target. Its relays are the first holders.
    std::string targetRegion;
    // Whether all live relays are holders.
    bool areAllHolders = false;
};

// Limits on the requests per second of all relays together that targets name in their responses, and this relay's shares of them.
//
// Each limit is divided without messages between the relays. With many relays an equal share would be one request in minutes, and as many relays as there are
// could send that one request in the same second. A limit is therefore assigned to few relays, the holders: about as many as the limit has requests per
// second, the first ones in an order on which all relays agree (rendezvous hashing, Thaler and Ravishankar, 1998), beginning with those of the target's region.
// Each holder sends at a constant rate (generic cell rate algorithm, ITU-T I.371). Relays that have lost the others keep only the part of the limit that
// corresponds to their number.
class TargetRequestLimits
{
public:
    struct Options {
        // How much earlier than at the constant rate a request may be sent after a time without requests.
        std::chrono::milliseconds burstTime {250};
        // The same for what saves a running generation, because its KV cache is nowhere else.
        std::chrono::milliseconds continuationBurstTime {1000};
        // A limit that no response has confirmed for this time is divided among all relays, so that one of them learns whether it still holds.
        std::chrono::seconds staleAfter {30};
        // After its end, a limit doubles in each interval until it does not apply any more. Otherwise all relays would return at the same moment.
        std::chrono::milliseconds doublingInterval {1000};
        std::chrono::milliseconds rampTime {6000};
        // Requests per second that a target gets in any case, because only its responses tell when a limit rises or ends.
        double minLimit = 0.1;
        // Minimum limit at the start of the ramp.
        double minRampLimit = 1;
        // Time after a freeze in which peers report the limits that have changed.
        std::chrono::milliseconds relearningTime {2000};
        // Part of a limit by which it may change without being reported as a change.
        double minorChange = 0.1;
        // Maximum time for which requests that were sent beyond the share delay later ones.
        std::chrono::seconds maxDelay {30};
    };

    // What a response says about a limit, as received by this relay or reported by a peer.
    struct Statement {
        std::string target;
        int64_t incarnation = 0;
        // Requests per second. Nothing if the target no longer names a limit.
        std::optional<double> limit;
        // Time since a relay received the response.
        std::chrono::milliseconds age {0};
        // Name of the peer that reported the statement. Empty if this relay received the response.
        std::string peer;
    };

    // The effect of a statement.
    enum class Change {
        None,
        // The target has named its first limit, or one that differs from the one reported last by more than a minor change.
        Named,
        Ended,
    };

    // A limit in force, for logs and metrics.
    struct State {
        std::string target;
        double limit = 0;
        // Requests per second that this relay may send.
        double share = 0;
        std::chrono::milliseconds age {0};
        // Name of the peer that reported the limit. Empty if this relay received it from the target.
        std::string peer;
    };

    // The right to send one request to a target at a time in the future.
    struct Reservation {
        std::string target;
        MonotonicTime sendAt;
        // Number of reductions of the share before the reservation was made. A later reduction makes it invalid.
        uint64_t reductions = 0;
        // The process that named the limit.
        int64_t incarnation = 0;
        // By how much the reservation delays later requests.
        MonotonicTime::duration delay {0};
    };

    explicit TargetRequestLimits(Options options);

    // Applies a statement, unless a newer one about the target is known. The share is zero until the next update().
    Change record(const Statement &statement, MonotonicTime now);

    // Computes this relay's shares. `participantsOf` returns the relays among which the limit of a target is divided.
    void update(const std::function<RequestLimitParticipants(const std::string &target)> &participantsOf, MonotonicTime now);

    // The share of one relay in a limit, in requests per second.
    static double shareOf(double limit, const RequestLimitParticipants &participants, std::string_view target);

    bool hasLimits() const
    {
        return !m_targets.empty();
    }
    bool isLimited(const std::string &target) const;
    // The limit that a target has named last. Nothing if it has none, or none any more.
    std::optional<double> limit(const std::string &target) const;
    // Requests per second that this relay may send to a limited target.
    double share(const std::string &target) const;
    std::vector<State> states(MonotonicTime now) const;

    // Whether a request may be sent to a target now.
    bool maySend(const std::string &target, MonotonicTime now) const;
    // Whether something may be sent to a target now that saves a running generation: its continuation, or an order to copy it.
    bool mayContinue(const std::string &target, MonotonicTime now) const;
    // When this relay may send the next request to a limited target. Nothing if it has no share.
    std::optional<MonotonicTime> nextSendTime(const std::string &target, MonotonicTime now) const;
    // The same for what saves a running generation.
    std::optional<MonotonicTime> nextContinueTime(const std::string &target, MonotonicTime now) const;
    // Reserves the next request to a target. Nothing if that is later than `latest`, or if this relay has no share.
    std::optional<Reservation> reserve(const std::string &target, MonotonicTime latest, MonotonicTime now);
    bool isValid(const Reservation &reservation, MonotonicTime now) const;
    // Reserves what saves a running generation, for any time from now on. Nothing if the target has no limit or does not allow it.
    std::optional<Reservation> reserveContinuation(const std::string &target, MonotonicTime now);
    // Gives back a reservation that has not been used.
    void cancel(const Reservation &reservation);
    // Records a request that is sent without a reservation.
    void recordSend(const std::string &target, MonotonicTime now);

    // Statements about limits, to be sent to peers: those that this relay received from the targets themselves within a time.
    std::vector<Statement> recentStatements(std::chrono::milliseconds within, MonotonicTime now) const;
    // All statements that are known, for a relay that has just started.
    std::vector<Statement> allStatements(MonotonicTime now) const;

    // Handles that the process did not run for a while. Limits may have changed meanwhile, so limited targets get nothing until peers have reported theirs.
    // `suspended` is the part of that time for which the monotonic clock did not run, by which all statements are older.
    void onFrozen(std::chrono::nanoseconds suspended, MonotonicTime now);

    // Removes the limit of an earlier lifetime of a target.
    void forgetBefore(const std::string &target, int64_t incarnation);
    // Removes limits of targets that are gone. Peers may report limits of targets that are not listed here yet.
    void expire(const std::function<bool(const std::string &target)> &isListed, MonotonicTime now);

private:
    struct Entry {
        int64_t incarnation = 0;
        double limit = 0;
        // The limit at the last change that was reported to the caller of record().
        double reportedLimit = 0;
        // When a relay received the newest statement.
        MonotonicTime observedAt;
        // When the target first responded without a limit.
        std::optional<MonotonicTime> endedAt;
        std::string peer;
        double share = 0;
        uint64_t reductions = 0;
        // When the next request is due at the constant rate.
        MonotonicTime dueAt;
    };

    // Whether the limit has ended so long ago that it does not apply any more.
    bool isOver(const Entry &entry, MonotonicTime now) const;
    double currentLimit(const Entry &entry, MonotonicTime now) const;
    static void setShare(Entry &entry, double share, double phase, MonotonicTime now);
    static MonotonicTime::duration intervalOf(double share);
    void advance(Entry &entry, MonotonicTime now) const;
    Reservation take(const std::string &target, MonotonicTime sendAt, MonotonicTime now);
    bool mayProceed(const std::string &target, std::chrono::milliseconds burstTime, MonotonicTime now) const;
    std::optional<MonotonicTime> nextTime(const std::string &target, std::chrono::milliseconds burstTime, MonotonicTime now) const;
    static Statement statementOf(const std::string &target, const Entry &entry, MonotonicTime now);

    Options m_options;
    absl::flat_hash_map<std::string, Entry> m_targets;
    // The end of the time after a freeze in which limits may be outdated.
    MonotonicTime m_outdatedUntil;
};

} // namespace Jujube
