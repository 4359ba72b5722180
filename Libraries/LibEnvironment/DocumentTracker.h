#pragma once

#include <LibCore/Time.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <memory>
#include <optional>

namespace Jujube
{

enum class DocumentSource {
    // The head was read from the table service by this node.
    Table,
    // A peer has offered the document.
    Peer,
    // A copy that this node kept from before a restart of the process.
    Cache,
};

enum class OfferResult {
    Accepted,
    // The same version and digest is in force already.
    AlreadyInForce,
    // A newer version is in force.
    Older,
    // The version in force was offered with another digest. One of the two was never accepted by the table service.
    VersionReused,
    DigestMismatch,
    // The bytes match their digest, but this node cannot read the document.
    Invalid,
};

std::string_view nameOf(OfferResult result);

// A document that is offered to the ledger.
struct DocumentOffer {
    DocumentSource source = DocumentSource::Table;
    uint64_t version = 0;
    std::string digest;
    std::string_view bytes;
    // For offers of a peer: how long ago the table service confirmed the version, by the peer's own account. Empty if never.
    std::optional<std::chrono::milliseconds> confirmedAge;
};

// Decides which environment document is in force on one node (docs/design.md, section 10). A document is accepted only if its version is greater than the
// version in force and the digest matches its bytes, whatever its source; nothing else replaces the document in force. In particular a table service that
// was restored from an old copy, a late answer, or a peer that was away for long cannot bring back an older document.
//
// The ledger also keeps when the table service last confirmed that the version in force is the newest one, directly or through peers. Times are on this
// node's monotonic clock. For a read of the table, now is the time before the read was sent, because the answer says nothing about later moments; this
// also keeps a node that was frozen between request and answer from taking an old answer for a new one.
//
// The age in a peer's heartbeat leaves out the time that the heartbeat took. Two nodes that confirm each other's version would renew the confirmation by
// that time with every exchange, without the table service. Every age from a peer is therefore raised by PeerDelayAllowance. Datagrams that waited longer
// than that, for example in the socket of a process that was paused, must not be passed on to the ledger.
class DocumentTracker
{
public:
    static constexpr std::chrono::milliseconds PeerDelayAllowance {500};

    // A document is parsed before it is put in force, by this function. A node must not drop its present document for one that it cannot read.
    using ParseFunction = std::function<absl::StatusOr<EnvironmentDocument>(std::string_view yaml)>;

    explicit DocumentTracker(ParseFunction parse = parseEnvironmentDocument);

    OfferResult offer(const DocumentOffer &offer, MonotonicTime now);

    // The table service has shown this head. Counts as a confirmation if it is the version in force.
    void tableHeadReceived(uint64_t version, std::string_view digest, MonotonicTime readSentAt);

    // A peer's heartbeat has carried its version and confirmation age. Counts as a confirmation if it is the version in force.
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

    // The highest version that the table service or a peer has shown. If it is above version(), the node should read the table soon. It stays above
    // while the newer document cannot be read or fetched, so these reads need a pause between them.
    uint64_t newestKnownVersion() const
    {
        return m_newestKnownVersion;
    }

    // Why the latest offer with the result Invalid could not be read.
    const std::string &lastParseError() const
    {
        return m_lastParseError;
    }

    // Time since the document in force was accepted on this node. Empty if there is none.
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
