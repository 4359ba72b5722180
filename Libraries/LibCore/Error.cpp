#include <LibCore/Error.h>

#include <LibCore/AbslView.h>

#include <absl/strings/cord.h>
#include <array>

namespace Jujube
{

using std::chrono::seconds;

namespace
{

constexpr std::string_view KindPayloadUrl = "jujubehatch/error-kind";

constexpr seconds NoRetry {0};
constexpr seconds ShortRetry {1};
constexpr seconds LongRetry {5};
constexpr seconds CrashRetry {600};

constexpr std::array Kinds {
    ErrorKindInfo {ErrorKind::MalformedJson, "malformed_json", 400, RanState::No, RepeatAdvice::Never, NoRetry, "The body is not valid JSON"},
    ErrorKindInfo {ErrorKind::InvalidUtf8, "invalid_utf8", 400, RanState::No, RepeatAdvice::Never, NoRetry, "The body is not valid UTF-8"},
    ErrorKindInfo {ErrorKind::UnknownField, "unknown_field", 400, RanState::No, RepeatAdvice::Never, NoRetry, "The body has an unknown field"},
    ErrorKindInfo {ErrorKind::InvalidValue, "invalid_value", 400, RanState::No, RepeatAdvice::Never, NoRetry, "A field has an invalid value"},
    ErrorKindInfo {ErrorKind::BodyTooLarge, "body_too_large", 413, RanState::No, RepeatAdvice::Never, NoRetry, "The body is too large"},
    ErrorKindInfo {ErrorKind::HeaderTooLarge, "header_too_large", 431, RanState::No, RepeatAdvice::Never, NoRetry, "The request header is too large"},
    ErrorKindInfo {ErrorKind::BadRequest, "bad_request", 400, RanState::No, RepeatAdvice::Never, NoRetry, "The request is not valid HTTP"},
    ErrorKindInfo {ErrorKind::Unauthorized, "unauthorized", 401, RanState::No, RepeatAdvice::Never, NoRetry, "The workspace key is missing or unknown"},
    ErrorKindInfo {ErrorKind::NotFound, "not_found", 404, RanState::No, RepeatAdvice::Never, NoRetry, "No such resource"},
    ErrorKindInfo {ErrorKind::MethodNotAllowed, "method_not_allowed", 405, RanState::No, RepeatAdvice::Never, NoRetry, "The method is not allowed here"},
    ErrorKindInfo {ErrorKind::UnknownModel, "unknown_model", 404, RanState::No, RepeatAdvice::Never, NoRetry, "No such model"},
    ErrorKindInfo {ErrorKind::UnknownService, "unknown_service", 404, RanState::No, RepeatAdvice::Never, NoRetry, "No such service or call"},
    ErrorKindInfo {ErrorKind::InvalidCursor, "invalid_cursor", 403, RanState::No, RepeatAdvice::Never, NoRetry, "The event id is not valid for this request"},
    ErrorKindInfo {ErrorKind::IdempotencyKeyMissing,
                   "idempotency_key_missing",
                   400,
                   RanState::No,
                   RepeatAdvice::Never,
                   NoRetry,
                   "This call needs an Idempotency-Key header"},
    ErrorKindInfo {ErrorKind::IdempotencyKeyReused,
                   "idempotency_key_reused",
                   422,
                   RanState::No,
                   RepeatAdvice::Never,
                   NoRetry,
                   "The idempotency key belongs to a request with another body"},
    ErrorKindInfo {ErrorKind::RateLimited, "rate_limited", 429, RanState::No, RepeatAdvice::Later, ShortRetry, "The workspace is over its limit"},
    ErrorKindInfo {ErrorKind::Overloaded, "overloaded", 503, RanState::No, RepeatAdvice::Later, ShortRetry, "No target has room for this request"},
    ErrorKindInfo {ErrorKind::Draining, "draining", 503, RanState::No, RepeatAdvice::Now, ShortRetry, "This gateway is shutting down; use another one"},
    ErrorKindInfo {ErrorKind::Isolated, "isolated", 503, RanState::No, RepeatAdvice::Now, ShortRetry, "This gateway is cut off; use another one"},
    ErrorKindInfo {ErrorKind::PlatformUnavailable,
                   "platform_unavailable",
                   503,
                   RanState::No,
                   RepeatAdvice::Later,
                   LongRetry,
                   "The call cannot be recorded, so it was not run"},
    ErrorKindInfo {ErrorKind::TargetUnavailable, "target_unavailable", 503, RanState::No, RepeatAdvice::Later, ShortRetry, "No target could be reached"},
    ErrorKindInfo {ErrorKind::TargetFailed, "target_failed", 502, RanState::Yes, RepeatAdvice::Never, NoRetry, "The target answered with an error"},
    ErrorKindInfo {
        ErrorKind::OutcomeUnknown, "outcome_unknown", 504, RanState::Unknown, RepeatAdvice::Later, LongRetry, "It is not known whether the call ran"},
    ErrorKindInfo {ErrorKind::GenerationLost, "generation_lost", 410, RanState::Yes, RepeatAdvice::Never, NoRetry, "The generation cannot be continued"},
    ErrorKindInfo {ErrorKind::DeadlineExceeded,
                   "deadline_exceeded",
                   504,
                   RanState::Unknown,
                   RepeatAdvice::Later,
                   ShortRetry,
                   "The deadline passed before the answer was complete"},
    ErrorKindInfo {ErrorKind::RequestCrashesTargets,
                   "request_crashes_targets",
                   422,
                   RanState::No,
                   RepeatAdvice::Later,
                   CrashRetry,
                   "Targets crashed while they ran this request"},
    ErrorKindInfo {ErrorKind::VersionConflict,
                   "version_conflict",
                   409,
                   RanState::No,
                   RepeatAdvice::Never,
                   NoRetry,
                   "The environment document was changed by somebody else"},
    ErrorKindInfo {ErrorKind::InvalidDocument, "invalid_document", 422, RanState::No, RepeatAdvice::Never, NoRetry, "The environment document is not valid"},
    ErrorKindInfo {ErrorKind::Internal, "internal", 500, RanState::Unknown, RepeatAdvice::Later, ShortRetry, "Internal error"},
};

absl::StatusCode codeFromHttpStatus(int status)
{
    switch (status) {
    case 401:
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 410:
        return absl::StatusCode::kDataLoss;
    case 500:
        return absl::StatusCode::kInternal;
    case 502:
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInvalidArgument;
    }
}

} // namespace

std::span<const ErrorKindInfo> errorKinds()
{
    return Kinds;
}

const ErrorKindInfo &errorKindInfo(ErrorKind kind)
{
    return Kinds.at(static_cast<size_t>(kind));
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const auto &info : Kinds) {
        if (info.name == name) {
            return info.kind;
        }
    }
    return std::nullopt;
}

std::string_view nameOf(RanState ran)
{
    constexpr std::array<std::string_view, 3> Names {"no", "yes", "unknown"};
    return Names.at(static_cast<size_t>(ran));
}

std::string_view nameOf(RepeatAdvice repeat)
{
    constexpr std::array<std::string_view, 3> Names {"now", "later", "never"};
    return Names.at(static_cast<size_t>(repeat));
}

absl::Status makeError(ErrorKind kind, std::string_view message)
{
    const auto &info = errorKindInfo(kind);
    absl::Status status(codeFromHttpStatus(info.httpStatus), toAbsl(message));
    status.SetPayload(toAbsl(KindPayloadUrl), absl::Cord(toAbsl(info.name)));
    return status;
}

ErrorKind errorKindOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(toAbsl(KindPayloadUrl));
    if (!payload) {
        return ErrorKind::Internal;
    }
    return errorKindFromName(std::string(*payload)).value_or(ErrorKind::Internal);
}

} // namespace Jujube
