#include <iostream>
#include <LibCore/Settings.h>
#include <LibHttp/HttpClient.h>
#include <LibTimeline/TimelineRenderer.h>

using namespace Jujube;

namespace
{

// Some processes did not answer; the timeline is incomplete.
constexpr int ExitIncomplete = 4;

std::vector<Setting> timelineSettings()
{
    return {
        {.name = "processes", .help = "Addresses of the processes, separated by commas", .check = checkAddressList(), .required = true},
        {.name = "request", .help = "Show only events of this request"},
        {.name = "target", .help = "Show only events of this target"},
        {.name = "data-centre", .help = "Show only events of this data centre"},
        {.name = "format", .help = "text, jsonl or html", .defaultValue = "text", .check = checkOneOf({"text", "jsonl", "html"})},
    };
}

std::string render(const std::string &format, const Timeline &timeline, const TimelineFilter &filter)
{
    const auto events = timeline.events(filter);
    if (format == "jsonl") {
        return renderJsonLines(events, timeline.dropped());
    }
    return format == "html" ? renderHtml(events, timeline.dropped()) : renderText(events, timeline.dropped());
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings
        = Settings::parseForMain({.program = "jujube-timeline",
                                  .description = "Prints the events of several processes in one order. Exit codes: 0 complete, 2 invalid settings, "
                                                 "4 a process did not answer",
                                  .version = JUJUBE_VERSION,
                                  .settings = timelineSettings()},
                                 argc,
                                 argv,
                                 exitCode);
    if (!settings) {
        return exitCode;
    }
    HttpClient client;
    Timeline timeline;
    for (const auto &address : settings->list("processes")) {
        const auto answer = client.call({.url = "http://" + address + "/events?after=0", .answerLimitBytes = 16 << 20});
        const auto status = answer.isSuccess() ? timeline.add(answer.body) : absl::UnavailableError(answer.error);
        if (!status.ok()) {
            std::cerr << address << ": " << status.message() << '\n';
            exitCode = ExitIncomplete;
        }
    }
    std::cout << render(settings->text("format"),
                        timeline,
                        {.request = settings->text("request"), .target = settings->text("target"), .dataCentre = settings->text("data-centre")});
    return exitCode;
}
