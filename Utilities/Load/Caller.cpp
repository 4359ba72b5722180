#include <Load/Caller.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/Json.h>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds SilenceLimit {15000};
constexpr milliseconds FirstBackoff {50};
constexpr milliseconds LongestBackoff {2000};
constexpr int Ok = 200;
// The defaults of environment documents, so that direct reading is comparable.
constexpr int DirectDraftPriority = 8;
constexpr int DirectOtherPriority = 2;
constexpr size_t LargestProblem = 64 * 1024;

// Doubles with each failure. The caller's number spreads callers that failed together.
milliseconds backoff(size_t failures, uint64_t number)
{
    constexpr size_t MostDoublings = 6;
    constexpr int64_t SpreadSteps = 16;
    const auto base = std::min(LongestBackoff, FirstBackoff * (int64_t {1} << std::min(failures, MostDoublings)));
    return base + base * static_cast<int64_t>(number % SpreadSteps) / SpreadSteps;
}

} // namespace

Caller::Caller(const Environment &environment, const Scenario &scenario, const Arrival &arrival)
    : m_environment(environment)
    , m_workspace(scenario.workspaces[arrival.workspace])
    , m_class(scenario.classes[arrival.classIndex])
    , m_arrival(arrival)
    , m_expectedTokens(std::min(arrival.length, m_class.maxTokens))
{
    m_result.workspace = arrival.workspace;
    m_result.classIndex = arrival.classIndex;
}

void Caller::begin(MonotonicTime now, const MeasuringWindow &window)
{
    m_result.record = StreamRecord(now, window);
    m_lastProgress = now;
    send();
}

void Caller::send()
{
    ++m_result.connections;
    m_events = SseReader();
    m_lines = LineSplitter();
    m_problem.clear();
    m_environment.client.open(m_environment.direct ? makeDirectCall() : makeCall(),
                              {.onBytes =
                                   [this](int status, std::string_view bytes) {
                                       receive(status, bytes);
                                       return true;
                                   },
                               .onEnd = [this](const HttpAnswer &answer) { endOfConnection(answer); }});
}

HttpCall Caller::makeCall() const
{
    const nlohmann::json body {{"model", m_class.model}, {"prompt", m_arrival.prompt}, {"kind", m_class.kind}, {"max_tokens", m_class.maxTokens}};
    HttpCall call {
        .method = "POST",
        .url = absl::StrCat("http://", m_environment.chooseAddress(m_arrival.number, m_failures), "/v1/generations"),
        .headers = {{"Authorization", "Bearer " + m_workspace.key},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", absl::StrCat(m_environment.runName, "-", m_arrival.number)}},
        .body = body.dump(),
        .totalTimeout = milliseconds(0),
        .silenceTimeout = SilenceLimit,
    };
    if (!m_lastEventId.empty()) {
        call.headers["Last-Event-ID"] = m_lastEventId;
    }
    return call;
}

HttpCall Caller::makeDirectCall() const
{
    const auto address = m_environment.chooseAddress(m_arrival.number, 0);
    const auto id = absl::StrCat(m_environment.runName, "-", m_arrival.number);
    if (m_result.record.tokens() > 0) {
        return {.url = absl::StrCat("http://", address, "/generations/", id, "?from=", m_result.record.tokens()),
                .totalTimeout = milliseconds(0),
                .silenceTimeout = SilenceLimit};
    }
    const nlohmann::json body {
        {"generation", id},
        {"attempt", 1},
        {"model", m_class.model},
        {"prompt", m_arrival.prompt},
        {"seed", m_arrival.number},
        {"max_tokens", m_class.maxTokens},
        {"priority", m_class.kind == "draft" ? DirectDraftPriority : DirectOtherPriority},
        {"workspace", m_workspace.name},
    };
    return {.method = "POST",
            .url = absl::StrCat("http://", address, "/generate"),
            .body = body.dump(),
            .totalTimeout = milliseconds(0),
            .silenceTimeout = SilenceLimit};
}

void Caller::receive(int status, std::string_view bytes)
{
    if (status != Ok) {
        m_problem.append(bytes.substr(0, LargestProblem - std::min(LargestProblem, m_problem.size())));
    } else if (m_environment.direct) {
        m_lines.feed(bytes, [this](std::string_view line) { receiveEngineLine(line); });
    } else {
        m_events.feed(bytes, [this](const SseEvent &event) { receiveEvent(event); });
    }
}

void Caller::receiveEvent(const SseEvent &event)
{
    if (event.event == "error") {
        m_problem = event.data;
        return;
    }
    const auto data = nlohmann::json::parse(event.data, nullptr, false);
    if (!data.is_object()) {
        return;
    }
    const auto now = monotonicNow();
    if (event.event == "token") {
        m_result.record.addToken(data.value("index", int64_t {-1}), data.value("text", ""), now);
        m_lastEventId = event.id;
        m_lastProgress = now;
    } else if (event.event == "done") {
        m_result.record.finish(data.value("count", int64_t {-1}), data.value("checksum", "missing"), m_expectedTokens);
        m_done = true;
    }
}

void Caller::receiveEngineLine(std::string_view line)
{
    const auto data = nlohmann::json::parse(line, nullptr, false);
    if (!data.is_object()) {
        return;
    }
    const auto now = monotonicNow();
    if (data.contains("t")) {
        m_result.record.addToken(data.value("o", int64_t {-1}), data.value("t", ""), now);
        m_lastProgress = now;
    } else if (data.contains("done")) {
        m_result.record.finish(data.value("count", int64_t {-1}), "", m_expectedTokens);
        m_done = true;
    }
}

void Caller::endOfConnection(const HttpAnswer &answer)
{
    if (m_done) {
        finish(CallerEnd::Complete);
        return;
    }
    if (answer.end == HttpEnd::Cancelled) {
        return;
    }
    if (!m_problem.empty()) {
        handleProblem();
        return;
    }
    if (m_result.record.tokens() > 0) {
        ++m_result.resumes;
    }
    ++m_failures;
    sendLater(backoff(m_failures, m_arrival.number));
}

void Caller::handleProblem()
{
    const auto problem = nlohmann::json::parse(m_problem, nullptr, false);
    const auto text = [&problem](const char *field) { return problem.is_object() ? problem.value(field, "") : std::string(); };
    ++m_result.refusals[text("kind").empty() ? "unknown" : text("kind")];
    if (text("repeat") == "never") {
        finish(m_result.record.tokens() > 0 ? CallerEnd::Failed : CallerEnd::Refused);
        return;
    }
    if (text("repeat") == "now") {
        ++m_failures;
    }
    if (m_result.record.tokens() > 0) {
        ++m_result.resumes;
    }
    const auto retryAfter = problem.is_object() ? problem.value("retry_after_s", int64_t {0}) : 0;
    sendLater(std::chrono::seconds(text("repeat") == "now" ? 0 : retryAfter) + backoff(0, m_arrival.number));
}

void Caller::sendLater(milliseconds delay)
{
    if (monotonicNow() + delay > m_lastProgress + m_environment.patience) {
        finish(m_result.record.tokens() > 0 ? CallerEnd::Failed : CallerEnd::Refused);
        return;
    }
    m_environment.later(delay, [this] { send(); });
}

void Caller::finish(CallerEnd end)
{
    m_result.end = end;
    m_environment.onFinished();
}

} // namespace Jujube
