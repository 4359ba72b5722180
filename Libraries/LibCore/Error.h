#pragma once

#include <absl/status/status.h>
#include <chrono>
#include <optional>
#include <span>
#include <string_view>

namespace Jujube
{

// The closed list of error kinds. Every error that leaves a process has one of them; the table in Error.cpp maps each kind to its answer.
enum class ErrorKind {
    MalformedJson,
    InvalidUtf8,
    UnknownField,
    InvalidValue,
    BodyTooLarge,
    HeaderTooLarge,
    BadRequest,
    Unauthorized,
    NotFound,
    MethodNotAllowed,
    UnknownModel,
    UnknownService,
    InvalidCursor,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    RateLimited,
    Overloaded,
    Draining,
    Isolated,
    PlatformUnavailable,
    TargetUnavailable,
    TargetFailed,
    OutcomeUnknown,
    GenerationLost,
    DeadlineExceeded,
    RequestCrashesTargets,
    VersionConflict,
    InvalidDocument,
    Internal,
};

// Whether the request had an effect on a target by the time it was answered.
enum class RanState {
    No,
    Yes,
    Unknown,
};

// Whether and when the caller may repeat the same request with the same idempotency key.
enum class RepeatAdvice {
    Now,
    Later,
    Never,
};

// The answer for one error kind.
struct ErrorKindInfo {
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    RanState ran;
    RepeatAdvice repeat;
    // Default for the Retry-After header. Zero if the header is left out.
    std::chrono::seconds retryAfter;
    std::string_view title;
};

// All error kinds in the order of the enumeration.
std::span<const ErrorKindInfo> errorKinds();

const ErrorKindInfo &errorKindInfo(ErrorKind kind);

// Looks up a kind by its name, for example "overloaded".
std::optional<ErrorKind> errorKindFromName(std::string_view name);

std::string_view nameOf(RanState ran);

std::string_view nameOf(RepeatAdvice repeat);

// Makes a status that carries the error kind as a payload. The absl code is derived from the HTTP status of the kind.
absl::Status makeError(ErrorKind kind, std::string_view message);

// The error kind of a status. Statuses made without makeError() count as ErrorKind::Internal.
ErrorKind errorKindOf(const absl::Status &status);

} // namespace Jujube
