#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <LibCore/HybridClock.h>
#include <string>
#include <string_view>

namespace Jujube
{

// A position in a token stream, sent to the caller as the id of each event. Gateways keep no stream state that must survive, so the cursor holds all that
// any gateway needs to go on with the stream.
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

// Turns cursors into authenticated text and back: base64url of a Thrift compact struct and a truncated HMAC-SHA-256. Safe to use from several threads.
class CursorCodec
{
public:
    struct Options {
        std::string key;
        // Still accepted while the key is being replaced. Empty if there is none.
        std::string previousKey;
    };

    explicit CursorCodec(Options options);

    std::string encode(const Cursor &cursor) const;

    // Errors: ErrorKind::InvalidCursor if the text was not made with one of the keys.
    absl::StatusOr<Cursor> decode(std::string_view text) const;

private:
    const Options m_options;
};

// The digest of a request body as a cursor holds it.
uint64_t bodyDigest(std::string_view body);

} // namespace Jujube
