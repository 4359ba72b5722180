#include <LibRelay/RolloutStatusReport.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Jujube
{

namespace
{

nlohmann::json objectOf(const RolloutStatusReport &report)
{
    return {{"service", report.service},
            {"to", report.to},
            {"stage", nameOf(report.stage)},
            {"share", report.share},
            {"order", report.order},
            {"plan", report.plan},
            {"due_in_ms", report.due ? nlohmann::json(report.due->count()) : nlohmann::json()},
            {"hold", report.hold},
            {"requests", report.requests},
            {"new_requests", report.newRequests},
            {"responses", report.responses},
            {"bad", report.bad},
            {"under_way_old", report.underWayOld},
            {"under_way_new", report.underWayNew},
            {"coordinator", report.coordinator},
            {"by", report.by},
            {"reason", report.reason}};
}

absl::StatusOr<RolloutStatusReport> reportOf(const nlohmann::json &object)
{
    const auto stageName = object.at("stage").get<std::string>();
    const auto stage = rolloutStageOf(stageName);
    if (!stage) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("unknown stage \"", stageName, "\""));
    }
    RolloutStatusReport report {.service = object.at("service").get<std::string>(),
                                .to = object.at("to").get<std::string>(),
                                .stage = *stage,
                                .share = object.value("share", 0.0),
                                .order = object.value("order", int64_t {0}),
                                .plan = object.value("plan", int64_t {0}),
                                .due = std::nullopt,
                                .hold = object.value("hold", false),
                                .requests = object.value("requests", int64_t {0}),
                                .newRequests = object.value("new_requests", int64_t {0}),
                                .responses = object.value("responses", int64_t {0}),
                                .bad = object.value("bad", int64_t {0}),
                                .underWayOld = object.value("under_way_old", int64_t {0}),
                                .underWayNew = object.value("under_way_new", int64_t {0}),
                                .coordinator = object.value("coordinator", ""),
                                .by = object.value("by", ""),
                                .reason = object.value("reason", "")};
    if (const auto due = object.find("due_in_ms"); due != object.end() && !due->is_null()) {
        report.due = std::chrono::milliseconds(due->get<int64_t>());
    }
    return report;
}

} // namespace

std::string RolloutStatusReport::toJson(const std::vector<RolloutStatusReport> &reports)
{
    auto list = nlohmann::json::array();
    for (const auto &report : reports) {
        list.push_back(objectOf(report));
    }
    // Names come from other processes and may be no UTF-8.
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::vector<RolloutStatusReport>> RolloutStatusReport::parse(std::string_view text)
{
    const auto list = parseJson(text);
    if (!list.ok()) {
        return list.status();
    }
    if (!list->is_array()) {
        return makeError(ErrorKind::InvalidValue, "not a list of rollouts");
    }
    std::vector<RolloutStatusReport> reports;
    try {
        for (const auto &object : *list) {
            auto report = reportOf(object);
            if (!report.ok()) {
                return report.status();
            }
            reports.push_back(*std::move(report));
        }
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, error.what());
    }
    return reports;
}

} // namespace Jujube
