#include <LibEvents/Event.h>

namespace Jujube
{

nlohmann::json Event::toJson() const
{
    nlohmann::json json {
        {"sequence", sequence},
        {"wall_ms", time.wallMs},
        {"counter", time.counter},
        {"number", static_cast<int>(kind)},
        {"name", nameOf(kind)},
    };
    const auto addIfPresent = [&json](const char *name, const std::string &value) {
        if (!value.empty()) {
            json[name] = value;
        }
    };
    addIfPresent("request", request);
    addIfPresent("target", target);
    addIfPresent("data_centre", dataCentre);
    addIfPresent("detail", detail);
    return json;
}

} // namespace Jujube
