#pragma once

#include <LibPlatform/TableRow.h>

namespace Jujube
{

// One row of a table service, with the conditions of the real one.
class FakeRow
{
public:
    RowReadResult read() const
    {
        if (m_row.revision == 0) {
            return {.end = ReadEnd::Absent};
        }
        return {.end = ReadEnd::Found, .row = m_row};
    }

    WriteResult write(const std::string &value, int64_t revision)
    {
        if (revision != m_row.revision) {
            WriteResult conflict {.end = WriteEnd::Conflict, .isCurrentKnown = true};
            if (m_row.revision > 0) {
                conflict.current = m_row;
            }
            return conflict;
        }
        m_row = {.key = "row", .value = value, .revision = m_row.revision + 1};
        return {.end = WriteEnd::Done, .revision = m_row.revision};
    }

private:
    TableRow m_row;
};

} // namespace Jujube
