#include <LibCore/Problem.h>

namespace Jujube
{

Problem Problem::fromStatus(const absl::Status &status)
{
    const auto kind = errorKindOf(status);
    return {.kind = kind, .detail = std::string(status.message()), .retryAfter = errorKindInfo(kind).retryAfter};
}

nlohmann::json Problem::toJson() const
{
    const auto &info = errorKindInfo(kind);
    nlohmann::json json {
        {"type", "urn:jujubehatch:error:" + std::string(info.name)},
        {"title", info.title},
        {"status", info.httpStatus},
        {"detail", detail},
        {"kind", info.name},
        {"ran", nameOf(info.ran)},
        {"repeat", nameOf(info.repeat)},
    };
    if (retryAfter.count() > 0) {
        json["retry_after_s"] = retryAfter.count();
    }
    return json;
}

} // namespace Jujube
