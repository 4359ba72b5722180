#include "TestFleet.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <LibCore/Digest.h>
#include <LibCore/Time.h>
#include <thread>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> DataCentres {"lahore", "karachi", "islamabad"};

std::string dataCentreOf(size_t index)
{
    return DataCentres[index % DataCentres.size()];
}

} // namespace

TestFleet::TestFleet(Options options)
    : m_options(std::move(options))
{
    m_platform = std::make_unique<ChildProcess>("jujube-standin-platform", std::vector<std::string> {"--listen", "127.0.0.1:0"});
    m_desk = std::make_unique<ChildProcess>("jujube-standin-orderdesk", std::vector<std::string> {"--listen", "127.0.0.1:0", "--name", "desk-1"});
    for (int i = 1; i <= m_options.engines; ++i) {
        const auto name = absl::StrCat("engine-", i);
        std::vector<std::string> arguments {"--listen", "127.0.0.1:0", "--name", name, "--models", "naqsh"};
        arguments.insert(arguments.end(), m_options.engineArguments.begin(), m_options.engineArguments.end());
        m_engines[name] = std::make_unique<ChildProcess>("jujube-standin-engine", arguments);
    }
    m_yaml = makeYaml();
    publish();
    for (int i = 0; i < m_options.controllers; ++i) {
        const std::vector<std::string> arguments {
            "--listen",
            "127.0.0.1:0",
            "--name",
            absl::StrCat("controller-", i),
            "--data-centre",
            dataCentreOf(static_cast<size_t>(i)),
            "--platform",
            m_platform->address(),
            "--environment",
            "test",
            "--lease-spread-ms",
            "200",
            "--report-ms",
            "200",
        };
        m_controllers.push_back(std::make_unique<ChildProcess>("jujube-controller", arguments));
    }
    for (size_t i = 0; i < static_cast<size_t>(m_options.gateways); ++i) {
        m_gateways.push_back(std::make_unique<ChildProcess>("jujube-gateway", gatewayArguments(i, "127.0.0.1:0")));
    }
    postVmList();
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        EXPECT_TRUE(waitFor([this, i] { return isInForce(i); }));
    }
}

std::vector<std::string> TestFleet::gatewayArguments(size_t index, const std::string &listen) const
{
    std::string peers;
    for (const auto &gateway : m_gateways) {
        absl::StrAppend(&peers, peers.empty() ? "" : ",", gateway->address());
    }
    const auto dataCentre = dataCentreOf(index);
    std::vector<std::string> arguments {
        "--listen",
        listen,
        "--name",
        absl::StrCat("gateway-", index),
        "--data-centre",
        dataCentre,
        "--region",
        dataCentre,
        "--platform",
        m_platform->address(),
        "--environment",
        "test",
        "--cursor-key",
        "key",
        "--peers",
        peers,
    };
    arguments.insert(arguments.end(), m_options.gatewayArguments.begin(), m_options.gatewayArguments.end());
    return arguments;
}

void TestFleet::postVmList()
{
    auto vms = nlohmann::json::array();
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        vms.push_back({{"name", absl::StrCat("gateway-", i)},
                       {"address", m_gateways[i]->address()},
                       {"data_centre", dataCentreOf(i)},
                       {"role", "gateway"},
                       {"state", "live"},
                       {"incarnation", m_incarnation}});
    }
    post(m_platform->address(), "/vms", {{"vms", vms}});
}

void TestFleet::restartGateway(size_t index)
{
    const auto address = m_gateways.at(index)->address();
    m_gateways.at(index)->kill();
    ++m_incarnation;
    m_gateways.at(index) = std::make_unique<ChildProcess>("jujube-gateway", gatewayArguments(index, address));
}

std::string TestFleet::makeYaml() const
{
    std::string yaml = "environment: test\ndata_centres:\n";
    for (const auto &name : DataCentres) {
        absl::StrAppend(&yaml, "  ", name, ": {state: in, region: ", name, "}\n");
    }
    absl::StrAppend(&yaml,
                    "workspaces:\n  paying: {tier: paying, key_sha256: ",
                    sha256Hex("paying-key"),
                    "}\n  other: {tier: trial, key_sha256: ",
                    sha256Hex("other-key"),
                    "}\n  limited: {tier: trial, limits: {requests_per_s: 4, open_streams: 2}, key_sha256: ",
                    sha256Hex("limited-key"),
                    "}\nmodels:\n  naqsh: {continuation: ",
                    m_options.continuation,
                    ", version: \"1\", max_tokens: 50000}\n",
                    "services:\n  order-desk:\n    calls:\n      capture: {path: /capture, repeatable: false, timeout_s: 10}\n"
                    "      status: {method: GET, path: /status, repeatable: true, fresh_s: 60, timeout_s: 2}\ntargets:\n");
    size_t index = 0;
    for (const auto &[name, process] : m_engines) {
        absl::StrAppend(&yaml,
                        "  ",
                        name,
                        ": {address: \"",
                        process->address(),
                        "\", data_centre: ",
                        dataCentreOf(index++),
                        ", models: [naqsh], fencing: honoured, cold_limit: 2, memory_tokens: 200000}\n");
    }
    absl::StrAppend(&yaml, "  desk-1: {address: \"", m_desk->address(), "\", data_centre: lahore, service: order-desk}\n");
    return yaml;
}

void TestFleet::publish()
{
    const auto digest = sha256Hex(m_yaml);
    const nlohmann::json head {{"version", m_version + 1}, {"digest", digest}, {"object", digest}, {"author", "test"}, {"time_ms", 1}};
    m_client.call({.method = "PUT", .url = absl::StrCat("http://", m_platform->address(), "/objects/", digest), .body = m_yaml});
    HttpHeaders condition {{"If-None-Match", "*"}};
    if (m_headRevision > 0) {
        condition = {{"If-Match", absl::StrCat(m_headRevision)}};
    }
    const auto url = absl::StrCat("http://", m_platform->address(), "/table/environment/test/head");
    const auto answer = m_client.call({.method = "PUT", .url = url, .headers = condition, .body = head.dump()});
    ASSERT_TRUE(answer.isSuccess()) << answer.body;
    m_headRevision = nlohmann::json::parse(answer.body).at("revision").get<uint64_t>();
    ++m_version;
}

bool TestFleet::isInForce(size_t gateway)
{
    const auto status = getJson(m_gateways[gateway]->address(), "/environment");
    const bool current = status.is_object() && status.value("version", uint64_t {0}) == m_version;
    constexpr int Ok = 200;
    return current && m_client.call({.url = absl::StrCat("http://", m_gateways[gateway]->address(), "/readyz")}).status == Ok;
}

void TestFleet::changeDocument(const std::function<void(std::string &yaml)> &change)
{
    change(m_yaml);
    publish();
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        EXPECT_TRUE(waitFor([this, i] { return isInForce(i); }));
    }
}

void TestFleet::restartEngine(const std::string &name)
{
    const auto address = m_engines.at(name)->address();
    m_engines.at(name)->kill();
    std::vector<std::string> arguments {"--listen", address, "--name", name, "--models", "naqsh", "--incarnation", std::to_string(++m_incarnation)};
    arguments.insert(arguments.end(), m_options.engineArguments.begin(), m_options.engineArguments.end());
    m_engines[name] = std::make_unique<ChildProcess>("jujube-standin-engine", arguments);
}

bool TestFleet::waitFor(const std::function<bool()> &condition)
{
    const auto deadline = monotonicNow() + 60s;
    while (!condition()) {
        if (monotonicNow() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

nlohmann::json TestFleet::getJson(const std::string &address, const std::string &path)
{
    const auto answer = m_client.call({.url = absl::StrCat("http://", address, path)});
    return nlohmann::json::parse(answer.body, nullptr, false);
}

void TestFleet::post(const std::string &address, const std::string &path, const nlohmann::json &body)
{
    const auto answer = m_client.call({.method = "POST", .url = absl::StrCat("http://", address, path), .body = body.dump()});
    EXPECT_TRUE(answer.isSuccess()) << answer.body;
}

std::vector<std::string> TestFleet::eventNames(size_t gateway, const std::string &request)
{
    std::vector<std::string> names;
    const auto page = getJson(m_gateways.at(gateway)->address(), "/events?after=0");
    if (!page.is_object()) {
        return names;
    }
    for (const auto &event : page["events"]) {
        if (request.empty() || event.value("request", "") == request) {
            names.push_back(event["name"]);
        }
    }
    return names;
}

size_t TestFleet::ledgerSize()
{
    return getJson(m_desk->address(), "/ledger").at("entries").size();
}

} // namespace Jujube
