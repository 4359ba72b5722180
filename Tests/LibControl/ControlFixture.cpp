#include "ControlFixture.h"

#include <LibCore/Json.h>

namespace Jujube
{

using namespace std::chrono_literals;

HttpAnswer FakeEngine::answer(const HttpCall &call)
{
    HttpAnswer result {.end = HttpEnd::Complete, .status = 200};
    if (call.method == "GET") {
        const nlohmann::json model {{"model", "m"}, {"version", version}};
        result.body
            = nlohmann::json {{"incarnation", 1}, {"running", running}, {"cold", isCold}, {"leaving", false}, {"models", {model}}, {"role", role}}.dump();
        return result;
    }
    const auto order = *parseJson(call.body);
    const auto fencing = order["fencing"].get<uint64_t>();
    if (honoursFencing && fencing < highest) {
        result.status = 409;
        return result;
    }
    highest = std::max(highest, fencing);
    (order["order"] == "role" ? role : version) = order["order"] == "role" ? order["role"] : order["version"];
    return result;
}

FakeController::FakeController(const std::string &name, const std::string &platform, std::map<std::string, FakeEngine> &engines, MonotonicTime start)
    : m_engines(engines)
    , m_now(start)
    , m_context(makeContext())
    , m_lease({.identity = name, .leaseTime = 10s, .safetyMargin = 1s, .renewInterval = 3s, .readInterval = 5s, .takeoverSpread = 2s, .retryInterval = 1s},
              makeTable(platform),
              m_context)
    , m_reports({.urgentInterval = 1s, .sweepInterval = 2s}, m_context)
    , m_orders({.plan = {.leaseTime = 10s, .orderTimeout = 5s, .repeatInterval = 5s}}, m_lease, m_reports, m_context)
    , m_permits({.ledger = {.settleTime = 3s, .maxReportAge = 3s}, .census = {.missingTime = 10s}},
                m_lease,
                m_reports,
                makeTable(platform),
                VmListClient({.address = platform, .transport = [this](HttpCall call) { return callPlatform(std::move(call)); }}),
                m_context)
{
}

ControlContext FakeController::makeContext()
{
    return {.now = [this] { return m_now; },
            .random = [] { return 0.5; },
            .send = [this](const HttpCall &call, const std::function<void(const HttpAnswer &)> &onEnd) { send(call, onEnd); },
            .gate = std::make_shared<PlatformRateLimiter>(PlatformRateLimiter::Options {.nodes = 8}, m_now, 0.5),
            .record = [this](EventKind kind, const std::string &, const std::string &) { m_refusals += kind == EventKind::OrderRefused ? 1 : 0; }};
}

TableClient FakeController::makeTable(const std::string &platform)
{
    return TableClient({.address = platform, .transport = [this](HttpCall call) { return callPlatform(std::move(call)); }});
}

HttpAnswer FakeController::callPlatform(HttpCall call)
{
    const auto url = call.url;
    auto answer = m_http.call(std::move(call));
    freezeIfWanted(url);
    return answer;
}

void FakeController::freezeIfWanted(const std::string &url)
{
    if (!m_freezeOn.empty() && url.find(m_freezeOn) != std::string::npos) {
        m_freezeOn.clear();
        m_frozen += 20s;
        m_now += 20s;
    }
}

void FakeController::send(const HttpCall &call, const std::function<void(const HttpAnswer &)> &onEnd)
{
    const std::string prefix = "http://";
    const auto target = call.url.substr(prefix.size(), call.url.rfind('/') - prefix.size());
    auto deliver = [this, call, onEnd, target] {
        const auto &address = m_engines.at(target).address;
        if (address.empty()) {
            onEnd(m_engines.at(target).answer(call));
            return;
        }
        auto forwarded = call;
        forwarded.url = "http://" + address + call.url.substr(call.url.rfind('/'));
        onEnd(m_http.call(std::move(forwarded)));
    };
    if (m_holdsBack && call.method == "POST") {
        m_heldBack.push_back(std::move(deliver));
    } else {
        deliver();
        freezeIfWanted(call.url);
    }
}

void FakeController::releaseOrders()
{
    m_holdsBack = false;
    for (const auto &deliver : m_heldBack) {
        deliver();
    }
    m_heldBack.clear();
}

void FakeController::step(MonotonicTime now, const std::vector<WantedTarget> &wanted)
{
    m_now = now + m_frozen;
    m_lease.step();
    m_reports.step(wanted);
    m_orders.step(wanted);
    m_permits.step(wanted);
}

ControlFixture::ControlFixture()
    : m_platform(*PlatformStandIn::start({}))
    , m_engines({{"e1", {.honoursFencing = true, .version = "0"}}, {"e2", {.honoursFencing = false, .version = "0"}}})
    , m_wanted({{.target = "e1", .honoursFencing = true, .models = {{"m", "1"}}, .coldLimit = 2},
                {.target = "e2", .honoursFencing = false, .models = {{"m", "1"}}, .coldLimit = 2}})
    , m_first("c1", m_platform->address(), m_engines, m_now)
    , m_second("c2", m_platform->address(), m_engines, m_now)
{
    auto vms = nlohmann::json::array();
    for (const std::string name : {"g0", "g1"}) {
        vms.push_back({{"name", name}, {"address", name + ":1"}, {"data_centre", "lahore"}, {"role", "gateway"}, {"state", "live"}, {"incarnation", 1}});
    }
    post("/vms", {{"vms", vms}});
}

void ControlFixture::run(std::chrono::milliseconds time, bool withFirst, bool withSecond)
{
    for (const auto end = m_now + time; m_now < end; m_now += 500ms) {
        if (withFirst) {
            m_first.step(m_now, m_wanted);
        }
        if (withSecond) {
            m_second.step(m_now, m_wanted);
        }
        EXPECT_FALSE(withFirst && withSecond && m_first.term() && m_second.term());
    }
}

void ControlFixture::post(const std::string &path, const nlohmann::json &body)
{
    EXPECT_EQ(m_http.call({.method = "POST", .url = "http://" + m_platform->address() + path, .body = body.dump()}).status, 200);
}

PermitClient ControlFixture::permits(const std::string &gateway, uint64_t incarnation)
{
    TableClient table({.address = m_platform->address(), .transport = [this](HttpCall call) { return m_http.call(std::move(call)); }});
    return {std::move(table), {.name = gateway, .address = gateway + ":1", .incarnation = incarnation}};
}

} // namespace Jujube
