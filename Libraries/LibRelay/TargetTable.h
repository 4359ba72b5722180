#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// The entry of one target in the target list.
struct TargetEntry {
    std::string id;
    // Start of the target's current lifetime, in milliseconds since 1970 by its own clock. A target that restarts under the same id has a higher one.
    int64_t incarnation = 0;
    std::string service;
    // "address:port".
    std::string address;
    std::string dataCentre;
    int slots = 1;
    bool leaving = false;
    // Whether the target itself has reported that it is leaving. This holds for the rest of its lifetime, whatever later entries contain.
    bool reportedLeaving = false;
    // How long the target stays cold, counted from when the entry was written.
    std::chrono::milliseconds coldLeft {0};
    // Number of the entry among those that the target has written in its lifetime. Zero if the entry states none.
    int64_t sequence = 0;
    // The store's version of the entry.
    int64_t version = 0;
    // Version of the target's software. Empty if the entry names none.
    std::string softwareVersion;
};

// One target as this relay knows it.
struct KnownTarget {
    TargetEntry entry;
    MonotonicTime coldUntil;
    // When the target's entry disappeared from the list or was first marked as leaving.
    std::optional<MonotonicTime> leavingSince;
    // Set if the entry expired while the store was unavailable: the target may register again until this time.
    std::optional<MonotonicTime> reregistrationDeadline;
    // When this relay last received, from the store or the target itself, a change that peers may not know yet: a new target, a new address, or that the target
    // is leaving.
    MonotonicTime changedAt;
};

// The targets of the list in the store. A target whose entry disappears is leaving; it serves its current runs for some time.
class TargetTable
{
public:
    struct Options {
        // A target whose entry expired while the store was unavailable registers again within this time after the store's return.
        std::chrono::milliseconds reregistrationGrace {2000};
        // For this time after the return of a data centre its targets may be cold, although their entries do not say so yet.
        std::chrono::milliseconds coldAfterReturn {3000};
        // Maximum notice with which targets leave while their generations are being copied.
        std::chrono::milliseconds leavingNotice {2500};
        // Targets that left are forgotten after this time.
        std::chrono::seconds retention {20};
        // Targets that reported themselves that they are leaving are kept longer, so that no late entry restores them.
        std::chrono::seconds reportedLeavingRetention {300};
    };

    explicit TargetTable(Options options);

    // Where an entry comes from.
    enum class Source {
        // The list in the store, or the target itself.
        Direct,
        // A peer, which notifies all others itself.
        Peer,
    };

    // Adds or updates an entry. One that is older than the known one has no effect. Returns whether the target began to leave by it.
    bool set(const TargetEntry &entry, MonotonicTime now, Source source = Source::Direct);

    // Removes an entry that has disappeared as of a version of the store. `afterOutage` means that the list was unavailable until now, so that the entry may
    // only have expired. Returns whether the target began to leave by it.
    bool remove(const std::string &id, bool afterOutage, int64_t version, MonotonicTime now);

    // Whether an entry that the store has restored from an older copy states nothing that the target has not stated before it began to leave.
    bool isFromBeforeLeaving(const TargetEntry &entry) const;

    // The store's versions begin anew. Whatever is read from it from now on is newer than the known entries.
    void forgetVersions();

    // Targets that changed within the given time according to the store or themselves, to be sent to peers.
    std::vector<TargetEntry> recentChanges(std::chrono::milliseconds within, MonotonicTime now) const;

    std::vector<TargetEntry> allEntries() const;

    // Digest of the targets that are neither leaving nor expired. Two relays with the same digest know the same targets.
    uint64_t digest() const;

    // Records that the target itself has reported that it is leaving. Returns whether it began to leave by that.
    bool recordLeaving(const std::string &id, int64_t incarnation, MonotonicTime now);

    // Ends grace periods that are over. Returns the targets that began to leave.
    std::vector<std::string> tick(MonotonicTime now);

    // Takes a data centre out of service or back into service. Returns whether that is a change.
    bool setDataCentreOut(const std::string &name, bool isOutOfService, MonotonicTime now);
    const absl::flat_hash_set<std::string> &dataCentresOut() const
    {
        return m_dataCentresOut;
    }
    bool isOutOfService(const std::string &dataCentre) const;

    const KnownTarget *find(std::string_view id) const;

    // Whether the target is known and leaving.
    bool isLeaving(std::string_view id) const;

    // Whether the target may get new requests.
    bool isUsable(const KnownTarget &target, MonotonicTime now) const;

    // Targets of a service that began to leave within the notice that targets usually give.
    std::vector<std::string> recentlyLeaving(const std::string &service, MonotonicTime now) const;

    const absl::flat_hash_map<std::string, KnownTarget> &targets() const
    {
        return m_targets;
    }

    // The targets of a service, in no particular order, until the table changes.
    const std::vector<const KnownTarget *> &ofService(const std::string &service) const;

    size_t size() const
    {
        return m_targets.size();
    }

private:
    using TargetsByService = absl::flat_hash_map<std::string, std::vector<const KnownTarget *>>;

    bool markLeaving(KnownTarget &target, MonotonicTime now, Source source = Source::Direct);
    bool markReportedLeaving(KnownTarget &target, MonotonicTime now, Source source);
    static void recordChange(KnownTarget &target, MonotonicTime now, Source source);
    uint64_t computeDigest() const;

    const Options m_options;
    absl::flat_hash_map<std::string, KnownTarget> m_targets;
    absl::flat_hash_set<std::string> m_dataCentresOut;
    // Every heartbeat of a peer needs the digest, so it is computed only when a target has changed.
    mutable std::optional<uint64_t> m_digest;
    // Index that is rebuilt for the first placement after a target was added, removed or changed its service.
    mutable std::optional<TargetsByService> m_byService;
};

} // namespace Jujube
