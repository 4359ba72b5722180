#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <LibCore/HybridClock.h>
#include <string>
#include <string_view>

namespace Jujube
{

// A position in a token stream, sent to the caller as the id of each event. It holds everything that any gateway needs to resume the stream, so that
// gateways have no stream state to preserve.
struct Cursor {
    std::string workspace;
    // 32 hexadecimal digits.
    std::string generation;
    int32_t attempt = 1;
    std::string target;
    // Index of the first token that the caller does not have.
    int32_t nextOffset = 0;
    // TokenChecksum of the tokens before nextOffset.
    uint64_t checksum = 0;
    // First 64 bits of the SHA-256 of the request body. Binds the cursor to the request.
    uint64_t bodyDigest = 0;
    HybridTime time;

    bool operator==(const Cursor &) const = default;
};

// Encodes cursors as authenticated text and decodes them: base64url of a Thrift compact struct and a truncated HMAC-SHA-256. Thread-safe.
class CursorCodec
{
public:
    struct Options {
        std::string key;
        // The previous key, which is still accepted during a key rotation. Empty if there is none.
        std::string previousKey;
    };

    explicit CursorCodec(Options options);

    std::string encode(const Cursor &cursor) const;

    // Errors: ErrorKind::InvalidCursor if the text is malformed or was not signed with one of the keys.
    absl::StatusOr<Cursor> decode(std::string_view text) const;

private:
    const Options m_options;
};

// Returns the digest of a request body in the form in which a cursor stores it.
uint64_t bodyDigest(std::string_view body);

} // namespace Jujube
