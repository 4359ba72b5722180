#include <LibTimeline/TimelineRenderer.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <map>

namespace Jujube
{

namespace
{

constexpr double MsPerSecond = 1000.0;
constexpr size_t ShownIdLength = 8;

// The first digits of an id tell requests apart well enough for a person.
std::string shortId(const std::string &id)
{
    return id.substr(0, ShownIdLength);
}

std::string escapeHtml(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

double secondsAfterFirst(const std::vector<TimelineEvent> &events, const TimelineEvent &event)
{
    return static_cast<double>(event.time.wallMs - events.front().time.wallMs) / MsPerSecond;
}

// The column of each process, in the order in which they first appear.
std::map<std::string, size_t> columnsOf(const std::vector<TimelineEvent> &events, std::vector<std::string> &processes)
{
    std::map<std::string, size_t> columns;
    for (const auto &event : events) {
        if (columns.emplace(event.process, processes.size()).second) {
            processes.push_back(event.process);
        }
    }
    return columns;
}

// A colour for each request, so that a draft that moved between processes stands out.
std::string colourOf(const std::string &request)
{
    constexpr size_t Degrees = 360;
    return request.empty() ? "#eee" : absl::StrCat("hsl(", std::hash<std::string> {}(request) % Degrees, ",70%,85%)");
}

constexpr const char *HtmlHead = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>jujubehatch timeline</title><style>"
                                 "body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}th{position:sticky;top:0;background:#fff}"
                                 "td,th{padding:2px 8px;border-left:1px solid #ccc;vertical-align:top;text-align:left}"
                                 ".event{border-radius:4px;padding:1px 6px}.detail{color:#555}td:first-child{color:#777;text-align:right}"
                                 "</style></head><body><h1>jujubehatch timeline</h1>";

} // namespace

std::string renderText(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped)
{
    std::string text;
    for (const auto &event : events) {
        absl::StrAppend(&text,
                        absl::StrFormat("%9.3f  %-12s %4d %-20s %-8s %-10s %s\n",
                                        secondsAfterFirst(events, event),
                                        event.process,
                                        event.number,
                                        event.name,
                                        shortId(event.request),
                                        event.target,
                                        event.detail));
    }
    for (const auto &process : dropped) {
        if (process.count > 0) {
            absl::StrAppend(&text, process.process, ": ", process.count, " earlier events were dropped\n");
        }
    }
    return text;
}

std::string renderJsonLines(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped)
{
    std::string text;
    for (const auto &event : events) {
        const nlohmann::json json {
            {"process", event.process},
            {"sequence", event.sequence},
            {"wall_ms", event.time.wallMs},
            {"counter", event.time.counter},
            {"number", event.number},
            {"name", event.name},
            {"request", event.request},
            {"target", event.target},
            {"data_centre", event.dataCentre},
            {"detail", event.detail},
        };
        text += json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    for (const auto &process : dropped) {
        if (process.count > 0) {
            text += nlohmann::json {{"process", process.process}, {"dropped", process.count}}.dump() + "\n";
        }
    }
    return text;
}

std::string renderHtml(const std::vector<TimelineEvent> &events, const std::vector<DroppedEvents> &dropped)
{
    std::vector<std::string> processes;
    const auto columns = columnsOf(events, processes);
    std::string html = HtmlHead;
    for (const auto &process : dropped) {
        if (process.count > 0) {
            absl::StrAppend(&html, "<p>", escapeHtml(process.process), ": ", process.count, " earlier events were dropped</p>");
        }
    }
    html += "<table><tr><th>s</th>";
    for (const auto &process : processes) {
        absl::StrAppend(&html, "<th>", escapeHtml(process), "</th>");
    }
    html += "</tr>\n";
    for (const auto &event : events) {
        absl::StrAppend(&html, absl::StrFormat("<tr><td>%.3f</td>", secondsAfterFirst(events, event)));
        const auto column = columns.at(event.process);
        for (size_t i = 0; i < processes.size(); ++i) {
            if (i != column) {
                html += "<td></td>";
                continue;
            }
            absl::StrAppend(
                &html,
                absl::StrFormat("<td><span class=\"event\" style=\"background:%s\" title=\"%s\">%d %s</span> %s <span class=\"detail\">%s</span></td>",
                                colourOf(event.request),
                                escapeHtml(event.request),
                                event.number,
                                escapeHtml(event.name),
                                escapeHtml(event.target),
                                escapeHtml(event.detail)));
        }
        html += "</tr>\n";
    }
    html += "</table></body></html>\n";
    return html;
}

} // namespace Jujube
