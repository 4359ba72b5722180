#include <LibControl/LeaseKeeper.h>

#include <algorithm>

namespace Jujube
{

LeaseKeeper::LeaseKeeper(Options options)
    : m_options(std::move(options))
{
}

bool LeaseKeeper::holds(MonotonicTime now) const
{
    return m_fencing > 0 && now < m_heldUntil;
}

std::optional<uint64_t> LeaseKeeper::fencing(MonotonicTime now) const
{
    return holds(now) ? std::optional(m_fencing) : std::nullopt;
}

bool LeaseKeeper::isOwn() const
{
    return m_observed && m_observed->revision > 0 && m_observed->record.holder == m_options.identity;
}

LeaseKeeper::Action LeaseKeeper::next(MonotonicTime now, double random)
{
    if (now < m_nextCall) {
        return {};
    }
    if (m_mustRead || !m_observed) {
        m_nextCall = now + m_options.retryInterval;
        return {.step = Step::Read};
    }
    if (m_unusable) {
        // Nobody can tell which fencing number would be higher, so nobody may take over.
        m_nextCall = now + m_options.readInterval;
        return {.step = Step::Read};
    }
    if (!isOwn()) {
        return nextAsCompetitor(now, random);
    }
    // A holder whose lease ran out, for example while it was frozen, begins a new term: its old orders must not count as its new ones.
    return writeRecord(holds(now) ? m_fencing : m_observed->record.fencing + 1, now);
}

LeaseKeeper::Action LeaseKeeper::nextAsCompetitor(MonotonicTime now, double random)
{
    const auto leaseTime = std::max(m_observed->record.leaseTime, m_options.leaseTime);
    // A row that vanished may still be the lease of its holder; a row that never existed is nobody's.
    const bool neverExisted = m_observed->revision == 0 && m_observed->record.fencing == 0;
    if (!neverExisted && now < m_observed->since + leaseTime) {
        m_takeover.reset();
        m_nextCall = std::min(now + m_options.readInterval, m_observed->since + leaseTime);
        return {.step = Step::Read};
    }
    if (!m_takeover) {
        m_takeover = now + std::chrono::duration_cast<MonotonicTime::duration>(m_options.takeoverSpread * random);
    }
    if (now < *m_takeover) {
        m_nextCall = *m_takeover;
        return {};
    }
    if (m_lastRead < *m_takeover) {
        m_nextCall = now;
        return {.step = Step::Read};
    }
    return writeRecord(m_observed->record.fencing + 1, now);
}

LeaseKeeper::Action LeaseKeeper::writeRecord(uint64_t fencing, MonotonicTime now)
{
    const LeaseRecord record {.holder = m_options.identity, .fencing = fencing, .renewal = ++m_lastRenewal, .leaseTime = m_options.leaseTime};
    m_sent[record.renewal] = now;
    m_pendingFencing = fencing;
    m_takeover.reset();
    m_nextCall = now + m_options.retryInterval;
    return {.step = Step::Write, .value = record.toText(), .revision = m_observed->revision};
}

void LeaseKeeper::requestRead(MonotonicTime now)
{
    m_mustRead = true;
    m_nextCall = now;
}

void LeaseKeeper::onRead(const RowReadResult &result, MonotonicTime now)
{
    if (result.end == ReadEnd::Failed) {
        m_nextCall = now + m_options.retryInterval;
        return;
    }
    m_mustRead = false;
    m_lastRead = now;
    if (result.end == ReadEnd::Absent) {
        observeAbsence(now);
        return;
    }
    observe(result.row, now);
}

void LeaseKeeper::onWrite(const WriteResult &result, MonotonicTime now)
{
    switch (result.end) {
    case WriteEnd::Done:
        m_observed
            = Observation {.revision = result.revision,
                           .record = {.holder = m_options.identity, .fencing = m_pendingFencing, .renewal = m_lastRenewal, .leaseTime = m_options.leaseTime},
                           .since = now};
        confirm(m_lastRenewal, m_pendingFencing, now);
        break;
    case WriteEnd::NotDone:
        m_sent.erase(m_lastRenewal);
        // In an outage only reads are sent, to find out when it ends.
        m_mustRead = true;
        m_nextCall = now + m_options.retryInterval;
        break;
    case WriteEnd::Conflict:
        m_sent.erase(m_lastRenewal);
        m_mustRead = true;
        m_nextCall = now;
        if (result.isCurrentKnown && result.current) {
            m_mustRead = false;
            m_lastRead = now;
            observe(*result.current, now);
        }
        break;
    case WriteEnd::Unknown:
        m_mustRead = true;
        m_nextCall = now + m_options.retryInterval;
        break;
    }
}

void LeaseKeeper::observeAbsence(MonotonicTime now)
{
    if (m_observed && m_observed->revision == 0) {
        return;
    }
    m_heldUntil = std::min(m_heldUntil, now);
    m_takeover.reset();
    // A table that lost the row must not lead to a lower fencing number than one that this process has seen.
    const uint64_t seen = m_observed ? m_observed->record.fencing : 0;
    m_observed = Observation {.record = {.fencing = seen}, .since = now};
    m_nextCall = now;
}

void LeaseKeeper::observe(const TableRow &row, MonotonicTime now)
{
    if (m_observed && m_observed->revision == row.revision) {
        // An unchanged row keeps its time, because the lease of its holder runs from then.
        return;
    }
    const auto record = LeaseRecord::fromText(row.value);
    m_unusable = !record.ok();
    m_takeover.reset();
    m_observed = Observation {.revision = row.revision, .record = record.ok() ? *record : LeaseRecord {}, .since = now};
    if (isOwn()) {
        confirm(m_observed->record.renewal, m_observed->record.fencing, now);
        return;
    }
    m_heldUntil = std::min(m_heldUntil, now);
}

void LeaseKeeper::confirm(uint64_t renewal, uint64_t fencing, MonotonicTime now)
{
    const auto sent = m_sent.find(renewal);
    if (sent == m_sent.end()) {
        // A write that counted as without effect arrived late. The lease is not counted from it; the next write begins a new term.
        m_heldUntil = std::min(m_heldUntil, now);
        m_nextCall = now;
        return;
    }
    if (fencing != m_fencing) {
        m_fencing = fencing;
        m_termStart = now;
    }
    m_heldUntil = sent->second + m_options.leaseTime - m_options.safetyMargin;
    m_nextCall = std::min(sent->second + m_options.renewInterval, m_heldUntil);
    m_sent.erase(m_sent.begin(), std::next(sent));
}

} // namespace Jujube
