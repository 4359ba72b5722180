#pragma once

#include "PlatformAccess.h"

#include <LibEnvironment/DocumentHead.h>

namespace Jujube
{

// The head of an environment as it was read, with the revision of its row. Version 0 and revision 0 stand for an environment without a document.
struct ReadHead {
    DocumentHead head;
    uint64_t revision = 0;
};

// Environment documents in the table service and the object store (docs/design.md, section 10).
class EnvironmentStore
{
public:
    explicit EnvironmentStore(PlatformAccess &platform)
        : m_platform(platform)
    {
    }

    absl::StatusOr<ReadHead> readHead(const std::string &environment);

    // Errors also: ErrorKind::NotFound.
    absl::StatusOr<DocumentHead> readVersion(const std::string &environment, uint64_t version);

    // The bytes of a version, checked against their digest.
    absl::StatusOr<std::string> readBytes(const DocumentHead &head);

    // Stores the bytes under their SHA-256, which is returned. Has to precede accept(), so that no gateway can see a head without its bytes.
    absl::StatusOr<std::string> storeBytes(const std::string &bytes);

    // Writes the next head and its history row in one transaction, on the condition that the head is still the one that was read. A lost answer is resolved
    // by reading back and repeating: the transaction takes effect at most once, however often it is sent.
    // Errors: ErrorKind::VersionConflict if another document has the version, ErrorKind::PlatformUnavailable if nothing was sent, and
    // ErrorKind::OutcomeUnknown if the answers of all attempts and reads were lost.
    absl::Status accept(const std::string &environment, const ReadHead &base, const DocumentHead &next);

private:
    // What the history row of a version says about a write of this process.
    enum class ReadBack {
        Accepted,
        Conflict,
        Absent,
        Unreadable,
    };

    ReadBack readBack(const std::string &historyKey, const std::string &value);

    PlatformAccess &m_platform;
};

} // namespace Jujube
