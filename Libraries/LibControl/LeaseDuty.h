#pragma once

#include <LibControl/ControlContext.h>
#include <LibControl/LeaseKeeper.h>
#include <LibPlatform/TableClient.h>
#include <mutex>

namespace Jujube
{

// A time during which this process holds the lease, as other duties see it.
struct LeaseTerm {
    uint64_t fencing = 0;
    MonotonicTime start;
};

// Keeps the lease row in the table service. step() runs on one thread; the other functions may be called from any.
class LeaseDuty
{
public:
    LeaseDuty(LeaseKeeper::Options options, TableClient table, ControlContext context);

    // Makes the next read or write if one is due.
    void step();

    // The present term, or nothing if the lease is not held at this moment. Asked for immediately before each order and each grant.
    std::optional<LeaseTerm> term() const;

    // A target has refused the fencing number, so somebody may have a higher one.
    void suspect();

private:
    void write(const LeaseKeeper::Action &action);
    void read();
    // Records the beginning and the end of terms.
    void recordChange();

    const TableClient m_table;
    const ControlContext m_context;
    mutable std::mutex m_mutex;
    LeaseKeeper m_keeper;
    uint64_t m_recordedTerm = 0;
};

} // namespace Jujube
