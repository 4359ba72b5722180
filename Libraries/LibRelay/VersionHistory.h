#pragma once

#include <chrono>
#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// The versions of a service that served up to some time, as relays store them.
struct StoredVersions {
    // Time since each version served last. Nothing: it served when this was stored, so that it counts as serving until now.
    std::map<std::string, std::optional<std::chrono::milliseconds>> versions;
    // All versions that served within this time are listed. Nothing: since the system's first start. Versions whose streams nobody can take up any more may
    // be missing all the same.
    std::optional<std::chrono::milliseconds> completeFor;

    bool operator==(const StoredVersions &) const = default;
};

// Which versions of each service may have begun a stream that callers still take up.
class VersionHistory
{
public:
    struct Options {
        // Callers take a stream up again for at most this time after its version has stopped serving.
        std::chrono::seconds streamLifetime {60};
        // A version settles after this time in the list. It has to be longer than a relay may conclude anything from a list that is not confirmed any more.
        std::chrono::milliseconds settleTime {4000};
    };

    // This process knows the list of targets from `knownFrom` on.
    VersionHistory(Options options, MonotonicTime knownFrom);

    // The versions that targets of the service in the list have now. Returns whether they have changed.
    bool record(const std::string &service, const std::set<std::string> &serving, MonotonicTime now);

    // Until now the list was not current, so that versions may have come and gone unseen. From now on it is known again.
    void interrupt(MonotonicTime now);

    // Fills the time before this process knew the list. What was stored must have been read after the last interruption, or else what it does not list counts
    // as seen.
    void merge(const std::string &service, const StoredVersions &stored, MonotonicTime now);

    // All versions that served within Options::streamLifetime. Nothing while that is not known for all of this time.
    std::optional<std::set<std::string>> candidates(const std::string &service, MonotonicTime now) const;
    // The only candidate, if there is exactly one.
    std::optional<std::string> onlyVersion(const std::string &service, MonotonicTime now) const;
    // Whether more than one version is known to have served within Options::streamLifetime, even if there may be others.
    bool hasSeveral(const std::string &service, MonotonicTime now) const;

    // The versions at which streams may begin, because no relay takes another version for the only one any more. Nothing while the list has had no version of
    // the service. The first versions settle at once, later ones by settleUntil() or settle().
    std::optional<std::set<std::string>> settledVersions(const std::string &service, MonotonicTime now) const;
    // The versions that serve and have not settled.
    std::vector<std::string> unsettledVersions(const std::string &service) const;
    // The list was current at a time: settles the versions that had been in it for Options::settleTime then.
    void settleUntil(const std::string &service, MonotonicTime confirmedAt);
    // All relays know that the version serves.
    void settle(const std::string &service, const std::string &version);

    // What is known of the service, to be stored now.
    StoredVersions toStore(const std::string &service, MonotonicTime now) const;

    // The process was suspended until now, for a time that the clock of `now` does not contain: makes everything older by it. Has to be called before any
    // change of the list is recorded that was read afterwards. If versions may have come and gone unseen, interrupt() has to be called as well.
    void onSuspended(std::chrono::nanoseconds time, MonotonicTime now);

    // Forgets versions that served last longer ago than Options::streamLifetime, and services without any.
    void expire(MonotonicTime now);

    // Number of services that are remembered.
    size_t size() const
    {
        return m_services.size();
    }

private:
    struct Service {
        std::set<std::string> serving;
        // When each version that does not serve now served last.
        std::map<std::string, MonotonicTime> servedUntil;
        // All versions that served since then are known.
        MonotonicTime knownFrom;
        // Since when each version that serves is known to have served all the time.
        std::map<std::string, MonotonicTime> servingSince;
        // Versions that have settled, among those that serve or have served lately.
        std::set<std::string> settled;
    };

    std::set<std::string> settledOf(const Service &service, MonotonicTime now) const;
    Service &serviceOf(const std::string &name);
    bool isRelevant(MonotonicTime servedUntil, MonotonicTime now) const;
    // All versions that are known to have served within the lifetime.
    std::set<std::string> versionsOf(const Service &service, MonotonicTime now) const;

    const Options m_options;
    // The same for services that are not remembered.
    MonotonicTime m_knownFrom;
    std::map<std::string, Service> m_services;
};

} // namespace Jujube
