#include <LibPlatform/VmListClient.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibPlatform/PlatformMessage.h>

namespace Jujube
{

namespace
{

constexpr size_t MaxListBytes = 4 << 20;

bool hasText(const nlohmann::json &json, const char *name)
{
    return json.contains(name) && json[name].is_string();
}

absl::StatusOr<Vm> vmFromJson(const nlohmann::json &json)
{
    const bool hasStringFields = json.is_object() && hasText(json, "name") && hasText(json, "address") && hasText(json, "data_centre") && hasText(json, "role")
        && hasText(json, "state");
    if (!hasStringFields || !json.contains("incarnation") || !json["incarnation"].is_number_unsigned()) {
        return makeError(ErrorKind::InvalidValue, "an entry of the VM list lacks a field or has a field of the wrong type");
    }
    const auto state = json["state"].get<std::string>();
    if (state != "live" && state != "leaving") {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("\"", state, "\" is not a state of a VM"));
    }
    return Vm {.name = json["name"].get<std::string>(),
               .address = json["address"].get<std::string>(),
               .dataCentre = json["data_centre"].get<std::string>(),
               .role = json["role"].get<std::string>(),
               .state = state == "live" ? VmState::Live : VmState::Leaving,
               .incarnation = json["incarnation"].get<uint64_t>()};
}

} // namespace

absl::StatusOr<std::vector<Vm>> vmsFromJson(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
        return makeError(ErrorKind::InvalidValue, "the VM list has no array \"vms\"");
    }
    std::vector<Vm> vms;
    for (const auto &item : json["vms"]) {
        auto vm = vmFromJson(item);
        if (!vm.ok()) {
            return vm.status();
        }
        vms.push_back(*std::move(vm));
    }
    return vms;
}

VmListClient::VmListClient(Options options)
    : m_options(std::move(options))
{
}

VmListResult VmListClient::read() const
{
    const auto response = m_options.transport({.url = absl::StrCat("http://", m_options.address, "/vms"),
                                               .connectTimeout = m_options.connectTimeout,
                                               .totalTimeout = m_options.timeout,
                                               .answerLimitBytes = MaxListBytes});
    if (!response.isSuccess()) {
        return {.error = describeFailure(response)};
    }
    const auto json = parseJson(response.body);
    auto vms = json.ok() ? vmsFromJson(*json) : absl::StatusOr<std::vector<Vm>>(json.status());
    if (!vms.ok()) {
        return {.error = std::string(vms.status().message())};
    }
    return {.end = ReadEnd::Found, .vms = *std::move(vms)};
}

} // namespace Jujube
