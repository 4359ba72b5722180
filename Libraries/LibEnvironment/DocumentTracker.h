#pragma once

#include <LibCore/Time.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <memory>
#include <optional>

namespace Jujube
{

enum class DocumentSource {
    // This gateway has read the head from the table service.
    Table,
    // A peer has offered the document.
    Peer,
    // A copy that this gateway has kept across a restart of the process.
    Cache,
};

enum class OfferResult {
    Accepted,
    // The same version and digest is in force already.
    AlreadyInForce,
    // A newer version is in force.
    Older,
    // The version in force was offered with another digest. The table service has never accepted one of the two documents.
    VersionReused,
    DigestMismatch,
    // The bytes match their digest, but this gateway cannot parse the document.
    Invalid,
};

std::string_view nameOf(OfferResult result);

// A document offered to the tracker.
struct DocumentOffer {
    DocumentSource source = DocumentSource::Table;
    uint64_t version = 0;
    std::string digest;
    std::string_view bytes;
    // For offers of a peer: time since the table service confirmed the version, as reported by the peer. Empty if never.
    std::optional<std::chrono::milliseconds> confirmedAge;
};

// Decides which environment document is in force on one gateway (docs/design.md, section 10). Whatever its source, a document is accepted only if its version
// is greater than the version in force and its digest matches its bytes. Nothing else replaces the document in force, so an older document cannot come back
// from a table service restored from an old copy, from a late response, or from a peer that was absent for a long time.
//
// The tracker also holds the time at which the table service last confirmed that the version in force is the newest one, directly or through peers. Times are
// on the monotonic clock of this gateway. For a read of the table, `now` is the time before the read was sent, because the response says nothing about later
// times. A process that was frozen between request and response therefore does not take an old response for a new one.
//
// The age in a peer's heartbeat does not include the transmission time of the heartbeat. Without a correction, two gateways that confirm each other's version
// would make the confirmation younger by that time with every exchange, without the table service. Every age from a peer is therefore raised by
// PeerDelayAllowance. Datagrams that waited longer than that, for example in the socket of a frozen process, must not be passed to the tracker.
class DocumentTracker
{
public:
    static constexpr std::chrono::milliseconds PeerDelayAllowance {500};

    // Parses a document before it is put in force, because a document that cannot be parsed must not replace the one in force.
    using ParseFunction = std::function<absl::StatusOr<EnvironmentDocument>(std::string_view yaml)>;

    explicit DocumentTracker(ParseFunction parse = parseEnvironmentDocument);

    OfferResult offer(const DocumentOffer &offer, MonotonicTime now);

    // The head was read from the table service. Counts as a confirmation if it is the version in force.
    void tableHeadReceived(uint64_t version, std::string_view digest, MonotonicTime readSentAt);

    // A peer's heartbeat contained its version and confirmation age. Counts as a confirmation if it is the version in force.
    void peerVersionReceived(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, MonotonicTime now);

    // Zero if no document is in force.
    uint64_t version() const
    {
        return m_version;
    }

    const std::string &digest() const
    {
        return m_digest;
    }

    // The bytes of the document in force, to offer them to peers.
    const std::string &bytes() const
    {
        return m_bytes;
    }

    // Null if no document is in force.
    const std::shared_ptr<const EnvironmentDocument> &document() const
    {
        return m_document;
    }

    // The highest version reported by the table service or a peer. If it is above version(), the gateway should read the table soon. It stays above while the
    // newer document cannot be fetched or parsed, so these reads need a delay between them.
    uint64_t newestKnownVersion() const
    {
        return m_newestKnownVersion;
    }

    // The parse error of the latest offer with the result Invalid.
    const std::string &lastParseError() const
    {
        return m_lastParseError;
    }

    // Time since this gateway accepted the document in force. Empty if there is none.
    std::optional<std::chrono::milliseconds> age(MonotonicTime now) const;

    // Time since the table service last confirmed the version in force, directly or through peers. Empty if that never happened.
    std::optional<std::chrono::milliseconds> confirmedAge(MonotonicTime now) const;

private:
    void confirm(MonotonicTime at);
    void confirmThroughPeer(std::chrono::milliseconds age, MonotonicTime now);

    const ParseFunction m_parse;
    uint64_t m_version = 0;
    std::string m_digest;
    std::string m_bytes;
    std::shared_ptr<const EnvironmentDocument> m_document;
    uint64_t m_newestKnownVersion = 0;
    std::string m_lastParseError;
    MonotonicTime m_acceptedAt;
    std::optional<MonotonicTime> m_confirmedAt;
};

} // namespace Jujube
