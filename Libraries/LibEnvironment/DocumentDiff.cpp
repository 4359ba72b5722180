#include <LibEnvironment/DocumentDiff.h>

#include <LibCore/AbslView.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Jujube
{

namespace
{

// The fields of one entry with their values as text.
using Fields = std::map<std::string, std::string>;

// Entries, for example "targets.engine-1", with their fields.
using Entries = std::map<std::string, Fields>;

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string secondsOf(std::chrono::milliseconds value)
{
    return absl::StrCat(std::chrono::duration<double>(value).count());
}

Fields fieldsOf(const DataCentre &dataCentre)
{
    return {{"state", std::string(nameOf(dataCentre.state))}, {"region", dataCentre.region}};
}

Fields fieldsOf(const Workspace &workspace)
{
    return {
        {"tier", std::string(nameOf(workspace.tier))},
        {"key_sha256", workspace.keySha256},
        {"limits.requests_per_s", absl::StrCat(workspace.limits.requestsPerSecond)},
        {"limits.tokens_per_s", absl::StrCat(workspace.limits.tokensPerSecond)},
        {"limits.open_streams", absl::StrCat(workspace.limits.openStreams)},
    };
}

Fields fieldsOf(const Model &model)
{
    return {
        {"continuation", std::string(nameOf(model.continuation))},
        {"version", model.version},
        {"max_tokens", absl::StrCat(model.maxTokens)},
    };
}

Fields fieldsOf(const ServiceCall &call)
{
    return {
        {"method", std::string(nameOf(call.method))},
        {"path", call.path},
        {"repeatable", textOf(call.repeatable)},
        {"fresh_s", secondsOf(call.maxCacheAge)},
        {"timeout_s", secondsOf(call.timeout)},
    };
}

Fields fieldsOf(const TargetEntry &target)
{
    Fields fields {
        {"address", target.address},
        {"data_centre", target.dataCentre},
        {"cold_limit", absl::StrCat(target.coldLimit)},
    };
    if (!target.isEngine()) {
        fields["service"] = target.service;
        return fields;
    }
    fields["models"] = absl::StrJoin(target.models, " ");
    fields["resume"] = textOf(target.resume);
    fields["fencing"] = nameOf(target.fencing);
    fields["memory_tokens"] = absl::StrCat(target.memoryTokens);
    return fields;
}

Fields fieldsOf(const Priorities &priorities)
{
    return {{"draft", absl::StrCat(priorities.draft)}, {"suggestion", absl::StrCat(priorities.suggestion)}};
}

Fields fieldsOf(const GatewayLimits &limits)
{
    return {
        {"open_streams", absl::StrCat(limits.openStreams)},
        {"queued_requests", absl::StrCat(limits.queuedRequests)},
        {"queue_wait_s", secondsOf(limits.queueWait)},
        {"retry_percent", absl::StrCat(limits.retryPercent)},
    };
}

template<typename Section>
void addSection(Entries &entries, const std::string &path, const Section &section)
{
    for (const auto &[name, entry] : section) {
        entries[absl::StrCat(path, ".", name)] = fieldsOf(entry);
    }
}

Entries entriesOf(const EnvironmentDocument &document)
{
    Entries entries;
    // The empty document before the first version has no name.
    if (!document.name.empty()) {
        entries["environment"] = {{"name", document.name}};
    }
    addSection(entries, "data_centres", document.dataCentres);
    addSection(entries, "workspaces", document.workspaces);
    addSection(entries, "models", document.models);
    for (const auto &[name, service] : document.services) {
        entries[absl::StrCat("services.", name)] = {};
        addSection(entries, absl::StrCat("services.", name, ".calls"), service.calls);
    }
    entries["priorities"] = fieldsOf(document.priorities);
    entries["limits"] = fieldsOf(document.limits);
    addSection(entries, "targets", document.targets);
    return entries;
}

std::string lineOf(std::string_view sign, const std::string &path, const Fields &fields)
{
    const auto text = absl::StrJoin(fields, ", ", absl::PairFormatter(" "));
    return absl::StrCat(toAbsl(sign), " ", path, text.empty() ? "" : ": ", text);
}

// Compares the fields of an entry that both documents have. Either side may lack fields, because a target can change from an engine to a plain service.
void addChanges(std::vector<std::string> &lines, const std::string &path, const Fields &before, const Fields &after)
{
    auto fields = before;
    fields.insert(after.begin(), after.end());
    const auto valueIn = [](const Fields &side, const std::string &field) {
        const auto found = side.find(field);
        return found == side.end() ? "(none)" : found->second;
    };
    for (const auto &[field, ignored] : fields) {
        const auto oldValue = valueIn(before, field);
        const auto newValue = valueIn(after, field);
        if (oldValue != newValue) {
            lines.push_back(absl::StrCat("~ ", path, ".", field, ": ", oldValue, " -> ", newValue));
        }
    }
}

} // namespace

std::vector<std::string> diffDocuments(const EnvironmentDocument &before, const EnvironmentDocument &after)
{
    const auto oldEntries = entriesOf(before);
    const auto newEntries = entriesOf(after);
    auto all = oldEntries;
    all.insert(newEntries.begin(), newEntries.end());
    std::vector<std::string> lines;
    for (const auto &[path, fields] : all) {
        const auto oldEntry = oldEntries.find(path);
        const auto newEntry = newEntries.find(path);
        if (oldEntry == oldEntries.end()) {
            lines.push_back(lineOf("+", path, fields));
        } else if (newEntry == newEntries.end()) {
            lines.push_back(lineOf("-", path, fields));
        } else {
            addChanges(lines, path, oldEntry->second, newEntry->second);
        }
    }
    return lines;
}

} // namespace Jujube
