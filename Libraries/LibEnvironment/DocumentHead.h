#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Jujube
{

// What the table service holds under environment/<name>/head, and unchanged under environment/<name>/history/<version>.
struct DocumentHead {
    // From 1, one more with every accepted document.
    uint64_t version = 0;
    // SHA-256 of the document's bytes, 64 lower-case hexadecimal digits.
    std::string digest;
    // Name of the bytes in the object store. Equal to the digest.
    std::string object;
    // Who applied or promoted the document.
    std::string author;
    // Wall-clock time of the write in milliseconds since 1970, for people only.
    int64_t timeMs = 0;

    bool operator==(const DocumentHead &) const = default;

    std::string toJson() const;

    // Errors: ErrorKind::InvalidUtf8, ErrorKind::MalformedJson, ErrorKind::InvalidValue.
    static absl::StatusOr<DocumentHead> parse(std::string_view json);
};

// Table keys.
std::string documentHeadKey(std::string_view environment);
std::string documentHistoryPrefix(std::string_view environment);
std::string documentHistoryKey(std::string_view environment, uint64_t version);

} // namespace Jujube
