#include <LibGeneration/Cursor.h>

#include <LibCore/AbslView.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibCore/ThriftCompact.h>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <Cursor_types.h>

namespace Jujube
{

namespace
{

constexpr size_t MacBytes = 16;
constexpr size_t MaxCursorTextBytes = 1024;
constexpr size_t GenerationIdBytes = 16;

absl::Status invalidCursor()
{
    return makeError(ErrorKind::InvalidCursor, "the event id was not issued by this system for this request");
}

Thrift::CursorRecord toRecord(const Cursor &cursor)
{
    Thrift::CursorRecord record;
    record.workspace = cursor.workspace;
    record.generation = absl::HexStringToBytes(cursor.generation);
    record.attempt = cursor.attempt;
    record.target = cursor.target;
    record.nextOffset = cursor.nextOffset;
    record.checksum = static_cast<int64_t>(cursor.checksum);
    record.bodyDigest = static_cast<int64_t>(cursor.bodyDigest);
    record.wallMs = cursor.time.wallMs;
    record.counter = static_cast<int32_t>(cursor.time.counter);
    return record;
}

Cursor fromRecord(const Thrift::CursorRecord &record)
{
    return {
        .workspace = record.workspace,
        .generation = absl::BytesToHexString(record.generation),
        .attempt = record.attempt,
        .target = record.target,
        .nextOffset = record.nextOffset,
        .checksum = static_cast<uint64_t>(record.checksum),
        .bodyDigest = static_cast<uint64_t>(record.bodyDigest),
        .time = {.wallMs = record.wallMs, .counter = static_cast<uint32_t>(record.counter)},
    };
}

} // namespace

CursorCodec::CursorCodec(Options options)
    : m_options(std::move(options))
{
}

std::string CursorCodec::encode(const Cursor &cursor) const
{
    std::string bytes = toThriftCompact(toRecord(cursor));
    bytes += hmacSha256(m_options.key, bytes).substr(0, MacBytes);
    return absl::WebSafeBase64Escape(bytes);
}

absl::StatusOr<Cursor> CursorCodec::decode(std::string_view text) const
{
    std::string bytes;
    if (text.size() > MaxCursorTextBytes || !absl::WebSafeBase64Unescape(toAbsl(text), &bytes) || bytes.size() <= MacBytes) {
        return invalidCursor();
    }
    const std::string mac = bytes.substr(bytes.size() - MacBytes);
    bytes.resize(bytes.size() - MacBytes);
    const bool isSignedWithKey = equalInConstantTime(mac, hmacSha256(m_options.key, bytes).substr(0, MacBytes));
    const bool isSignedWithPreviousKey
        = !m_options.previousKey.empty() && equalInConstantTime(mac, hmacSha256(m_options.previousKey, bytes).substr(0, MacBytes));
    if (!isSignedWithKey && !isSignedWithPreviousKey) {
        return invalidCursor();
    }
    const auto record = fromThriftCompact<Thrift::CursorRecord>(std::move(bytes));
    if (!record || record->generation.size() != GenerationIdBytes || record->nextOffset < 0 || record->attempt < 1) {
        return invalidCursor();
    }
    return fromRecord(*record);
}

uint64_t bodyDigest(std::string_view body)
{
    constexpr size_t Digits = 16;
    uint64_t value = 0;
    // Parsing cannot fail, because 16 hexadecimal digits always fit into 64 bits.
    [[maybe_unused]] const bool parsed = absl::SimpleHexAtoi(sha256Hex(body).substr(0, Digits), &value);
    return value;
}

} // namespace Jujube
