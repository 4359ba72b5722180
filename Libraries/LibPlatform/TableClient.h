#pragma once

#include <chrono>
#include <functional>
#include <LibPlatform/HttpTransport.h>
#include <LibPlatform/TableRow.h>
#include <string_view>

namespace Jujube
{

// Returns whether the writer itself wrote a row with this value, for example because the value contains its nonce.
using OwnershipTest = std::function<bool(const std::string &value)>;

// A client of the table service (docs/design.md, section 13). Calls block, hold no state, and may be made from several threads.
//
// The calling code must stay within its RequestBudget; see docs/platform-budget.md.
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

    // One write of a transaction. Revision 0 requires that the row does not exist.
    struct ConditionalWrite {
        std::string key;
        std::string value;
        int64_t revision = 0;
    };

    explicit TableClient(Options options);

    RowReadResult get(std::string_view key) const;

    // All rows whose key begins with the prefix, in the order of their keys.
    RowListResult list(std::string_view prefix) const;

    // Creates the row. Returns WriteEnd::Unknown if the response is lost.
    WriteResult putIfAbsent(std::string_view key, std::string_view value) const;

    // Replaces the row if it still has the revision. Returns WriteEnd::Unknown if the response is lost.
    WriteResult putIfRevision(std::string_view key, std::string_view value, int64_t revision) const;

    // All writes take effect, or none does. The result contains neither a revision nor a row.
    WriteResult transaction(const std::vector<ConditionalWrite> &writes) const;

    // Like putIfAbsent(), but resolves a lost response by reading the row back and, if it is absent, by writing again: its absence proves nothing, because
    // the first request may still arrive. The value must identify its writer, so that both requests together have the effect of one. Returns Unknown only if
    // this does not resolve it either, for example because the table service does not respond to the reads.
    WriteResult putIfAbsentResolved(std::string_view key, std::string_view value, const OwnershipTest &isOwn) const;

    // Like putIfRevision(), but resolves a lost response in the same way. Conflict means that the row is not the writer's any more; the write may have taken
    // effect for a moment and been replaced.
    WriteResult putIfRevisionResolved(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const;

    // Whether a key can be sent: not empty, at most 1024 bytes, no control characters, and no empty, "." or ".." segment between slashes. HTTP servers
    // rewrite paths with such segments, so that two different keys would name the same row. Reads and writes of invalid keys return Failed or NotDone.
    static bool isValidKey(std::string_view key);

private:
    HttpAnswer read(std::string_view path, size_t maxBytes) const;
    WriteResult write(HttpCall call, std::string_view key) const;
    WriteResult conditionalPut(std::string_view key, std::string_view value, int64_t revision) const;
    WriteResult resolvedPut(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const;
    void addCurrentRow(WriteResult &result, std::string_view key) const;

    const Options m_options;
};

} // namespace Jujube
