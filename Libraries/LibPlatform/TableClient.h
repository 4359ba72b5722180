#pragma once

#include <chrono>
#include <functional>
#include <LibPlatform/HttpTransport.h>
#include <LibPlatform/TableRow.h>
#include <string_view>

namespace Jujube
{

// Whether a row with this value was written by the asking party, for example because it carries its nonce.
using OwnershipTest = std::function<bool(const std::string &value)>;

// Talks to the table service (section 13 of docs/design.md). Calls block, hold no state, and may be made from several threads.
//
// The caller keeps to its RequestBudget; see docs/platform-budget.md.
class TableClient
{
public:
    struct Options {
        // "address:port" of the platform.
        std::string address;
        HttpTransport transport;
        std::chrono::milliseconds connectTimeout {1000};
        std::chrono::milliseconds readTimeout {1500};
        std::chrono::milliseconds writeTimeout {3000};
    };

    // One write of a transaction. Revision 0 demands that the row does not exist.
    struct ConditionalWrite {
        std::string key;
        std::string value;
        int64_t revision = 0;
    };

    explicit TableClient(Options options);

    RowReadResult get(std::string_view key) const;

    // All rows whose key begins with the prefix, in the order of their keys.
    RowListResult list(std::string_view prefix) const;

    // Creates the row. A lost answer ends in WriteEnd::Unknown.
    WriteResult putIfAbsent(std::string_view key, std::string_view value) const;

    // Replaces the row if it still has the revision. A lost answer ends in WriteEnd::Unknown.
    WriteResult putIfRevision(std::string_view key, std::string_view value, int64_t revision) const;

    // All writes take effect, or none does. Done and Conflict carry neither a revision nor a row.
    WriteResult transaction(const std::vector<ConditionalWrite> &writes) const;

    // Like putIfAbsent(), but resolves a lost answer by reading the row back and, where it is absent, by writing again: the first request may still arrive,
    // so its absence proves nothing. The value must name its writer, so that both requests together have the effect of one. Ends in Unknown only if the
    // table service does not answer the reads either.
    WriteResult putIfAbsentResolved(std::string_view key, std::string_view value, const OwnershipTest &isOwn) const;

    // Like putIfRevision(), and resolves a lost answer in the same way. Conflict means that the row is not the caller's any more; its write may have been in
    // force for a moment and been replaced.
    WriteResult putIfRevisionResolved(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const;

    // Whether a key can be sent: not empty, at most 1024 bytes, no control characters, and no empty, "." or ".." segment between slashes. HTTP servers
    // rewrite such paths, so that two different keys would name the same row. Reads and writes of other keys end in Failed or NotDone.
    static bool isValidKey(std::string_view key);

private:
    HttpAnswer read(std::string_view path) const;
    WriteResult write(HttpCall call, std::string_view key) const;
    WriteResult conditionalPut(std::string_view key, std::string_view value, int64_t revision) const;
    WriteResult resolvedPut(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const;
    void addCurrentRow(WriteResult &result, std::string_view key) const;

    const Options m_options;
};

} // namespace Jujube
