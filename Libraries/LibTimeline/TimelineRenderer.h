#pragma once

#include <LibTimeline/Timeline.h>

namespace Jujube
{

// One line for each event, with times in seconds after the first one.
std::string renderText(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped);

// One JSON object on a line for each event, and one for each process that dropped events.
std::string renderJsonLines(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped);

// A self-contained page with a column for each process and a row for each event.
std::string renderHtml(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped);

} // namespace Jujube
