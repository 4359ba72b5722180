#include "EnvironmentStore.h"

#include <LibCore/Digest.h>
#include <LibCore/Error.h>

#include <absl/strings/str_cat.h>

namespace Jujube
{

absl::StatusOr<ReadHead> EnvironmentStore::readHead(const std::string &environment)
{
    const auto row = m_platform.readRow(documentHeadKey(environment));
    if (!row.ok()) {
        return row.status();
    }
    if (row->revision == 0) {
        return ReadHead {};
    }
    auto head = DocumentHead::parse(row->value);
    if (!head.ok()) {
        return makeError(ErrorKind::Internal, absl::StrCat("the head of environment \"", environment, "\": ", std::string(head.status().message())));
    }
    return ReadHead {.head = *std::move(head), .revision = row->revision};
}

absl::StatusOr<DocumentHead> EnvironmentStore::readVersion(const std::string &environment, uint64_t version)
{
    const auto row = m_platform.readRow(documentHistoryKey(environment, version));
    if (!row.ok()) {
        return row.status();
    }
    if (row->revision == 0) {
        return makeError(ErrorKind::NotFound, absl::StrCat("environment \"", environment, "\" has no version ", version));
    }
    return DocumentHead::parse(row->value);
}

absl::StatusOr<std::string> EnvironmentStore::readBytes(const DocumentHead &head)
{
    auto bytes = m_platform.readObject(head.object);
    if (bytes.ok() && sha256Hex(*bytes) != head.digest) {
        return makeError(ErrorKind::Internal, absl::StrCat("the bytes of version ", head.version, " do not match their digest ", head.digest));
    }
    return bytes;
}

absl::StatusOr<std::string> EnvironmentStore::storeBytes(const std::string &bytes)
{
    auto digest = sha256Hex(bytes);
    if (auto status = m_platform.writeObject(digest, bytes); !status.ok()) {
        return status;
    }
    return digest;
}

absl::Status EnvironmentStore::accept(const std::string &environment, const ReadHead &base, const DocumentHead &next)
{
    const auto historyKey = documentHistoryKey(environment, next.version);
    const auto value = next.toJson();
    const std::vector<TableWrite> writes {{documentHeadKey(environment), value, base.revision}, {historyKey, value, 0}};
    bool sent = false;
    for (int attempt = 0; attempt < PlatformAccess::Attempts; ++attempt) {
        if (attempt > 0) {
            m_platform.pause();
        }
        const auto result = m_platform.write(writes);
        if (result == WriteResult::Written) {
            return absl::OkStatus();
        }
        if (result == WriteResult::NotSent) {
            continue;
        }
        sent = true;
        const auto found = readBack(historyKey, value);
        if (found == ReadBack::Accepted) {
            return absl::OkStatus();
        }
        // An absent row after a rejection means that the head changed without a history row, which no jujubectl does; it is a conflict all the same.
        if (found == ReadBack::Conflict || (found == ReadBack::Absent && result == WriteResult::Rejected)) {
            return makeError(ErrorKind::VersionConflict, absl::StrCat("version ", next.version, " of environment \"", environment, "\" is another document"));
        }
    }
    if (!sent) {
        return makeError(ErrorKind::PlatformUnavailable, "the platform could not be reached for the write; nothing was changed");
    }
    return makeError(ErrorKind::OutcomeUnknown,
                     absl::StrCat("it is not known whether version ",
                                  next.version,
                                  " was accepted; \"jujubectl history ",
                                  environment,
                                  "\" shows it when the platform answers again"));
}

EnvironmentStore::ReadBack EnvironmentStore::readBack(const std::string &historyKey, const std::string &value)
{
    const auto row = m_platform.readRow(historyKey);
    if (!row.ok()) {
        return ReadBack::Unreadable;
    }
    if (row->revision == 0) {
        return ReadBack::Absent;
    }
    return row->value == value ? ReadBack::Accepted : ReadBack::Conflict;
}

} // namespace Jujube
