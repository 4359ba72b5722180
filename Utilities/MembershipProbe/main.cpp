#include <iostream>
#include <LibCore/Settings.h>
#include <LibMembership/Membership.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace
{

using namespace Jujube;

// Internet Protocol and UDP headers, which are paid for too.
constexpr uint64_t HeaderBytes = 28;

Settings::Options settingsOptions()
{
    return {
        .program = "jujube-membership-probe",
        .description = "Runs one member and prints what its membership costs",
        .version = JUJUBE_VERSION,
        .settings
        = {{.name = "name", .help = "member's name", .required = true},
           {.name = "data-centre", .help = "data centre", .defaultValue = "dc-0"},
           {.name = "region", .help = "region", .defaultValue = "region-0"},
           {.name = "listen", .help = "UDP address for heartbeats", .defaultValue = "127.0.0.1:0", .check = checkAddress()},
           {.name = "peers", .help = "UDP addresses of peers", .check = checkAddressList()},
           {.name = "cluster-key", .help = "key that signs heartbeats", .required = true, .secret = true},
           {.name = "warm-up-s", .help = "time before the measurement", .defaultValue = "20", .check = checkNumber(0, 600)},
           {.name = "stay-s", .help = "time after the report, in which other members still find this one", .defaultValue = "0", .check = checkNumber(0, 600)},
           {.name = "measure-s", .help = "length of the measurement", .defaultValue = "30", .check = checkNumber(1, 600)}},
        .environment = [](const std::string &name) -> std::optional<std::string> {
            const char *value = std::getenv(name.c_str());
            return value ? std::optional<std::string>(value) : std::nullopt;
        }};
}

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct Sample {
    HeartbeatSocket::Counters counters;
    double processorSeconds = 0;
    MonotonicTime at;
};

Sample sampleOf(const Membership &membership)
{
    return {.counters = membership.counters(), .processorSeconds = processorSeconds(), .at = monotonicNow()};
}

nlohmann::json report(const Sample &before, const Sample &after, const Membership &membership)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const auto datagramsSent = after.counters.sentDatagrams - before.counters.sentDatagrams;
    const auto datagramsReceived = after.counters.receivedDatagrams - before.counters.receivedDatagrams;
    const auto bytesSent = after.counters.sentBytes - before.counters.sentBytes + HeaderBytes * datagramsSent;
    const auto bytesReceived = after.counters.receivedBytes - before.counters.receivedBytes + HeaderBytes * datagramsReceived;
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return {{"sent_bytes_per_s", static_cast<double>(bytesSent) / seconds},
            {"received_bytes_per_s", static_cast<double>(bytesReceived) / seconds},
            {"sent_datagrams_per_s", static_cast<double>(datagramsSent) / seconds},
            {"processor_share", (after.processorSeconds - before.processorSeconds) / seconds},
            {"resident_kib", usage.ru_maxrss},
            {"live", membership.liveMembers(after.at).size()},
            {"refused", membership.rejectedDatagrams()}};
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(settingsOptions(), argc, argv, exitCode);
    if (!settings) {
        return exitCode;
    }
    const MemberIdentity self {.name = settings->text("name"),
                               .dataCentre = settings->text("data-centre"),
                               .region = settings->text("region"),
                               .address = settings->text("name") + ":1",
                               .gossipAddress = "",
                               .incarnation = wallMsNow()};
    auto membership = Membership::start({.self = self,
                                         .listen = settings->text("listen"),
                                         .seeds = settings->list("peers"),
                                         .clusterKey = settings->text("cluster-key"),
                                         .tuning = {},
                                         .hooks = {}});
    if (!membership.ok()) {
        std::cerr << membership.status().message() << '\n';
        return 1;
    }
    std::cout << nlohmann::json {{"listen", (*membership)->gossipAddress()}} << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(settings->number("warm-up-s")));
    const auto before = sampleOf(**membership);
    std::this_thread::sleep_for(std::chrono::seconds(settings->number("measure-s")));
    const auto after = sampleOf(**membership);
    std::cout << report(before, after, **membership) << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(settings->number("stay-s")));
    return 0;
}
