#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <string>

namespace Jujube
{

// The value of the lease row in the table service.
struct LeaseRecord {
    // Name and incarnation of the process that wrote the row; unique among all processes that ever compete for the lease.
    std::string holder;
    // Number of the term. Each acquisition has a higher one than all before it; a renewal keeps it.
    uint64_t fencing = 0;
    // Counts the holder's writes, so that the holder can tell which of them took effect.
    uint64_t renewal = 0;
    std::chrono::milliseconds leaseTime {0};

    std::string toText() const;

    // Errors: ErrorKind::InvalidValue if a field is missing or has the wrong type.
    static absl::StatusOr<LeaseRecord> fromText(const std::string &text);

    bool operator==(const LeaseRecord &) const = default;
};

} // namespace Jujube
