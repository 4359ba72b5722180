#pragma once

#include <LibPolicy/PlacementTypes.h>
#include <LibPolicy/SlowStart.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <span>
#include <string_view>

namespace Jujube
{

// Position of a target in the fleet view. Stays valid until the target is removed, and may then be reused.
using TargetIndex = uint32_t;

// Description of a target from the environment document and the settings.
struct TargetDescription {
    std::string name;
    std::string dataCentre;
    std::string region;
    std::vector<std::string> models;
    // Cache memory in tokens, used until the first load report. Zero if unknown.
    int64_t memoryTokens = 0;
    // Maximum number of requests, from all gateways together, that the target can run while it is cold.
    int coldLimit = 0;
};

// State of one target as this gateway knows it.
struct TargetView {
    TargetDescription description;
    LoadReport load;
    bool hasReport = false;
    // Time at which the target measured the load report, by the gateway's clock.
    MonotonicTime loadTakenAt;
    // Requests of this gateway that are placed on the target, and their cache memory so far in tokens.
    int ownRunning = 0;
    int64_t ownMemory = 0;
    // Of these, the ones placed since the load report was taken.
    int ownSinceReport = 0;
    // Permits for the cold target that the controller granted to this gateway.
    int coldPermits = 0;
    bool leavingByReport = false;
    bool leavingByVmList = false;
    uint64_t vmIncarnation = 0;
    // After a failed request at `suspectedAt`, the target gets no new request until `suspectedUntil` or until a load report that was measured after the
    // failure.
    MonotonicTime suspectedAt;
    MonotonicTime suspectedUntil;
    uint32_t dataCentre = 0;

    bool isLeaving() const
    {
        return leavingByReport || leavingByVmList;
    }

    int64_t memoryLimit() const
    {
        return hasReport && load.memoryLimit > 0 ? load.memoryLimit : description.memoryTokens;
    }
};

// Targets that serve one model in one data centre.
struct ModelDataCentre {
    uint32_t dataCentre = 0;
    std::vector<TargetIndex> targets;
};

// One data centre as this gateway sees it.
struct DataCentreView {
    std::string name;
    std::string region;
    bool out = false;
    SlowStart slowStart;
};

// A target whose last load report is older than this may have become cold since and is treated as cold. Ten missed reports at one per second.
constexpr std::chrono::seconds LoadReportLifetime {10};

// All targets that a gateway may use, with an index per model and data centre. Not thread-safe.
class FleetView
{
public:
    explicit FleetView(SlowStartOptions slowStart = {});

    // Adds a target or changes its description. Its load state is kept.
    void setTarget(const TargetDescription &description);
    void removeTarget(std::string_view name);

    // Sets whether the environment document declares the data centre out of service. A data centre that returns to service goes through a slow start.
    void setDataCentreOut(std::string_view name, bool out, MonotonicTime now);

    // Sets the state from the VM list. A target stays leaving until it appears under a higher incarnation.
    void setVmState(std::string_view name, uint64_t incarnation, bool leaving);

    // Sets the number of permits for the cold target that this gateway holds.
    void setColdPermits(std::string_view name, int permits);

    // Records a load report that was measured `age` before `now`. Returns nothing for an unknown target, or for a report that is older than the known one or
    // belongs to an earlier incarnation.
    std::optional<TargetIndex> reportLoad(std::string_view name, const LoadReport &report, MonotonicTime::duration age, MonotonicTime now);

    // Account for this gateway's own generations on a target, with their cache memory in tokens.
    void addOwn(TargetIndex index, int64_t memory);
    void growOwn(TargetIndex index, int64_t tokens);
    void removeOwn(TargetIndex index, int64_t memory, bool sinceReport);
    // Sets the number of own requests that were placed after the last load report was measured.
    void setOwnSinceReport(TargetIndex index, int count);
    void suspect(TargetIndex index, MonotonicTime now, MonotonicTime until);

    // Marks the target as cold, as a line of one of its streams reported. Holds until a load report that was measured later shows it warm.
    void noteCold(std::string_view name, MonotonicTime now);

    // True if the target is cold, or might be because its last load report is too old.
    bool mayBeCold(TargetIndex index, MonotonicTime now) const;

    // True if the target may get a new request: neither leaving nor out of service nor suspected and, if it may be cold, below its cold limit and with a free
    // permit.
    bool isUsable(TargetIndex index, MonotonicTime now) const;

    // Share of its capacity, between 0 and 1, that the target may use during the slow start of its data centre.
    double slowStartShare(TargetIndex index, MonotonicTime now) const;

    std::optional<TargetIndex> find(std::string_view name) const;
    const TargetView &target(TargetIndex index) const;
    size_t size() const;

    // Number of slots; every TargetIndex is below it.
    size_t slotCount() const;
    bool isLive(TargetIndex index) const;

    // Targets of a model by data centre. Empty if no target serves the model.
    std::span<const ModelDataCentre> targetsOf(std::string_view model) const;
    const DataCentreView &dataCentre(uint32_t index) const;

private:
    uint32_t dataCentreIndex(std::string_view name, std::string_view region);
    void addToIndex(TargetIndex index);
    void removeFromIndex(TargetIndex index);
    TargetView *findMutable(std::string_view name);

    SlowStartOptions m_slowStartOptions;
    std::vector<TargetView> m_targets;
    std::vector<bool> m_live;
    std::vector<TargetIndex> m_free;
    std::vector<DataCentreView> m_dataCentres;
    absl::flat_hash_map<std::string, TargetIndex> m_byName;
    absl::flat_hash_map<std::string, std::vector<ModelDataCentre>> m_byModel;
};

} // namespace Jujube
