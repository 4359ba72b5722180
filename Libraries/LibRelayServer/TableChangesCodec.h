#pragma once

#include <LibRelayServer/PlatformAdapter.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// What a relay hands over to another one of a table of the store: the rows that have changed since a version, removed ones among them, or the whole table.
struct TableChanges {
    StoreRows rows;
    // Whether rows that are missing do not exist.
    bool isWhole = false;
};

// Maximum size of the changes of a table, before they are compressed.
constexpr size_t MaxTableChangesBytes = 16 << 20;

// Encodes changes (Relay.thrift), compressed with Zstandard.
std::string encodeTableChanges(const TableChanges &changes);

// Nothing if the bytes are not such changes.
std::optional<TableChanges> decodeTableChanges(std::string_view bytes);

} // namespace Jujube
