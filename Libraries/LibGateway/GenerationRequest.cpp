#include <LibGateway/GenerationRequest.h>

#include <LibCore/Digest.h>
#include <LibCore/Identifier.h>
#include <LibCore/Json.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Jujube
{

namespace
{

// English text has about 4 bytes per token. Scripts with 3 bytes per character have fewer characters per token, so the ratio is similar.
constexpr int64_t BytesPerToken = 4;
constexpr size_t IdDigits = 32;
constexpr size_t SeedDigits = 16;

absl::Status invalidValue(const std::string &detail)
{
    return makeError(ErrorKind::InvalidValue, detail);
}

absl::StatusOr<std::string> stringField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        return invalidValue(absl::StrCat("\"", name, "\" must be a non-empty string"));
    }
    return found->get<std::string>();
}

absl::Status checkFields(const nlohmann::json &json)
{
    for (const auto &[name, value] : json.items()) {
        if (name != "model" && name != "prompt" && name != "kind" && name != "max_tokens") {
            return makeError(ErrorKind::UnknownField, absl::StrCat("unknown field \"", name, "\"; the known fields are model, prompt, kind, max_tokens"));
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<GenerationBody> parseGenerationBody(std::string_view text, const EnvironmentDocument &document)
{
    const auto json = parseJson(text);
    if (!json.ok()) {
        return json.status();
    }
    if (!json->is_object()) {
        return invalidValue("the body must be a JSON object");
    }
    if (const auto status = checkFields(*json); !status.ok()) {
        return status;
    }
    const auto model = stringField(*json, "model");
    if (!model.ok()) {
        return model.status();
    }
    const auto prompt = stringField(*json, "prompt");
    if (!prompt.ok()) {
        return prompt.status();
    }
    GenerationBody body {.model = *model, .prompt = *prompt};
    if (json->contains("kind")) {
        const auto kind = stringField(*json, "kind");
        if (!kind.ok() || (*kind != "draft" && *kind != "suggestion")) {
            return invalidValue("\"kind\" must be \"draft\" or \"suggestion\"");
        }
        body.kind = *kind == "draft" ? GenerationKind::Draft : GenerationKind::Suggestion;
    }
    const auto known = document.models.find(body.model);
    if (known == document.models.end()) {
        return makeError(ErrorKind::UnknownModel, absl::StrCat("model \"", body.model, "\" is not in the environment"));
    }
    body.maxTokens = known->second.maxTokens;
    if (json->contains("max_tokens")) {
        const auto &maxTokens = (*json)["max_tokens"];
        if (!maxTokens.is_number_integer() || maxTokens < 1 || maxTokens > known->second.maxTokens) {
            return invalidValue(absl::StrCat("\"max_tokens\" must be a whole number from 1 to ", known->second.maxTokens));
        }
        body.maxTokens = maxTokens.get<int64_t>();
    }
    return body;
}

std::string generationIdFor(const std::string &workspace, std::string_view idempotencyKey, std::string_view body)
{
    if (idempotencyKey.empty()) {
        return randomIdentifier();
    }
    return sha256Hex(absl::StrCat("generation\n", workspace, "\n", sha256Hex(idempotencyKey), "\n", sha256Hex(body))).substr(0, IdDigits);
}

uint64_t seedOf(const std::string &generation)
{
    uint64_t seed = 0;
    // Generation ids consist of hexadecimal digits.
    [[maybe_unused]] const bool parsed = absl::SimpleHexAtoi(generation.substr(0, SeedDigits), &seed);
    return seed;
}

int64_t estimatePromptTokens(std::string_view prompt)
{
    return static_cast<int64_t>(prompt.size()) / BytesPerToken + 1;
}

} // namespace Jujube
