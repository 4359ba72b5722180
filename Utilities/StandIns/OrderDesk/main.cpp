#include <csignal>
#include <iostream>
#include <LibCore/Settings.h>
#include <LibCore/StopSignals.h>
#include <StandIns/OrderDesk/OrderDesk.h>

using namespace Jujube;

namespace
{

constexpr int64_t LongestDelayMs = 600'000;
constexpr int64_t MostThreads = 1024;

std::vector<Setting> settingList()
{
    return {
        {.name = "listen", .help = "Address and port; port 0 lets the system choose", .defaultValue = "127.0.0.1:0", .check = checkAddress()},
        {.name = "name", .help = "Name in reports and generated ids", .defaultValue = "orderdesk"},
        {.name = "delay-ms", .help = "Time that every call takes", .defaultValue = "0", .check = checkNumber(0, LongestDelayMs)},
        {.name = "ledger-file", .help = "Keeps the ledger across crashes"},
        {.name = "threads", .help = "Threads for requests", .defaultValue = "64", .check = checkNumber(1, MostThreads)},
    };
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(
        {.program = "jujube-standin-orderdesk", .description = "A small stand-in of an order desk", .version = JUJUBE_VERSION, .settings = settingList()},
        argc,
        argv,
        exitCode);
    if (!settings) {
        return exitCode;
    }
    const StopSignals stopSignals;
    std::signal(SIGPIPE, SIG_IGN);
    const auto desk = OrderDesk::start({
        .name = settings->text("name"),
        .listen = settings->text("listen"),
        .threads = static_cast<int>(settings->number("threads")),
        .delay = settings->milliseconds("delay-ms"),
        .ledgerFile = settings->text("ledger-file"),
    });
    if (!desk.ok()) {
        std::cerr << desk.status().message() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*desk)->address() << std::endl;
    stopSignals.wait();
    return 0;
}
