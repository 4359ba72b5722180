#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <vector>

namespace Jujube
{

// The steps in which a returning data centre gets work again.
struct ReturnRampOptions {
    // Share of the capacity in each step. The share after the last step is 1. An empty list returns the data centre at once.
    std::vector<double> shares {0.1, 0.25, 0.5, 0.75};
    std::chrono::milliseconds stepTime {4000};
};

// Share of its capacity that a data centre may use at a point in time. A failure during the return repeats the current step, so that load does not grow on
// targets that are not ready.
class ReturnRamp
{
public:
    explicit ReturnRamp(ReturnRampOptions options = {});

    void start(MonotonicTime now);
    void stop();

    // A target of the data centre failed or preempted work.
    void noteTrouble(MonotonicTime now);

    double share(MonotonicTime now) const;

private:
    size_t step(MonotonicTime now) const;

    ReturnRampOptions m_options;
    std::optional<MonotonicTime> m_start;
};

} // namespace Jujube
