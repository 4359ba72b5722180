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

// What the list of targets says about one target.
struct TargetEntry {
    std::string id;
    // Start of the target's present lifetime, in milliseconds since 1970 by its own clock. A target that starts again under its id has a higher one.
    int64_t incarnation = 0;
    std::string service;
    // "address:port".
    std::string address;
    std::string dataCentre;
    int slots = 1;
    bool leaving = false;
    // The target itself has said that it leaves. This holds for the rest of its lifetime, whatever later entries say.
    bool reportedLeaving = false;
    // How long the target stays cold, from when the entry was written.
    std::chrono::milliseconds coldLeft {0};
    // The store's version of the entry.
    int64_t version = 0;
};

// One target as this gateway knows it.
struct KnownTarget {
    TargetEntry entry;
    MonotonicTime coldUntil;
    // When the target's entry disappeared from the list or began to say that it leaves.
    std::optional<MonotonicTime> leavingSince;
    // The entry lapsed while the list was out of reach, and the target may register again until this time.
    std::optional<MonotonicTime> reregistrationDeadline;
    // When this gateway learnt at first hand what others may not know yet: a new target, a new address, or that the target leaves.
    MonotonicTime changedAt;
};

// The targets by their list in the store. Entries that disappear mean that a target leaves; it serves what it runs for some time still.
class TargetTable
{
public:
    struct Options {
        // A target whose entry lapsed while the store was away registers again within this time of the store's return.
        std::chrono::milliseconds reregistrationGrace {2000};
        // For this time after the return of a data centre its targets may be cold, although their entries do not say so yet.
        std::chrono::milliseconds coldAfterReturn {3000};
        // Longest notice with which targets leave while their generations are being copied.
        std::chrono::milliseconds leavingNotice {2500};
        // Targets that left are forgotten after this time.
        std::chrono::seconds retention {20};
        // Targets that said themselves that they leave are kept longer, so that no late entry brings them back.
        std::chrono::seconds reportedLeavingRetention {300};
    };

    explicit TargetTable(Options options);

    // Who has told of an entry.
    enum class Source {
        // The list in the store, or the target itself.
        Direct,
        // Another gateway, which tells all others itself.
        Peer,
    };

    // Takes in an entry. An older one than the known one has no effect. Returns whether a target became leaving by it.
    bool set(const TargetEntry &entry, MonotonicTime now, Source source = Source::Direct);

    // The entry has disappeared as of a version of the store. `afterOutage` tells that the list was out of reach until now, so that the entry may only have
    // lapsed. Returns whether a target became leaving by it.
    bool remove(const std::string &id, bool afterOutage, int64_t version, MonotonicTime now);

    // Targets that changed within the given time, as far as this gateway knows it at first hand, for other gateways.
    std::vector<TargetEntry> recentChanges(std::chrono::milliseconds within, MonotonicTime now) const;

    std::vector<TargetEntry> allEntries() const;

    // Digest of the targets that neither leave nor have lapsed. Two gateways with the same digest know the same targets.
    uint64_t digest() const;

    // The target itself says that it leaves. Returns whether it became leaving by that.
    bool recordLeaving(const std::string &id, int64_t incarnation, MonotonicTime now);

    // Lets grace periods run out. Returns the targets that became leaving.
    std::vector<std::string> tick(MonotonicTime now);

    // Takes a data centre out of service, or back. Returns whether that is a change.
    bool setDataCentreOut(const std::string &name, bool isOut, MonotonicTime now);
    const absl::flat_hash_set<std::string> &dataCentresOut() const
    {
        return m_dataCentresOut;
    }
    bool isOutOfService(const std::string &dataCentre) const;

    const KnownTarget *find(std::string_view id) const;

    // Whether the target is known, and leaves.
    bool isLeaving(std::string_view id) const;

    // Whether the target may get new requests.
    bool isUsable(const KnownTarget &target, MonotonicTime now) const;

    // Targets of a service that have begun to leave within the notice that targets usually give.
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
    // Every heartbeat of a peer asks for the digest; it is computed when a target has changed.
    mutable std::optional<uint64_t> m_digest;
    // Made for the first placement after a target came, went or changed its service.
    mutable std::optional<TargetsByService> m_byService;
};

} // namespace Jujube
