#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <vector>

namespace Jujube
{

// Steps in which a data centre that returns to service gets work again.
struct SlowStartOptions {
    // Share of the capacity in each step. The share after the last step is 1. An empty list returns the data centre at once.
    std::vector<double> shares {0.1, 0.25, 0.5, 0.75};
    std::chrono::milliseconds stepTime {4000};
};

// Slow start of a data centre that returns to service: the share of its capacity that it may use grows in steps. A failure restarts the current step, so that
// load does not grow on targets that are not ready.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options = {});

    void start(MonotonicTime now);
    void stop();

    // Restarts the current step because a target of the data centre failed or preempted work.
    void recordFailure(MonotonicTime now);

    double share(MonotonicTime now) const;

private:
    size_t step(MonotonicTime now) const;

    SlowStartOptions m_options;
    std::optional<MonotonicTime> m_start;
};

} // namespace Jujube
