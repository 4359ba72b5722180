#include <LibRelay/RolloutPlanCodec.h>

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/JsonNumber.h>

namespace Jujube
{

namespace
{

using nlohmann::json;

// Larger numbers are not exact in all JSON implementations. Times and versions stay far below.
constexpr int64_t MaxNumber = int64_t {1} << 53;

// Reads fields of a plan. The first error counts.
class PlanReader
{
public:
    explicit PlanReader(const json &object)
        : m_object(object)
    {
    }

    const absl::Status &status() const
    {
        return m_status;
    }

    std::string text(const char *name, bool isOptional = false)
    {
        const auto *field = find(name, isOptional);
        const auto *value = field ? field->get_ptr<const std::string *>() : nullptr;
        if (field && !value) {
            fail(name);
        }
        return value ? *value : std::string();
    }

    int64_t number(const char *name)
    {
        const auto *field = find(name, false);
        const auto value = field ? toWholeNumber(*field) : 0;
        if (!value || *value < 0 || *value > MaxNumber) {
            fail(name);
        }
        return value.value_or(0);
    }

    double share(const char *name)
    {
        const auto *field = find(name, false);
        const auto value = field && field->is_number() ? field->get<double>() : -1;
        const bool isShare = value >= 0 && value <= 1;
        if (!isShare) {
            fail(name);
        }
        return value;
    }

    RolloutStage stage(const char *name)
    {
        const auto value = rolloutStageOf(text(name));
        if (!value) {
            fail(name);
        }
        return value.value_or(RolloutStage::Trial);
    }

    std::vector<std::string> texts(const char *name)
    {
        std::vector<std::string> values;
        const auto *field = find(name, true);
        if (field && !field->is_array()) {
            fail(name);
            return values;
        }
        for (const auto &item : field ? *field : json::array()) {
            const auto *value = item.get_ptr<const std::string *>();
            if (!value) {
                fail(name);
                break;
            }
            values.push_back(*value);
        }
        return values;
    }

private:
    const json *find(const char *name, bool isOptional)
    {
        const auto found = m_object.find(name);
        if (found == m_object.end() && !isOptional) {
            fail(name);
        }
        return found == m_object.end() ? nullptr : &*found;
    }

    void fail(const char *name)
    {
        if (m_status.ok()) {
            m_status = makeError(ErrorKind::InvalidValue, absl::StrCat(name, " is missing or invalid"));
        }
    }

    const json &m_object;
    absl::Status m_status;
};

} // namespace

std::string encodeRolloutPlan(const RolloutPlan &plan)
{
    const json object {{"service", plan.service},
                       {"to", plan.to},
                       {"order", plan.order},
                       {"stage", nameOf(plan.stage)},
                       {"share", plan.share},
                       {"started_ms", plan.startedMs},
                       {"due_ms", plan.dueMs},
                       {"reason", plan.reason},
                       {"by", plan.by},
                       {"rejected", plan.rejected}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<RolloutPlan> decodeRolloutPlan(std::string_view text)
{
    const auto object = parseJson(text);
    if (!object.ok()) {
        return makeError(ErrorKind::MalformedJson, fromAbsl(object.status().message()));
    }
    if (!object->is_object()) {
        return makeError(ErrorKind::InvalidValue, "not an object");
    }
    PlanReader reader(*object);
    RolloutPlan plan {.service = reader.text("service"),
                      .to = reader.text("to"),
                      .order = reader.number("order"),
                      .stage = reader.stage("stage"),
                      .share = reader.share("share"),
                      .startedMs = reader.number("started_ms"),
                      .dueMs = reader.number("due_ms"),
                      .reason = reader.text("reason", true),
                      .by = reader.text("by", true),
                      .rejected = reader.texts("rejected")};
    if (!reader.status().ok()) {
        return reader.status();
    }
    return plan;
}

} // namespace Jujube
