#include "RelayWorld.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <platform/PlatformDialect.h>
#include <platform/StandIns/StandInRows.h>

namespace Jujube
{

RelayWorld::RelayWorld()
    : m_lines({.fileDescriptor = open("/dev/null", O_WRONLY | O_CLOEXEC)})
    , m_storeAddress(ownLoopbackEndpoint())
{
    store = std::make_unique<StandInStore>(loop, m_storeAddress);
}

RelayWorld::~RelayWorld()
{
    loop.stop();
}

Relay &RelayWorld::addRelay(const std::string &node)
{
    std::vector<std::string> seeds;
    for (const auto &[name, other] : m_nodes) {
        seeds.push_back(other.options.peers.toText());
    }
    auto &entry = m_nodes[node];
    entry.options = {.node = node,
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
    auto relay = Relay::start(loop,
                              entry.options,
                              platformDialect(),
                              m_lines,
                              {.read = [options = entry.options]() -> absl::StatusOr<RelayOptions> { return options; }, .haveChanged = [] { return false; }});
    entry.relay = *std::move(relay);
    return *entry.relay;
}

StandInServer &RelayWorld::addServer(const std::string &id, const std::string &service, int events, const std::string &dataCentre)
{
    auto &entry = m_servers[id];
    entry.service = service;
    entry.dataCentre = dataCentre;
    entry.address = ownLoopbackEndpoint();
    entry.server = std::make_unique<StandInServer>(loop, StandInServer::Options {.id = id, .address = entry.address, .events = events});
    registerServer(id, "ready");
    return *entry.server;
}

void RelayWorld::registerServer(const std::string &id, const std::string &state, int64_t born)
{
    const auto &entry = m_servers.at(id);
    const StandInServerRow row {.service = entry.service, .address = entry.address.toText(), .dataCentre = entry.dataCentre, .state = state, .born = born};
    store->put("servers", id, row.toText());
}

void RelayWorld::unregisterServer(const std::string &id)
{
    store->remove("servers", id);
}

void RelayWorld::writeDocument(int64_t version, const std::string &key)
{
    store->put("op", "config", StandInDocument {.version = version, .keys = {key}}.toText());
}

bool RelayWorld::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds most)
{
    const auto end = std::chrono::steady_clock::now() + most;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(2));
    }
    return condition();
}

void RelayWorld::runFor(std::chrono::milliseconds time)
{
    loop.restart();
    loop.run_for(time);
}

std::shared_ptr<TargetChannel> RelayWorld::begin(const std::string &node, const Request &request, const std::shared_ptr<Answer> &answer)
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
    channel->exchange(requestText(head) + (request.method == "GET" ? "" : request.body),
                      false,
                      std::chrono::seconds(1),
                      {.onHead =
                           [answer](const MessageHead &received, const std::optional<uint64_t> &) {
                               answer->head = received;
                               answer->status = received.status;
                               return true;
                           },
                       .onBody = [answer](std::string_view bytes) { answer->body += bytes; },
                       .onEnd =
                           [answer](ChannelEnd end, const std::string &) {
                               answer->end = end;
                               if (end != ChannelEnd::Complete && answer->status == 0) {
                                   answer->status = -1;
                               }
                           }});
    return channel;
}

RelayWorld::Answer RelayWorld::call(const std::string &node, const Request &request, std::chrono::milliseconds most)
{
    const auto answer = std::make_shared<Answer>();
    const auto channel = begin(node, request, answer);
    runUntil([&] { return answer->end != ChannelEnd::NotSent || answer->status < 0; }, most);
    channel->abort();
    return *answer;
}

int RelayWorld::get(const Endpoint &address, const std::string &path, std::string *body)
{
    LoopClient client(loop);
    std::optional<LoopAnswer> result;
    client.call(address, {.target = path}, [&](const LoopAnswer &answer) { result = answer; });
    runUntil([&] { return result.has_value(); }, std::chrono::seconds(2));
    if (body && result) {
        *body = result->body;
    }
    return result ? result->status : 0;
}

int RelayWorld::readiness(const std::string &node)
{
    return get(m_nodes.at(node).options.ready, "/-/readyz", nullptr);
}

std::string RelayWorld::directory(const std::string &node)
{
    std::string body;
    get(m_nodes.at(node).options.directory, "/-/resolve?name=shop.example&region=punjab&zone=lahore", &body);
    return body;
}

bool RelayWorld::waitReady(const std::string &node)
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
