// The orders and faults of EngineHost.
#include <StandIns/Engine/EngineHost.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <unistd.h>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

constexpr int CrashExitCode = 70;

} // namespace

absl::Status EngineHost::order(const nlohmann::json &order)
{
    const auto kind = order.value("order", "");
    const auto model = order.value("model", "");
    const auto version = order.value("version", "");
    const auto fencing = order.value("fencing", int64_t {0});
    if (kind != "load" && kind != "unload" && kind != "role") {
        return makeError(ErrorKind::InvalidValue, "\"order\" must be load, unload or role");
    }
    const std::lock_guard lock(m_mutex);
    if (fencing < m_highestFencing) {
        if (m_options.honourFencing) {
            ++m_ordersRejected;
            return makeError(ErrorKind::VersionConflict, absl::StrCat("the fencing number ", fencing, " is lower than ", m_highestFencing));
        }
        ++m_ordersOutOfDate;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    ++m_ordersAccepted;
    const auto present = m_versions.find(model);
    const bool unchanged = m_models.contains(model) && (present == m_versions.end() ? version.empty() : present->second == version);
    if (kind == "load" && !unchanged) {
        m_models.insert(model);
        m_versions[model] = version;
        m_model.turnCold(monotonicNow(), m_options.cold);
    } else if (kind == "unload") {
        m_models.erase(model);
        m_versions.erase(model);
    } else if (kind == "role") {
        m_role = order.value("role", model);
    }
    return absl::OkStatus();
}

absl::Status EngineHost::injectFaults(const nlohmann::json &faults)
{
    if (!faults.is_object()) {
        return makeError(ErrorKind::InvalidValue, "faults must be an object");
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, value] : faults.items()) {
        auto status = applyFault(name, value, monotonicNow());
        if (!status.ok()) {
            return status;
        }
    }
    m_wake.notify_all();
    m_output.notify_all();
    return absl::OkStatus();
}

absl::Status EngineHost::applyFault(const std::string &name, const nlohmann::json &value, MonotonicTime now)
{
    if (name == "crash" && value == true) {
        _exit(CrashExitCode);
    } else if (name == "crash_on_prompt" && value.is_string()) {
        m_crashPrompt = value;
    } else if (name == "silence" && value == true) {
        ++m_silenceEpoch;
    } else if (name == "leave" && value == true) {
        m_model.startLeaving(now);
    } else if (name == "notice_ms" && value.is_number_integer()) {
        m_exitDue = now + milliseconds(value.get<int64_t>());
    } else if (name == "cold_ms" && value.is_number_integer()) {
        m_model.turnCold(now, milliseconds(value.get<int64_t>()));
    } else if (name == "freeze_reports" && value.is_boolean()) {
        m_reportsFrozen = value;
    } else if (name == "drop_cache_events" && value.is_boolean()) {
        m_cacheEventsDropped = value;
    } else if (name == "split_lines" && value.is_boolean()) {
        m_linesSplit = value;
    } else {
        return makeError(ErrorKind::UnknownField, absl::StrCat("unknown fault or wrong type of value: \"", name, "\""));
    }
    return absl::OkStatus();
}

} // namespace Jujube
