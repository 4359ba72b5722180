#include <csignal>
#include <iostream>
#include <LibCore/Settings.h>
#include <LibCore/StopSignals.h>
#include <StandIns/Engine/EngineServer.h>

using namespace Jujube;

namespace
{

constexpr int64_t AnyNumber = 1'000'000'000;

std::vector<Setting> settingList()
{
    const auto number = [](std::string name, std::string help, std::string defaultValue, int64_t low = 0) {
        return Setting {.name = std::move(name), .help = std::move(help), .defaultValue = std::move(defaultValue), .check = checkNumber(low, AnyNumber)};
    };
    return {
        {.name = "listen", .help = "Address and port; port 0 lets the system choose", .defaultValue = "127.0.0.1:0", .check = checkAddress()},
        {.name = "name", .help = "Name in reports", .defaultValue = "engine"},
        {.name = "models", .help = "Comma-separated models that are loaded at the start", .defaultValue = "model"},
        number("step-ms", "Time of a step with a batch of one", "20", 1),
        number("memory-tokens", "Cache memory in tokens", "200000", 1),
        number("seed", "Decides which cache events get lost", "1"),
        number("cold-ms", "How long the engine is cold after its start and after loading a model", "0"),
        number("cold-limit", "Generations that a cold engine can carry", "2"),
        number("report-interval-ms", "Lag of load reports and cache events", "500", 1),
        number("incarnation", "Incarnation number in load reports", "1"),
        number("keep-ms", "How long the output of an ended generation is kept", "60000"),
        number("threads", "Threads for requests; each open stream occupies one", "256", 1),
        {.name = "honour-fencing", .help = "Reject orders with an old fencing number", .defaultValue = "on", .check = checkSwitch()},
    };
}

EngineServer::Options engineOptions(const Settings &settings)
{
    return {
        .listen = settings.text("listen"),
        .threads = static_cast<int>(settings.number("threads")),
        .host =
            {
                .name = settings.text("name"),
                .model =
                    {
                        .baseStep = settings.milliseconds("step-ms"),
                        .memoryTokens = settings.number("memory-tokens"),
                        .coldLimit = settings.number("cold-limit"),
                        .keep = settings.milliseconds("keep-ms"),
                    },
                .models = settings.list("models"),
                .seed = static_cast<uint64_t>(settings.number("seed")),
                .cold = settings.milliseconds("cold-ms"),
                .reportInterval = settings.milliseconds("report-interval-ms"),
                .honourFencing = settings.isOn("honour-fencing"),
                .incarnation = settings.number("incarnation"),
            },
    };
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(
        {.program = "jujube-standin-engine", .description = "A small stand-in of a model engine", .version = JUJUBE_VERSION, .settings = settingList()},
        argc,
        argv,
        exitCode);
    if (!settings) {
        return exitCode;
    }
    const StopSignals stopSignals;
    std::signal(SIGPIPE, SIG_IGN);
    const auto engine = EngineServer::start(engineOptions(*settings));
    if (!engine.ok()) {
        std::cerr << engine.status().message() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*engine)->address() << std::endl;
    stopSignals.wait();
    return 0;
}
