#pragma once

#include <LibCore/Time.h>

#include <cmath>

namespace Jujube
{

// Rate of events that were observed recently, with exponentially decaying weights.
class RateMeter
{
public:
    explicit RateMeter(std::chrono::duration<double> halfLife)
        : m_halfLife(halfLife)
    {
    }

    void add(double amount, MonotonicTime now)
    {
        m_sum = decayed(now) + amount;
        m_updated = now;
    }

    // Amount per second.
    double perSecond(MonotonicTime now) const
    {
        constexpr double Ln2 = 0.69314718055994531;
        return decayed(now) * Ln2 / m_halfLife.count();
    }

private:
    double decayed(MonotonicTime now) const
    {
        const std::chrono::duration<double> elapsed = now - m_updated;
        return elapsed.count() > 0 ? m_sum * std::exp2(-elapsed / m_halfLife) : m_sum;
    }

    std::chrono::duration<double> m_halfLife;
    double m_sum = 0;
    MonotonicTime m_updated;
};

} // namespace Jujube
