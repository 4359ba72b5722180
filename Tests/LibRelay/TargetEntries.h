#pragma once

#include <LibRelay/TargetTable.h>

namespace Jujube
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

// An entry of the target list.
inline TargetEntry entry(const std::string &id, int64_t version = 1, int64_t incarnation = 1)
{
    return {.id = id, .incarnation = incarnation, .service = "s", .address = id + ":1", .dataCentre = "lahore", .slots = 6, .version = version};
}

} // namespace Jujube
