#include <LibTimeline/Timeline.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <algorithm>
#include <tuple>

namespace Jujube
{

namespace
{

bool matchesText(const std::string &wanted, const std::string &actual)
{
    return wanted.empty() || wanted == actual;
}

TimelineEvent eventFromJson(const std::string &process, const nlohmann::json &json)
{
    return {
        .process = process,
        .sequence = json.at("sequence").get<uint64_t>(),
        .time = {.wallMs = json.at("wall_ms").get<int64_t>(), .counter = json.at("counter").get<uint32_t>()},
        .number = json.at("number").get<int>(),
        .name = json.at("name").get<std::string>(),
        .request = json.value("request", ""),
        .target = json.value("target", ""),
        .dataCentre = json.value("data_centre", ""),
        .detail = json.value("detail", ""),
    };
}

} // namespace

bool TimelineFilter::matches(const TimelineEvent &event) const
{
    return matchesText(request, event.request) && matchesText(target, event.target) && matchesText(dataCentre, event.dataCentre);
}

absl::Status Timeline::add(std::string_view pageText)
{
    const auto page = parseJson(pageText);
    if (!page.ok()) {
        return page.status();
    }
    try {
        const auto process = page->at("process").get<std::string>();
        std::vector<TimelineEvent> events;
        for (const auto &event : page->at("events")) {
            events.push_back(eventFromJson(process, event));
        }
        m_dropped.push_back({.process = process, .count = page->at("dropped").get<uint64_t>()});
        m_events.insert(m_events.end(), std::make_move_iterator(events.begin()), std::make_move_iterator(events.end()));
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, std::string("not a page of events: ") + error.what());
    }
    return absl::OkStatus();
}

std::vector<TimelineEvent> Timeline::events(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> matching;
    std::copy_if(m_events.begin(), m_events.end(), std::back_inserter(matching), [&filter](const auto &event) { return filter.matches(event); });
    std::sort(matching.begin(), matching.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.time, a.process, a.sequence) < std::tie(b.time, b.process, b.sequence);
    });
    return matching;
}

} // namespace Jujube
