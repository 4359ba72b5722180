#include <LibEnvironment/DocumentTracker.h>

#include <LibCore/Digest.h>

#include <algorithm>

namespace Jujube
{

namespace
{

std::chrono::milliseconds elapsed(MonotonicTime from, MonotonicTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - from, MonotonicTime::duration::zero()));
}

} // namespace

std::string_view nameOf(OfferResult result)
{
    switch (result) {
    case OfferResult::Accepted:
        return "accepted";
    case OfferResult::AlreadyInForce:
        return "already in force";
    case OfferResult::Older:
        return "older than the document in force";
    case OfferResult::VersionReused:
        return "same version as the document in force with another digest";
    case OfferResult::DigestMismatch:
        return "bytes do not match the digest";
    case OfferResult::Invalid:
        return "invalid document";
    }
    return "unknown";
}

DocumentTracker::DocumentTracker(ParseFunction parse)
    : m_parse(std::move(parse))
{
}

OfferResult DocumentTracker::offer(const DocumentOffer &offer, MonotonicTime now)
{
    if (offer.version < m_version || offer.version == 0) {
        return OfferResult::Older;
    }
    if (offer.version == m_version) {
        return offer.digest == m_digest ? OfferResult::AlreadyInForce : OfferResult::VersionReused;
    }
    if (sha256Hex(offer.bytes) != offer.digest) {
        return OfferResult::DigestMismatch;
    }
    auto document = m_parse(offer.bytes);
    if (!document.ok()) {
        m_lastParseError = std::string(document.status().message());
        return OfferResult::Invalid;
    }
    m_version = offer.version;
    m_digest = offer.digest;
    m_bytes = std::string(offer.bytes);
    m_document = std::make_shared<const EnvironmentDocument>(*std::move(document));
    m_newestKnownVersion = std::max(m_newestKnownVersion, m_version);
    m_acceptedAt = now;
    // Confirmations of the previous version do not count for this one.
    m_confirmedAt.reset();
    if (offer.source == DocumentSource::Table) {
        confirm(now);
    } else if (offer.source == DocumentSource::Peer && offer.confirmedAge) {
        confirmThroughPeer(*offer.confirmedAge, now);
    }
    return OfferResult::Accepted;
}

void DocumentTracker::tableHeadReceived(uint64_t version, std::string_view digest, MonotonicTime readSentAt)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
    if (version == m_version && digest == m_digest) {
        confirm(readSentAt);
    }
}

void DocumentTracker::peerVersionReceived(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, MonotonicTime now)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
    if (version == m_version && confirmedAge) {
        confirmThroughPeer(*confirmedAge, now);
    }
}

std::optional<std::chrono::milliseconds> DocumentTracker::age(MonotonicTime now) const
{
    return m_document ? std::optional(elapsed(m_acceptedAt, now)) : std::nullopt;
}

std::optional<std::chrono::milliseconds> DocumentTracker::confirmedAge(MonotonicTime now) const
{
    return m_confirmedAt ? std::optional(elapsed(*m_confirmedAt, now)) : std::nullopt;
}

void DocumentTracker::confirmThroughPeer(std::chrono::milliseconds age, MonotonicTime now)
{
    confirm(now - std::max(age, std::chrono::milliseconds(0)) - PeerDelayAllowance);
}

void DocumentTracker::confirm(MonotonicTime at)
{
    if (m_version > 0 && (!m_confirmedAt || at > *m_confirmedAt)) {
        m_confirmedAt = at;
    }
}

} // namespace Jujube
