#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Jujube
{

// The row that the table service holds under environment/<name>/head, and unchanged under environment/<name>/history/<version>.
struct DocumentHead {
    // Starts at 1 and increases by one with every accepted document.
    uint64_t version = 0;
    // SHA-256 of the document's bytes, 64 lower-case hexadecimal digits.
    std::string digest;
    // Name of the document's bytes in the object store. Equal to the digest.
    std::string object;
    // The operator who applied or promoted the document.
    std::string author;
    // Wall-clock time of the write in milliseconds since 1970. For display only.
    int64_t timeMs = 0;

    bool operator==(const DocumentHead &) const = default;

    std::string toJson() const;

    // Errors: ErrorKind::InvalidUtf8, ErrorKind::MalformedJson, ErrorKind::InvalidValue.
    static absl::StatusOr<DocumentHead> parse(std::string_view json);
};

// Keys in the table service.
std::string documentHeadKey(std::string_view environment);
std::string documentHistoryPrefix(std::string_view environment);
std::string documentHistoryKey(std::string_view environment, uint64_t version);

} // namespace Jujube
