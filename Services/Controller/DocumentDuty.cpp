#include "DocumentDuty.h"

#include "WantedStateReader.h"

#include <LibCore/Json.h>

namespace Jujube
{

DocumentDuty::DocumentDuty(std::string environment, TableClient table, ObjectClient objects, ControlContext context)
    : m_environment(std::move(environment))
    , m_table(std::move(table))
    , m_objects(std::move(objects))
    , m_context(std::move(context))
{
}

void DocumentDuty::step()
{
    if (!m_context.gate->admit(PlatformUse::DocumentHead, m_context.now())) {
        return;
    }
    const auto head = m_table.get("environment/" + m_environment + "/head");
    m_context.reportToGate(head.end != ReadEnd::Failed);
    const auto json = head.end == ReadEnd::Found ? parseJson(head.row.value) : absl::StatusOr<nlohmann::json>(absl::UnavailableError(""));
    if (!json.ok() || !json->is_object()) {
        return;
    }
    try {
        const auto newVersion = json->at("version").get<int64_t>();
        // The object's name is the digest of its bytes.
        const auto object = json->contains("object") ? json->at("object").get<std::string>() : json->at("digest").get<std::string>();
        if (newVersion > version()) {
            load(newVersion, object);
        }
    } catch (const nlohmann::json::exception &error) {
        m_context.record(EventKind::DocumentRefused, "", std::string("the head is not valid: ") + error.what());
    }
}

void DocumentDuty::load(int64_t version, const std::string &object)
{
    if (!m_context.gate->admit(PlatformUse::DocumentObject, m_context.now())) {
        return;
    }
    const auto read = m_objects.get(object);
    if (read.end != ReadEnd::Found) {
        return;
    }
    auto wanted = readWantedTargets(read.bytes);
    if (!wanted.ok()) {
        if (m_refused != version) {
            m_context.record(EventKind::DocumentRefused, "", "version " + std::to_string(version) + ": " + std::string(wanted.status().message()));
        }
        m_refused = version;
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_wanted = *std::move(wanted);
    }
    m_context.record(EventKind::DocumentInForce, "", "version " + std::to_string(version));
}

std::vector<WantedTarget> DocumentDuty::wanted() const
{
    const std::lock_guard lock(m_mutex);
    return m_wanted;
}

int64_t DocumentDuty::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

} // namespace Jujube
