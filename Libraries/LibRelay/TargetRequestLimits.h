#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <optional>
#include <string>

namespace Jujube
{

// Limits on the requests per second of all relays together that targets have named in their responses.
class TargetRequestLimits
{
public:
    // What one response says about a limit.
    struct Statement {
        std::string target;
        int64_t incarnation = 0;
        // Requests per second. Nothing if the target no longer names a limit.
        std::optional<double> limit;
    };

    // The effect of a statement.
    enum class Change {
        None,
        // The target has named its first limit, or a different one.
        Named,
        Ended,
    };

    Change record(const Statement &statement, MonotonicTime now);

    // The limit that a target has named. Nothing if it has none.
    std::optional<double> limit(const std::string &target) const;
    size_t count() const
    {
        return m_targets.size();
    }

    // Removes the limit, because another target has the id now.
    void forget(const std::string &target);

private:
    struct Entry {
        int64_t incarnation = 0;
        double limit = 0;
        MonotonicTime observedAt;
    };

    absl::flat_hash_map<std::string, Entry> m_targets;
};

} // namespace Jujube
