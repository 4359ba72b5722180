#include <LibEnvironment/DocumentDiff.h>

#include <LibCore/AbslView.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Jujube
{

namespace
{

// Field paths with their values as text.
using Fields = std::map<std::string, std::string>;

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string secondsOf(std::chrono::milliseconds value)
{
    return absl::StrCat(std::chrono::duration<double>(value).count());
}

void addDataCentre(Fields &fields, const std::string &path, const DataCentre &dataCentre)
{
    fields[path + ".state"] = nameOf(dataCentre.state);
    fields[path + ".region"] = dataCentre.region;
}

void addWorkspace(Fields &fields, const std::string &path, const Workspace &workspace)
{
    fields[path + ".tier"] = nameOf(workspace.tier);
    fields[path + ".key_sha256"] = workspace.keySha256;
    fields[path + ".limits.requests_per_s"] = absl::StrCat(workspace.limits.requestsPerSecond);
    fields[path + ".limits.tokens_per_s"] = absl::StrCat(workspace.limits.tokensPerSecond);
    fields[path + ".limits.open_streams"] = absl::StrCat(workspace.limits.openStreams);
}

void addModel(Fields &fields, const std::string &path, const Model &model)
{
    fields[path + ".continuation"] = nameOf(model.continuation);
    fields[path + ".version"] = model.version;
    fields[path + ".max_tokens"] = absl::StrCat(model.maxTokens);
}

void addService(Fields &fields, const std::string &path, const Service &service)
{
    for (const auto &[name, call] : service.calls) {
        const auto callPath = absl::StrCat(path, ".calls.", name);
        fields[callPath + ".method"] = nameOf(call.method);
        fields[callPath + ".path"] = call.path;
        fields[callPath + ".repeatable"] = textOf(call.repeatable);
        fields[callPath + ".fresh_s"] = secondsOf(call.fresh);
        fields[callPath + ".timeout_s"] = secondsOf(call.timeout);
    }
}

void addTarget(Fields &fields, const std::string &path, const TargetEntry &target)
{
    fields[path + ".address"] = target.address;
    fields[path + ".data_centre"] = target.dataCentre;
    fields[path + ".cold_limit"] = absl::StrCat(target.coldLimit);
    if (!target.isEngine()) {
        fields[path + ".service"] = target.service;
        return;
    }
    fields[path + ".models"] = absl::StrJoin(target.models, ", ");
    fields[path + ".resume"] = textOf(target.resume);
    fields[path + ".fencing"] = nameOf(target.fencing);
    fields[path + ".memory_tokens"] = absl::StrCat(target.memoryTokens);
}

template<typename Entries, typename Add>
void addSection(Fields &fields, const std::string &section, const Entries &entries, Add add)
{
    for (const auto &[name, entry] : entries) {
        add(fields, absl::StrCat(section, ".", name), entry);
    }
}

Fields fieldsOf(const EnvironmentDocument &document)
{
    Fields fields;
    fields["environment"] = document.name;
    addSection(fields, "data_centres", document.dataCentres, addDataCentre);
    addSection(fields, "workspaces", document.workspaces, addWorkspace);
    addSection(fields, "models", document.models, addModel);
    addSection(fields, "services", document.services, addService);
    fields["priorities.draft"] = absl::StrCat(document.priorities.draft);
    fields["priorities.suggestion"] = absl::StrCat(document.priorities.suggestion);
    fields["limits.open_streams"] = absl::StrCat(document.limits.openStreams);
    fields["limits.queued_requests"] = absl::StrCat(document.limits.queuedRequests);
    fields["limits.queue_wait_s"] = secondsOf(document.limits.queueWait);
    fields["limits.retry_percent"] = absl::StrCat(document.limits.retryPercent);
    addSection(fields, "targets", document.targets, addTarget);
    return fields;
}

} // namespace

std::vector<std::string> diffDocuments(const EnvironmentDocument &before, const EnvironmentDocument &after)
{
    const auto old = fieldsOf(before);
    auto added = fieldsOf(after);
    Fields lines;
    for (const auto &[path, value] : old) {
        const auto found = added.find(path);
        if (found == added.end()) {
            lines[path] = absl::StrCat("- ", path, ": ", value);
            continue;
        }
        if (found->second != value) {
            lines[path] = absl::StrCat("~ ", path, ": ", value, " -> ", found->second);
        }
        added.erase(found);
    }
    for (const auto &[path, value] : added) {
        lines[path] = absl::StrCat("+ ", path, ": ", value);
    }
    std::vector<std::string> result;
    for (auto &[path, line] : lines) {
        result.push_back(std::move(line));
    }
    return result;
}

} // namespace Jujube
