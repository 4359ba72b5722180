#include <LibGateway/GatewayOptions.h>

#include <limits>

namespace Jujube
{

namespace
{

constexpr int64_t MaxIntervalMs = 60'000;
constexpr int64_t MinThreads = 16;
constexpr int64_t MaxThreads = 4096;

SettingCheck checkInterval()
{
    return checkNumber(1, MaxIntervalMs);
}

SettingCheck checkPolicy()
{
    return checkOneOf({"round-robin", "least-outstanding", "least-reported-memory", "memory-forecast"});
}

} // namespace

std::vector<Setting> GatewayOptions::settings()
{
    return {
        {.name = "name", .help = "Name of this gateway, unique in the environment", .required = true},
        {.name = "data-centre", .help = "Data centre of this gateway, as in the environment document", .required = true},
        {.name = "region", .help = "Region of the data centre", .required = true},
        {.name = "listen", .help = "Address for callers and operators", .defaultValue = "127.0.0.1:8100", .check = checkAddress()},
        {.name = "gossip", .help = "UDP address for heartbeats; the same as --listen if empty", .check = checkAddress()},
        {.name = "peers", .help = "UDP addresses of other gateways, separated by commas", .check = checkAddressList()},
        {.name = "platform", .help = "Address of the platform's table service, object store and VM list", .check = checkAddress(), .required = true},
        {.name = "environment", .help = "Name of the environment", .required = true},
        {.name = "incarnation",
         .help = "Number of this process as in the VM list, higher for each replacement; 0 for its start time in ms",
         .defaultValue = "0",
         .check = checkNumber(0, std::numeric_limits<int64_t>::max())},
        {.name = "cursor-key", .help = "Key that signs event ids, the same on all gateways", .required = true, .secret = true},
        {.name = "cursor-key-previous", .help = "Earlier key, accepted while keys are replaced", .secret = true},
        {.name = "cluster-key", .help = "Key that authenticates heartbeats; the cursor key if empty", .secret = true},
        {.name = "policy", .help = "Placement policy", .defaultValue = "memory-forecast", .check = checkPolicy()},
        {.name = "threads", .help = "Maximum number of open requests", .defaultValue = "512", .check = checkNumber(MinThreads, MaxThreads)},
        {.name = "document-interval-ms", .help = "Interval between reads of the document head", .defaultValue = "1000", .check = checkInterval()},
        {.name = "load-interval-ms", .help = "Interval between reads of a target's load", .defaultValue = "250", .check = checkInterval()},
        {.name = "vm-list-interval-ms", .help = "Interval between reads of the VM list", .defaultValue = "1000", .check = checkInterval()},
        {.name = "silence-timeout-ms",
         .help = "Time without data after which a stream is read over a new connection",
         .defaultValue = "3000",
         .check = checkInterval()},
        {.name = "claim-deadline-ms",
         .help = "Time in which the holder of a one-time call's claim may send it",
         .defaultValue = "15000",
         .check = checkInterval()},
        {.name = "keep-alive-ms", .help = "Interval between keep-alive comments on an idle stream", .defaultValue = "5000", .check = checkInterval()},
    };
}

GatewayOptions GatewayOptions::fromSettings(const Settings &settings)
{
    GatewayOptions options {
        .name = settings.text("name"),
        .dataCentre = settings.text("data-centre"),
        .region = settings.text("region"),
        .listen = settings.text("listen"),
        .gossip = settings.text("gossip"),
        .peers = settings.list("peers"),
        .platform = settings.text("platform"),
        .environment = settings.text("environment"),
        .incarnation = settings.number("incarnation"),
        .cursorKey = settings.text("cursor-key"),
        .previousCursorKey = settings.text("cursor-key-previous"),
        .clusterKey = settings.text("cluster-key"),
        .policy = placementPolicyKindFromName(settings.text("policy")).value_or(PlacementPolicyKind::MemoryForecast),
        .threads = static_cast<int>(settings.number("threads")),
        .documentInterval = settings.milliseconds("document-interval-ms"),
        .loadInterval = settings.milliseconds("load-interval-ms"),
        .vmListInterval = settings.milliseconds("vm-list-interval-ms"),
        .silenceTimeout = settings.milliseconds("silence-timeout-ms"),
        .keepAliveInterval = settings.milliseconds("keep-alive-ms"),
        .claimDeadline = settings.milliseconds("claim-deadline-ms"),
    };
    if (options.clusterKey.empty()) {
        options.clusterKey = options.cursorKey;
    }
    return options;
}

} // namespace Jujube
