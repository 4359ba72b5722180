#include <LibRelay/VersionHistory.h>

#include <algorithm>
#include <iterator>

namespace Jujube
{

namespace
{

// Everything since the system's first start is known.
constexpr auto Always = MonotonicTime::min();
// Longer times are reduced to it, so that no calculation overflows.
constexpr std::chrono::hours MaxTime {24 * 365};

template<typename Duration>
MonotonicTime earlierBy(MonotonicTime time, Duration by)
{
    return time == Always ? Always : time - std::clamp(by, Duration(0), std::chrono::duration_cast<Duration>(MaxTime));
}

} // namespace

VersionHistory::VersionHistory(Options options, MonotonicTime knownFrom)
    : m_options(options)
    , m_knownFrom(knownFrom)
{
}

VersionHistory::Service &VersionHistory::serviceOf(const std::string &name)
{
    return m_services.try_emplace(name, Service {.serving = {}, .servedUntil = {}, .knownFrom = m_knownFrom, .servingSince = {}, .settled = {}}).first->second;
}

bool VersionHistory::isRelevant(MonotonicTime servedUntil, MonotonicTime now) const
{
    return now - servedUntil <= m_options.streamLifetime;
}

bool VersionHistory::record(const std::string &service, const std::set<std::string> &serving, MonotonicTime now)
{
    if (serving.empty() && !m_services.contains(service)) {
        return false;
    }
    auto &known = serviceOf(service);
    if (known.serving == serving) {
        return false;
    }
    const bool isFirst = known.servingSince.empty() && known.settled.empty();
    known.settled = settledOf(known, now);
    for (const auto &version : known.serving) {
        if (!serving.contains(version)) {
            known.servedUntil[version] = now;
            known.servingSince.erase(version);
        }
    }
    known.serving = serving;
    for (const auto &version : serving) {
        known.servedUntil.erase(version);
        known.servingSince.try_emplace(version, now);
        if (isFirst) {
            known.settled.insert(version);
        }
    }
    return true;
}

std::set<std::string> VersionHistory::settledOf(const Service &service, MonotonicTime now) const
{
    // Before other relays forget that it has served, because they may have seen it leave earlier.
    const auto retention = m_options.streamLifetime / 2;
    auto versions = service.settled;
    std::erase_if(versions, [&](const auto &version) {
        const auto left = service.servedUntil.find(version);
        return !service.serving.contains(version) && (left == service.servedUntil.end() || now - left->second > retention);
    });
    return versions;
}

std::optional<std::set<std::string>> VersionHistory::settledVersions(const std::string &service, MonotonicTime now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || (found->second.servingSince.empty() && found->second.settled.empty())) {
        return std::nullopt;
    }
    return settledOf(found->second, now);
}

std::vector<std::string> VersionHistory::unsettledVersions(const std::string &service) const
{
    std::vector<std::string> versions;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        std::ranges::set_difference(found->second.serving, found->second.settled, std::back_inserter(versions));
    }
    return versions;
}

void VersionHistory::settle(const std::string &service, const std::string &version)
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        found->second.settled.insert(version);
    }
}

void VersionHistory::settleUntil(const std::string &service, MonotonicTime confirmedAt)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    for (const auto &[version, since] : found->second.servingSince) {
        if (confirmedAt - since >= m_options.settleTime) {
            found->second.settled.insert(version);
        }
    }
}

void VersionHistory::interrupt(MonotonicTime now)
{
    m_knownFrom = now;
    for (auto &[name, service] : m_services) {
        service.knownFrom = now;
        // They may have left meanwhile.
        for (auto &[version, since] : service.servingSince) {
            since = now;
        }
    }
}

void VersionHistory::merge(const std::string &service, const StoredVersions &stored, MonotonicTime now)
{
    auto &known = serviceOf(service);
    for (const auto &[version, age] : stored.versions) {
        const auto servedUntil = earlierBy(now, age.value_or(std::chrono::milliseconds(0)));
        if (known.serving.contains(version)) {
            continue;
        }
        const auto [found, isNew] = known.servedUntil.try_emplace(version, servedUntil);
        found->second = std::max(found->second, servedUntil);
    }
    known.knownFrom = std::min(known.knownFrom, stored.completeFor ? earlierBy(now, *stored.completeFor) : Always);
}

std::set<std::string> VersionHistory::versionsOf(const Service &service, MonotonicTime now) const
{
    auto versions = service.serving;
    for (const auto &[version, servedUntil] : service.servedUntil) {
        if (isRelevant(servedUntil, now)) {
            versions.insert(version);
        }
    }
    return versions;
}

std::optional<std::set<std::string>> VersionHistory::candidates(const std::string &service, MonotonicTime now) const
{
    const auto found = m_services.find(service);
    const auto knownFrom = found == m_services.end() ? m_knownFrom : found->second.knownFrom;
    if (knownFrom > now - m_options.streamLifetime) {
        return std::nullopt;
    }
    return found == m_services.end() ? std::set<std::string>() : versionsOf(found->second, now);
}

std::optional<std::string> VersionHistory::onlyVersion(const std::string &service, MonotonicTime now) const
{
    const auto versions = candidates(service, now);
    return versions && versions->size() == 1 ? std::optional(*versions->begin()) : std::nullopt;
}

bool VersionHistory::hasSeveral(const std::string &service, MonotonicTime now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && versionsOf(found->second, now).size() > 1;
}

StoredVersions VersionHistory::toStore(const std::string &service, MonotonicTime now) const
{
    using std::chrono::floor;
    using std::chrono::milliseconds;
    const auto found = m_services.find(service);
    const auto knownFrom = found == m_services.end() ? m_knownFrom : found->second.knownFrom;
    StoredVersions stored;
    if (knownFrom != Always) {
        // Rounded down, as are the times below, so that no more is claimed than is known.
        stored.completeFor = floor<milliseconds>(std::max(now - knownFrom, MonotonicTime::duration(0)));
    }
    if (found == m_services.end()) {
        return stored;
    }
    for (const auto &version : found->second.serving) {
        stored.versions.emplace(version, std::nullopt);
    }
    for (const auto &[version, servedUntil] : found->second.servedUntil) {
        if (isRelevant(servedUntil, now)) {
            stored.versions.emplace(version, floor<milliseconds>(now - servedUntil));
        }
    }
    return stored;
}

void VersionHistory::onSuspended(std::chrono::nanoseconds time, MonotonicTime now)
{
    // Nothing is known to have happened since.
    const auto suspendedAt = earlierBy(now, time);
    const auto makeOlder = [&](MonotonicTime &at) { at = std::min(earlierBy(at, time), suspendedAt); };
    makeOlder(m_knownFrom);
    for (auto &[name, service] : m_services) {
        makeOlder(service.knownFrom);
        for (auto &[version, servedUntil] : service.servedUntil) {
            makeOlder(servedUntil);
        }
    }
}

void VersionHistory::expire(MonotonicTime now)
{
    for (auto &[name, service] : m_services) {
        std::erase_if(service.servedUntil, [&](const auto &entry) { return !isRelevant(entry.second, now); });
        service.settled = settledOf(service, now);
    }
    // Until the list is known for long enough without it, a service that was merged is known for longer than the others.
    const bool isKnown = m_knownFrom <= now - m_options.streamLifetime;
    std::erase_if(m_services, [&](const auto &entry) {
        const auto &service = entry.second;
        return service.serving.empty() && service.servedUntil.empty() && (isKnown || service.knownFrom >= m_knownFrom);
    });
}

} // namespace Jujube
