#include <LibControl/ReportDuty.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Jujube
{

namespace
{

constexpr size_t MaxReportBytes = size_t {256} * 1024;

ModelVersion modelFromJson(const nlohmann::json &json)
{
    if (json.is_object()) {
        return {.model = json.at("model").get<std::string>(), .version = json.value("version", "")};
    }
    const auto text = json.get<std::string>();
    const auto separator = text.rfind('@');
    if (separator == std::string::npos) {
        return {.model = text};
    }
    return {.model = text.substr(0, separator), .version = text.substr(separator + 1)};
}

} // namespace

absl::StatusOr<ReportedTarget> reportFromJson(const std::string &target, const nlohmann::json &json, MonotonicTime now)
{
    ReportedTarget report {.target = target, .readAt = now};
    try {
        json.at("incarnation").get_to(report.incarnation);
        json.at("running").get_to(report.running);
        json.at("cold").get_to(report.cold);
        json.at("leaving").get_to(report.leaving);
        // Read in place: a copy of a deeply nested value would exhaust the stack.
        if (const auto models = json.find("models"); models != json.end()) {
            for (const auto &item : *models) {
                report.models.push_back(modelFromJson(item));
            }
        }
        if (json.contains("role")) {
            report.role = json.at("role").get<std::string>();
        }
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("the load report of ", target, " is not valid: ", error.what()));
    }
    return report;
}

ReportDuty::ReportDuty(Options options, ControlContext context)
    : m_options(options)
    , m_context(std::move(context))
{
}

void ReportDuty::step(const std::vector<WantedTarget> &targets)
{
    const auto now = m_context.now();
    for (const auto &target : takeDue(targets, now)) {
        m_context.send({.url = absl::StrCat("http://", target, "/load"), .totalTimeout = m_options.timeout, .answerLimitBytes = MaxReportBytes},
                       [this, target, now](const HttpAnswer &answer) { onAnswer(target, now, answer); });
    }
}

std::vector<std::string> ReportDuty::takeDue(const std::vector<WantedTarget> &targets, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> named;
    std::vector<std::string> due;
    for (const auto &item : targets) {
        named.insert(item.target);
        auto &entry = m_entries[item.target];
        if (entry.isOpen || now < entry.nextRead || m_openCalls >= m_options.maxOpenCalls) {
            continue;
        }
        entry.isOpen = true;
        entry.nextRead = now + (m_urgent.contains(item.target) ? m_options.urgentInterval : m_options.sweepInterval);
        ++m_openCalls;
        due.push_back(item.target);
    }
    std::erase_if(m_entries, [&named](const auto &item) { return !named.contains(item.first) && !item.second.isOpen; });
    return due;
}

void ReportDuty::onAnswer(const std::string &target, MonotonicTime sent, const HttpAnswer &answer)
{
    const auto json = answer.isSuccess() ? parseJson(answer.body) : absl::StatusOr<nlohmann::json>(absl::UnavailableError(""));
    // The report counts from before it was asked for, so that a slow answer never looks newer than it is.
    const auto report = json.ok() ? reportFromJson(target, *json, sent) : absl::StatusOr<ReportedTarget>(json.status());
    const std::lock_guard lock(m_mutex);
    --m_openCalls;
    auto &entry = m_entries[target];
    entry.isOpen = false;
    if (report.ok()) {
        entry.report = *report;
    }
}

void ReportDuty::setUrgent(std::set<std::string> targets)
{
    const auto now = m_context.now();
    const std::lock_guard lock(m_mutex);
    for (const auto &target : targets) {
        if (!m_urgent.contains(target)) {
            m_entries[target].nextRead = now;
        }
    }
    m_urgent = std::move(targets);
}

std::optional<ReportedTarget> ReportDuty::find(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? std::nullopt : found->second.report;
}

std::vector<ReportedTarget> ReportDuty::reports() const
{
    const auto oldest = m_context.now() - m_options.maxAge;
    const std::lock_guard lock(m_mutex);
    std::vector<ReportedTarget> result;
    for (const auto &[target, entry] : m_entries) {
        if (entry.report && entry.report->readAt >= oldest) {
            result.push_back(*entry.report);
        }
    }
    return result;
}

} // namespace Jujube
