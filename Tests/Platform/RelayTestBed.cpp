#include "RelayTestBed.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <fcntl.h>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInRows.h>

namespace Jujube
{

RelayTestBed::RelayTestBed()
    : m_lines({.fileDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC)})
    , m_storeAddress(ownLoopbackEndpoint())
{
    store = std::make_unique<StandInStore>(loop, m_storeAddress);
}

RelayTestBed::~RelayTestBed()
{
    loop.stop();
}

RelayOptions RelayTestBed::optionsFor(const std::string &node) const
{
    std::vector<std::string> seeds;
    for (const auto &[name, other] : m_nodes) {
        seeds.push_back(other.options.peers.toText());
    }
    return {.node = node,
            .dataCentre = "lahore",
            .region = "punjab",
            .regions = {{"lahore", "punjab"}, {"karachi", "sindh"}},
            .callers = ownLoopbackEndpoint(),
            .ready = ownLoopbackEndpoint(),
            .directory = ownLoopbackEndpoint(),
            .peers = ownLoopbackEndpoint(),
            .metrics = ownLoopbackEndpoint(),
            .store = m_storeAddress,
            .seeds = seeds};
}

Relay &RelayTestBed::startRelay(Node &node, boost::asio::io_context &loopOfRelay)
{
    node.changedOptions = node.options;
    auto relay = Relay::start(loopOfRelay,
                              node.options,
                              createPlatformAdapter(),
                              m_lines,
                              {.read = [&node]() -> absl::StatusOr<RelayOptions> { return node.changedOptions; }, .haveChanged = [] { return false; }});
    node.relay = *std::move(relay);
    return *node.relay;
}

Relay &RelayTestBed::addRelay(const std::string &node, std::chrono::milliseconds grace)
{
    auto options = optionsFor(node);
    options.grace = grace;
    auto &entry = m_nodes[node];
    entry.options = std::move(options);
    return startRelay(entry, loop);
}

Relay &RelayTestBed::addSeparateRelay(const std::string &node, const std::function<void(RelayOptions &options)> &change)
{
    auto options = optionsFor(node);
    change(options);
    auto &entry = m_nodes[node];
    entry.options = std::move(options);
    entry.loop = std::make_unique<boost::asio::io_context>();
    return startRelay(entry, *entry.loop);
}

void RelayTestBed::killRelay(const std::string &node)
{
    auto &entry = m_nodes.at(node);
    entry.isFrozen = true;
    entry.relay.reset();
}

StandInTarget &RelayTestBed::addTarget(
    const std::string &id, const std::string &service, int events, const std::string &dataCentre, std::chrono::milliseconds work, const std::string &version)
{
    auto &entry = m_targets[id];
    entry.service = service;
    entry.dataCentre = dataCentre;
    entry.version = version;
    entry.address = ownLoopbackEndpoint();
    const auto crash = [this, &entry] {
        entry.target->crash();
        ++m_fatalCount;
    };
    entry.target = std::make_unique<StandInTarget>(
        loop, StandInTarget::Options {.id = id, .address = entry.address, .events = events, .work = work, .isFatal = isFatal, .onFatal = crash});
    registerTarget(id, "ready");
    return *entry.target;
}

void RelayTestBed::registerTarget(const std::string &id, const std::string &state, int64_t born)
{
    const auto &entry = m_targets.at(id);
    const StandInTargetRow row {
        .service = entry.service, .address = entry.address.toText(), .dataCentre = entry.dataCentre, .state = state, .born = born, .version = entry.version};
    store->put("servers", id, row.toText());
}

void RelayTestBed::unregisterTarget(const std::string &id)
{
    store->remove("servers", id);
}

void RelayTestBed::writeDocument(int64_t version, const std::string &key, std::chrono::milliseconds timeout)
{
    store->put("op", "config", StandInDocument {.version = version, .keys = {key}, .timeout = timeout}.toText());
}

bool RelayTestBed::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        runLoops(std::chrono::milliseconds(2));
    }
    return condition();
}

void RelayTestBed::runFor(std::chrono::milliseconds time)
{
    const bool hasOtherLoops = std::ranges::any_of(m_nodes, [](const auto &entry) { return entry.second.loop != nullptr; });
    if (!hasOtherLoops) {
        runLoops(time);
        return;
    }
    runUntil([] { return false; }, time);
}

void RelayTestBed::runLoops(std::chrono::milliseconds time)
{
    for (auto &[name, node] : m_nodes) {
        if (node.loop && !node.isFrozen) {
            node.loop->restart();
            node.loop->poll();
        }
    }
    loop.restart();
    loop.run_for(time);
}

std::shared_ptr<TargetChannel> RelayTestBed::begin(const std::string &node, const Request &request, const std::shared_ptr<Response> &response)
{
    MessageHead head {.method = request.method, .target = request.path};
    head.set("Host", "shop.example");
    head.set("X-Attempt-Id", request.id);
    head.set("X-Deadline-Ms", "5000");
    head.set("X-Token-Usage", "1000,40");
    if (!request.key.empty()) {
        head.set("Authorization", "Bearer " + request.key);
    }
    for (const auto &field : request.fields) {
        head.set(field.name, field.value);
    }
    if (request.method != "GET") {
        head.set("Content-Length", absl::StrCat(request.body.size()));
    }
    auto channel = std::make_shared<TargetChannel>(loop, m_nodes.at(node).options.callers);
    channel->exchange(
        requestText(head) + (request.method == "GET" ? "" : request.body),
        false,
        std::chrono::seconds(1),
        {.onHead =
             [response](const MessageHead &received, const std::optional<uint64_t> &) {
                 response->head = received;
                 response->status = received.status;
                 return true;
             },
         .onBody = [response, dropsBody = request.dropsBody](std::string_view bytes) { response->body += dropsBody ? std::string_view() : bytes; },
         .onEnd =
             [response](ChannelEnd end, const std::string &) {
                 response->end = end;
                 if (end != ChannelEnd::Complete && response->status == 0) {
                     response->status = -1;
                 }
             }});
    return channel;
}

RelayTestBed::Response RelayTestBed::call(const std::string &node, const Request &request, std::chrono::milliseconds timeout)
{
    const auto response = std::make_shared<Response>();
    const auto channel = begin(node, request, response);
    runUntil([&] { return response->end != ChannelEnd::NotSent || response->status < 0; }, timeout);
    channel->abort();
    return *response;
}

int RelayTestBed::get(const Endpoint &address, const std::string &path, std::string *body)
{
    LoopClient client(loop);
    std::optional<LoopAnswer> result;
    client.call(address, {.target = path}, [&](const LoopAnswer &response) { result = response; });
    runUntil([&] { return result.has_value(); }, std::chrono::seconds(2));
    if (body && result) {
        *body = result->body;
    }
    return result ? result->status : 0;
}

int RelayTestBed::readiness(const std::string &node)
{
    return get(m_nodes.at(node).options.ready, "/-/readyz", nullptr);
}

std::string RelayTestBed::directory(const std::string &node)
{
    std::string body;
    get(m_nodes.at(node).options.directory, "/-/resolve?name=shop.example&region=punjab&zone=lahore", &body);
    return body;
}

std::string RelayTestBed::metrics(const std::string &node)
{
    std::string body;
    get(m_nodes.at(node).options.metrics, "/metrics", &body);
    return body;
}

std::string RelayTestBed::rollouts(const std::string &node)
{
    std::string body;
    get(m_nodes.at(node).options.metrics, "/rollouts", &body);
    return body;
}

bool RelayTestBed::waitUntilReady(const std::string &node)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        if (readiness(node) == 200) {
            runFor(std::chrono::milliseconds(100));
            return true;
        }
        runFor(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace Jujube
