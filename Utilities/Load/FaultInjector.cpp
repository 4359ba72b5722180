#include <Load/FaultInjector.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Jujube
{

absl::StatusOr<EngineEntry> EngineEntry::parse(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("\"", text, "\" is not of the form lahore/engine-1=127.0.0.1:8301"));
    }
    EngineEntry entry {.name = text.substr(0, equals), .address = text.substr(equals + 1)};
    const auto slash = entry.name.find('/');
    if (slash != std::string::npos) {
        entry.dataCentre = entry.name.substr(0, slash);
        entry.name.erase(0, slash + 1);
    }
    return entry;
}

std::vector<EngineEntry> chooseEngines(const ScenarioFault &fault, const std::vector<EngineEntry> &engines)
{
    std::vector<EngineEntry> chosen;
    for (const auto &engine : engines) {
        const bool named = fault.engines.empty() || std::find(fault.engines.begin(), fault.engines.end(), engine.name) != fault.engines.end();
        const bool there = fault.dataCentre.empty() || fault.dataCentre == engine.dataCentre;
        const bool wanted = fault.count == 0 || chosen.size() < fault.count;
        if (named && there && wanted) {
            chosen.push_back(engine);
        }
    }
    return chosen;
}

std::vector<std::string> injectFault(const ScenarioFault &fault, const std::vector<EngineEntry> &engines, HttpClient &client)
{
    std::vector<std::string> failed;
    for (const auto &engine : chooseEngines(fault, engines)) {
        const auto answer = client.call({.method = "POST", .url = absl::StrCat("http://", engine.address, "/faults"), .body = fault.body.dump()});
        if (!answer.isSuccess()) {
            failed.push_back(engine.name);
        }
    }
    return failed;
}

std::vector<nlohmann::json> readStatistics(const std::vector<EngineEntry> &engines, HttpClient &client)
{
    std::vector<nlohmann::json> list;
    for (const auto &engine : engines) {
        const auto answer = client.call({.url = absl::StrCat("http://", engine.address, "/statistics")});
        auto json = parseJson(answer.body);
        list.push_back(answer.isSuccess() && json.ok() ? *std::move(json) : nlohmann::json::object());
    }
    return list;
}

} // namespace Jujube
