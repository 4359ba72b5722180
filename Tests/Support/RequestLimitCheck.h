#pragma once

#include <algorithm>
#include <LibCore/Time.h>
#include <optional>
#include <utility>
#include <vector>

namespace Jujube
{

// Checks the users' rule LIMIT from what one target sees: from 3 s after it first named a limit, it gets in any 4 s at most one and a half times what the limit
// allows, and 5 requests. The highest limit that was named in these 4 s, or in the second before, applies, because relays need that time to learn a lower one.
class RequestLimitCheck
{
public:
    struct Result {
        MonotonicTime from;
        size_t requests = 0;
        size_t allowed = 0;

        bool isBroken() const
        {
            return requests > allowed;
        }
    };

    // The target names a limit from now on, in requests per second. Nothing for none.
    void nameLimit(std::optional<double> limit, MonotonicTime now)
    {
        m_limits.emplace_back(now, limit);
    }

    void recordArrival(MonotonicTime now)
    {
        m_arrivals.push_back(now);
    }

    // The 4 s with the most requests against those allowed. Nothing if the rule did not apply to any request.
    std::optional<Result> worst() const
    {
        std::optional<Result> worst;
        size_t last = 0;
        for (size_t first = 0; first < m_arrivals.size(); ++first) {
            const auto from = m_arrivals[first];
            last = std::max(last, first);
            while (last < m_arrivals.size() && m_arrivals[last] < from + Window) {
                ++last;
            }
            const auto limit = highestLimit(from - LearningTime, from + Window);
            if (!limit || from < firstNamedAt() + ContactTime) {
                continue;
            }
            const Result result {.from = from, .requests = last - first, .allowed = allowed(*limit)};
            if (!worst || result.requests * worst->allowed > worst->requests * result.allowed) {
                worst = result;
            }
        }
        return worst;
    }

private:
    static constexpr std::chrono::milliseconds Window {4000};
    static constexpr std::chrono::milliseconds ContactTime {3000};
    static constexpr std::chrono::milliseconds LearningTime {1000};
    static constexpr double Factor = 1.5;
    static constexpr double Slack = 5;

    static size_t allowed(double limit)
    {
        return static_cast<size_t>(Factor * limit * std::chrono::duration<double>(Window).count() + Slack);
    }

    MonotonicTime firstNamedAt() const
    {
        const auto first = std::find_if(m_limits.begin(), m_limits.end(), [](const auto &entry) { return entry.second.has_value(); });
        return first == m_limits.end() ? MonotonicTime::max() - ContactTime : first->first;
    }

    // Nothing if there was no limit at some time in between.
    std::optional<double> highestLimit(MonotonicTime from, MonotonicTime until) const
    {
        std::optional<double> highest;
        for (size_t index = 0; index < m_limits.size(); ++index) {
            const bool isLast = index + 1 == m_limits.size();
            if (m_limits[index].first > until || (!isLast && m_limits[index + 1].first <= from)) {
                continue;
            }
            if (!m_limits[index].second || (index == 0 && m_limits[index].first > from)) {
                return std::nullopt;
            }
            highest = std::max(highest.value_or(0), *m_limits[index].second);
        }
        return highest;
    }

    std::vector<std::pair<MonotonicTime, std::optional<double>>> m_limits;
    std::vector<MonotonicTime> m_arrivals;
};

} // namespace Jujube
