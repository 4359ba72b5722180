#pragma once

#include <LibControl/PermitRow.h>
#include <LibCore/Time.h>
#include <LibPlatform/VmListClient.h>
#include <map>
#include <optional>

namespace Jujube
{

// What is known of the processes that hold permits. A holder is gone only on proof: its name or address appeared with a higher incarnation, or the VM list no
// longer has it. Silence proves nothing, because a frozen process may wake.
class HolderCensus
{
public:
    struct Options {
        // The VM list must lack a name for this long, over at least two reads.
        std::chrono::milliseconds missingTime {10000};
    };

    explicit HolderCensus(Options options);

    // Takes notice of a VM list read at this time. An empty list is taken for a fault of the platform.
    void onVmList(const std::vector<Vm> &vms, MonotonicTime now);

    // Takes notice of an incarnation from a heartbeat, a permit row or any other source.
    void onIncarnation(const PermitHolder &holder);

    bool isGone(const PermitHolder &holder) const;

    // Whether the latest VM list has the holder. Only then its later absence can prove that it is gone, so others get no permit.
    bool isListed(const PermitHolder &holder) const;

private:
    const Options m_options;
    // Highest incarnation for each name and each address.
    std::map<std::string, uint64_t> m_incarnations;
    // When the VM list last had the name.
    std::map<std::string, MonotonicTime> m_lastListed;
    std::optional<MonotonicTime> m_firstRead;
    std::optional<MonotonicTime> m_lastRead;
};

} // namespace Jujube
