#include <LibRelayServer/RelayForwarding.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <LibCore/AbslView.h>
#include <LibCore/HttpStatus.h>

namespace Jujube
{

namespace
{

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr int StatusMisdirected = 421;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int MaxPriority = 9;

int64_t parsePositiveNumber(std::string_view text)
{
    int64_t number = 0;
    return absl::SimpleAtoi(toAbsl(text), &number) && number > 0 ? number : 0;
}

// Parses Retry-After. Fractions of a second are accepted, although RFC 9110 allows only whole ones. Dates and other values count as absent.
std::optional<std::chrono::milliseconds> parseRetryAfter(const MessageHead &head)
{
    constexpr double MillisecondsPerSecond = 1000;
    constexpr double MaxSeconds = 86400;
    double seconds = 0;
    if (head.count("retry-after") != 1 || !absl::SimpleAtod(toAbsl(head.value("retry-after")), &seconds) || !(seconds > 0)) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(static_cast<int64_t>(std::ceil(MillisecondsPerSecond * std::min(seconds, MaxSeconds))));
}

// Parses the request limit. The lowest of several values applies; values that are not finite or are negative are ignored.
std::optional<double> parseRequestLimit(const MessageHead &head, std::string_view name)
{
    std::optional<double> lowest;
    for (const auto &field : head.fields) {
        double value = 0;
        if (absl::EqualsIgnoreCase(field.name, toAbsl(name)) && absl::SimpleAtod(field.value, &value) && std::isfinite(value) && value >= 0) {
            lowest = std::min(lowest.value_or(value), value);
        }
    }
    return lowest;
}

bool isReserved(const HeaderFieldNames &names, std::string_view name)
{
    return std::any_of(
        names.reserved.begin(), names.reserved.end(), [&](const std::string &reserved) { return absl::EqualsIgnoreCase(reserved, toAbsl(name)); });
}

} // namespace

RequestAttributes parseRequestClaims(const MessageHead &head, const HeaderFieldNames &names)
{
    const std::string_view target = head.target;
    const auto host = head.value("host");
    const auto authorization = head.value("authorization");
    const auto usage = head.value(names.usage);
    const auto comma = usage.find(',');
    RequestAttributes claims {.id = head.value(names.requestId),
                              .host = host.substr(0, host.find(':')),
                              .path = target.substr(0, target.find('?')),
                              .promptTokens = parsePositiveNumber(usage.substr(0, comma)),
                              .maxTokens = comma == std::string_view::npos ? 0 : parsePositiveNumber(usage.substr(comma + 1)),
                              .lengthHint = parsePositiveNumber(head.value(names.lengthHint))};
    if (authorization.starts_with(BearerPrefix)) {
        claims.key = authorization.substr(BearerPrefix.size());
    }
    if (const auto given = parsePositiveNumber(head.value(names.deadline)); given > 0) {
        claims.timeLeft = std::chrono::milliseconds(given);
    }
    return claims;
}

std::string forwardedRequest(const CallerRequest &request, const RequestAdmission &admitted, const RelayAttempt &attempt, const HeaderFieldNames &names)
{
    MessageHead head {.method = request.head.method, .target = request.head.target};
    for (const auto &field : request.head.fields) {
        if (!isChannelField(request.head, field.name) && !isReserved(names, field.name)) {
            head.fields.push_back(field);
        }
    }
    head.remove("content-length");
    head.remove("expect");
    const bool hadBody = request.head.has("content-length") || request.head.has("transfer-encoding");
    if (hadBody || !request.body.empty()) {
        head.set("Content-Length", absl::StrCat(request.body.size()));
    }
    head.set(names.deadline, absl::StrCat(std::max<int64_t>(1, attempt.timeLeft.count())));
    head.set(names.expectedTarget, attempt.target.id);
    if (admitted.workspace) {
        head.set(names.workspace, admitted.workspace->name);
    }
    if (admitted.service->engine) {
        head.set(names.priority, absl::StrCat(std::clamp(admitted.demand.priority, 0, MaxPriority)));
    }
    if (attempt.backup) {
        head.set(names.backup, attempt.backup->address);
    }
    if (!attempt.kvCacheSource.empty()) {
        head.set(names.kvCacheSource, attempt.kvCacheSource);
    }
    if (attempt.lastEventId) {
        head.set(names.lastEventId, absl::StrCat(*attempt.lastEventId));
    }
    return requestText(head) + request.body;
}

TargetResponse parseTargetResponse(const MessageHead &head, std::optional<uint64_t> length, const HeaderFieldNames &names)
{
    return {.status = head.status,
            .notRun = head.has(names.notRun),
            .misdirected = head.status == StatusMisdirected,
            .sealed = head.has(names.originMarker),
            .isStream = head.status / 100 == 2 && absl::StartsWithIgnoreCase(toAbsl(head.value("content-type")), toAbsl(EventStreamType)),
            .leaving = head.value(names.leaving) == names.leavingValue,
            .cooldown = head.status == StatusUnavailable || head.status == StatusTooManyRequests ? parseRetryAfter(head) : std::nullopt,
            .hasRequestLimit = head.has(names.requestLimit),
            .requestLimit = parseRequestLimit(head, names.requestLimit),
            .length = length,
            .endsWithConnection = !length && !head.has("transfer-encoding")};
}

MessageHead forwardedResponse(const MessageHead &head)
{
    MessageHead result {.status = head.status, .reason = head.reason};
    for (const auto &field : head.fields) {
        if (!isChannelField(head, field.name)) {
            result.fields.push_back(field);
        }
    }
    return result;
}

MessageHead ownResponse(const RelayOutcomeInfo &outcome, const std::string &requestId, std::chrono::milliseconds retryAfter, const HeaderFieldNames &names)
{
    MessageHead head {.status = outcome.status};
    if (!requestId.empty()) {
        head.set(names.requestId, requestId);
    }
    if (outcome.hasRetryAfter) {
        head.set("Retry-After", absl::StrFormat("%.2f", std::chrono::duration<double>(retryAfter).count()));
    }
    return head;
}

bool hasBody(std::string_view requestMethod, int status)
{
    return requestMethod != "HEAD" && status != StatusNoContent && status != StatusNotModified;
}

} // namespace Jujube
