#include <LibEvents/EventLog.h>

namespace Jujube
{

EventLog::EventLog(Options options)
    : m_options(std::move(options))
{
}

void EventLog::record(Event event, int64_t wallMsNow)
{
    if (event.dataCentre.empty()) {
        event.dataCentre = m_options.dataCentre;
    }
    {
        const std::lock_guard lock(m_mutex);
        event.time = m_clock.tick(wallMsNow);
        event.sequence = ++m_lastSequence;
        m_events.push_back(event);
        if (m_events.size() > m_options.capacity) {
            m_events.pop_front();
        }
    }
    if (m_options.onEvent) {
        m_options.onEvent(event);
    }
}

void EventLog::observe(const HybridTime &remote, int64_t wallMsNow)
{
    m_clock.observe(remote, wallMsNow);
}

HybridTime EventLog::tick(int64_t wallMsNow)
{
    return m_clock.tick(wallMsNow);
}

EventLog::Page EventLog::after(uint64_t sequence) const
{
    const std::lock_guard lock(m_mutex);
    Page page;
    const uint64_t firstKept = m_lastSequence - m_events.size() + 1;
    if (sequence + 1 < firstKept) {
        page.dropped = firstKept - sequence - 1;
    }
    for (const auto &event : m_events) {
        if (event.sequence > sequence) {
            page.events.push_back(event);
        }
    }
    return page;
}

nlohmann::json EventLog::pageToJson(uint64_t sequence) const
{
    const auto page = after(sequence);
    auto events = nlohmann::json::array();
    for (const auto &event : page.events) {
        events.push_back(event.toJson());
    }
    return {{"process", m_options.process}, {"dropped", page.dropped}, {"events", std::move(events)}};
}

} // namespace Jujube
