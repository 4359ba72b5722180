#pragma once

#include <LibControl/LeaseRecord.h>
#include <LibCore/Time.h>
#include <LibPlatform/TableRow.h>
#include <map>
#include <optional>

namespace Jujube
{

// The state machine of one competitor for the lease in the table service. It decides when to read or write the row; its owner does so and reports the result.
//
// Two competitors never hold the lease at the same time, whatever is lost, delayed or frozen: a holder counts its lease from before it sent the write and
// stops a safety margin early, and a competitor counts the whole lease time from when it had read the row. Only monotonic time is used.
class LeaseKeeper
{
public:
    struct Options {
        // Unique for each start of a process.
        std::string identity;
        std::chrono::milliseconds leaseTime {10000};
        // For the different rates of two nodes' clocks.
        std::chrono::milliseconds safetyMargin {1000};
        std::chrono::milliseconds renewInterval {3000};
        // Between reads while somebody else holds the lease.
        std::chrono::milliseconds readInterval {5000};
        // An expired lease is read again after a random pause up to this before it is taken over, so that all competitors do not write at once.
        std::chrono::milliseconds takeoverSpread {5000};
        // After a failed call.
        std::chrono::milliseconds retryInterval {1000};
    };

    enum class Step {
        Wait,
        Read,
        Write,
    };

    // What the owner does next.
    struct Action {
        Step step = Step::Wait;
        // For Write: the value, on the condition that the row has the revision (zero: does not exist).
        std::string value;
        int64_t revision = 0;
    };

    explicit LeaseKeeper(Options options);

    // Decides the next step. For Write, the lease will be counted from this time, so the owner sends the write after this call. The random number is from
    // [0, 1).
    Action next(MonotonicTime now, double random);

    // Reports a finished read. The time is that of the call's end.
    void onRead(const RowReadResult &result, MonotonicTime now);

    // Reports a finished write; the result of TableClient::putIfRevision() or putIfAbsent(). A lost answer is resolved by a read before the next write.
    void onWrite(const WriteResult &result, MonotonicTime now);

    // Makes the next step a read, for example because a target has refused the fencing number.
    void requestRead(MonotonicTime now);

    // Whether orders may be sent now.
    bool holds(MonotonicTime now) const;

    // The number that each order carries, or nothing if the lease is not held.
    std::optional<uint64_t> fencing(MonotonicTime now) const;

    // When the present term began. Valid while holds() is true.
    MonotonicTime termStart() const
    {
        return m_termStart;
    }

    std::chrono::milliseconds leaseTime() const
    {
        return m_options.leaseTime;
    }

private:
    // The row as last read, and since when it is known to be unchanged.
    struct Observation {
        int64_t revision = 0;
        LeaseRecord record;
        MonotonicTime since;
    };

    bool isOwn() const;
    Action writeRecord(uint64_t fencing, MonotonicTime now);
    Action nextAsCompetitor(MonotonicTime now, double random);
    void observe(const TableRow &row, MonotonicTime now);
    void observeAbsence(MonotonicTime now);
    // Takes a write for effective: its lease counts from before it was sent.
    void confirm(uint64_t renewal, uint64_t fencing, MonotonicTime now);

    const Options m_options;
    // Nothing before the first read. Revision zero if the row does not exist.
    std::optional<Observation> m_observed;
    MonotonicTime m_nextCall;
    // When a takeover of the expired lease may be written, after one more read.
    std::optional<MonotonicTime> m_takeover;
    MonotonicTime m_lastRead;
    bool m_mustRead = true;
    bool m_unusable = false;
    uint64_t m_lastRenewal = 0;
    uint64_t m_pendingFencing = 0;
    // Writes whose effect is open: renewal number to the time before the write was sent.
    std::map<uint64_t, MonotonicTime> m_sent;
    // The present term, zero if this process never held the lease.
    uint64_t m_fencing = 0;
    MonotonicTime m_termStart;
    MonotonicTime m_heldUntil;
};

} // namespace Jujube
