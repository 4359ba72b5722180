#include <LibOneTime/ClaimRecord.h>

#include <array>
#include <nlohmann/json.hpp>

namespace Jujube
{

namespace
{

constexpr std::array<std::string_view, 4> StateNames {"claimed", "done", "not_run", "unknown"};

}

std::string_view nameOf(ClaimState state)
{
    return StateNames.at(static_cast<size_t>(state));
}

std::string ClaimRecord::toText() const
{
    const nlohmann::json json {
        {"state", nameOf(state)},
        {"nonce", nonce},
        {"body_digest", bodyDigest},
        {"gateway", gateway},
        {"wall_ms", wallMs},
        {"status", status},
        {"content_type", contentType},
        {"body", body},
    };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRecord> ClaimRecord::fromText(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        const auto stateName = json.at("state").get<std::string>();
        for (size_t i = 0; i < StateNames.size(); ++i) {
            if (StateNames.at(i) == stateName) {
                return ClaimRecord {
                    .state = static_cast<ClaimState>(i),
                    .nonce = json.at("nonce").get<std::string>(),
                    .bodyDigest = json.at("body_digest").get<std::string>(),
                    .gateway = json.at("gateway").get<std::string>(),
                    .wallMs = json.at("wall_ms").get<int64_t>(),
                    .status = json.at("status").get<int>(),
                    .contentType = json.at("content_type").get<std::string>(),
                    .body = json.at("body").get<std::string>(),
                };
            }
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace Jujube
