#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// A row of the table service. The service increases the revision of a row with each write.
struct TableRow {
    std::string key;
    std::string value;
    int64_t revision = 0;

    bool operator==(const TableRow &) const = default;
};

// How a read ended.
enum class ReadEnd {
    Found,
    // The service responded that there is no such row, object or list.
    Absent,
    // No usable response was received.
    Failed,
};

struct RowReadResult {
    ReadEnd end = ReadEnd::Failed;
    // Valid if end is Found.
    TableRow row;
    std::string error;
};

struct RowListResult {
    // Found or Failed; a prefix without rows is Found with an empty list.
    ReadEnd end = ReadEnd::Failed;
    std::vector<TableRow> rows;
    std::string error;
};

// How a write ended.
enum class WriteEnd {
    Done,
    // The condition did not hold, and nothing was written.
    Conflict,
    // The write provably has no effect: the request was not sent, or the service rejected it.
    NotDone,
    // The response was lost. The write may have taken effect, or may still do so later.
    Unknown,
};

struct WriteResult {
    WriteEnd end = WriteEnd::Unknown;
    // The row's revision after the write. Valid if end is Done.
    int64_t revision = 0;
    // Whether `current` holds the result of a read after a conflict. False if that read failed.
    bool isCurrentKnown = false;
    // The row that caused the conflict. Empty if the row does not exist.
    std::optional<TableRow> current;
    std::string error;
};

} // namespace Jujube
