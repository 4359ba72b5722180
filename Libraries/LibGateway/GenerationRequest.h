#pragma once

#include <absl/status/statusor.h>
#include <LibCore/Workload.h>
#include <LibGateway/RequestContext.h>
#include <string>
#include <string_view>

namespace Jujube
{

// The validated body of POST /v1/generations.
struct GenerationBody {
    std::string model;
    std::string prompt;
    GenerationKind kind = GenerationKind::Draft;
    int64_t maxTokens = 0;
};

// Errors: ErrorKind::MalformedJson, InvalidUtf8, UnknownField, InvalidValue, UnknownModel.
absl::StatusOr<GenerationBody> parseGenerationBody(std::string_view text, const EnvironmentDocument &document);

// Returns a generation id. With an idempotency key it is derived from the workspace, the key and the body, so that a repeated request joins the same
// generation. Without a key it is random.
std::string generationIdFor(const std::string &workspace, std::string_view idempotencyKey, std::string_view body);

// The seed of a generation: the first 64 bits of its id, so that every gateway derives the same seed.
uint64_t seedOf(const std::string &generation);

// Estimates the number of tokens of a prompt, for placement before an engine has counted them.
int64_t estimatePromptTokens(std::string_view prompt);

} // namespace Jujube
