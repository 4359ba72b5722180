#include <LibRelayServer/TableChangesCodec.h>

#include <LibCore/Compression.h>
#include <LibCore/ThriftCompact.h>
#include <Relay_types.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view FormatMarker = "T1";
constexpr ThriftLimits DecodingLimits {.stringBytes = MaxTableChangesBytes, .listItems = 50000};

} // namespace

std::string encodeTableChanges(const TableChanges &changes)
{
    Wire::TableChanges wire;
    wire.era = changes.rows.era;
    wire.version = changes.rows.version;
    wire.changeVersion = changes.rows.changeVersion;
    wire.whole = changes.isWhole;
    for (const auto &row : changes.rows.rows) {
        auto &item = wire.rows.emplace_back();
        item.key = row.key;
        item.value = row.value;
        item.version = row.version;
        item.removed = row.removed;
    }
    return std::string(FormatMarker) + compressZstd(toThriftCompact(wire));
}

std::optional<TableChanges> decodeTableChanges(std::string_view bytes)
{
    if (!bytes.starts_with(FormatMarker)) {
        return std::nullopt;
    }
    auto text = decompressZstd(bytes.substr(FormatMarker.size()), MaxTableChangesBytes);
    auto wire = text ? fromThriftCompact<Wire::TableChanges>(*std::move(text), DecodingLimits) : std::nullopt;
    if (!wire) {
        return std::nullopt;
    }
    TableChanges changes {.rows = {.version = wire->version, .era = wire->era, .changeVersion = wire->changeVersion}, .isWhole = wire->whole};
    for (auto &item : wire->rows) {
        changes.rows.rows.push_back({.key = std::move(item.key), .value = std::move(item.value), .version = item.version, .removed = item.removed});
    }
    return changes;
}

} // namespace Jujube
