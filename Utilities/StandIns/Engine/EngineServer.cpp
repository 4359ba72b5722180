#include <StandIns/Engine/EngineServer.h>

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <thread>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

constexpr std::string_view GenerationsPath = "/generations/";
constexpr milliseconds KeepAliveInterval {1000};
// Between the two halves of a line that is split on purpose, so that they arrive in different reads.
constexpr milliseconds SplitPause {5};
constexpr int Ok = 200;

uint64_t numberParameter(const HttpRequest &request, std::string_view name)
{
    uint64_t number = 0;
    if (const auto text = request.queryParameter(name)) {
        [[maybe_unused]] const bool valid = absl::SimpleAtoi(*text, &number);
    }
    return number;
}

absl::StatusOr<GenerationRequest> parseGenerationRequest(const nlohmann::json &body)
{
    try {
        GenerationRequest request {
            .id = body.at("generation").get<std::string>(),
            .attempt = body.value("attempt", int64_t {1}),
            .model = body.at("model").get<std::string>(),
            .prompt = body.at("prompt").get<std::string>(),
            .seed = body.value("seed", uint64_t {0}),
            .maxTokens = body.value("max_tokens", int64_t {1024}),
            .priority = body.value("priority", int64_t {0}),
            .workspace = body.value("workspace", ""),
            .tokens = body.value("tokens", std::vector<std::string>()),
        };
        return request;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, error.what());
    }
}

// Appends the lines of the output. With splitting, returns the position inside a multi-byte character at which the text is to be cut, or zero.
size_t formatLines(const Generation &generation, size_t from, const EngineHost::Output &output, std::string &text)
{
    const auto &request = generation.request;
    const auto endOfLine = [&output](nlohmann::json &line) {
        if (output.cold) {
            line["cold"] = true;
        }
        return line.dump() + "\n";
    };
    for (size_t i = 0; i < output.tokens.size(); ++i) {
        nlohmann::json line {{"g", request.id}, {"a", request.attempt}, {"o", from + i}, {"t", output.tokens[i]}};
        text += endOfLine(line);
    }
    if (output.done) {
        nlohmann::json line {{"g", request.id}, {"a", request.attempt}, {"done", true}, {"count", from + output.tokens.size()}};
        text += endOfLine(line);
    } else if (output.tokens.empty()) {
        nlohmann::json line {{"ka", 1}};
        text += endOfLine(line);
    }
    const auto isLeadByte = [](char c) { return static_cast<unsigned char>(c) >= 0xC0; };
    const auto lead = std::find_if(text.begin(), text.end(), isLeadByte);
    return output.splitLines && lead != text.end() ? static_cast<size_t>(lead - text.begin()) + 1 : 0;
}

bool writeLines(HttpResponder &responder, std::string_view text, size_t cut)
{
    if (cut > 0) {
        if (!responder.write(text.substr(0, cut))) {
            return false;
        }
        std::this_thread::sleep_for(SplitPause);
    }
    return responder.write(text.substr(cut));
}

void answer(HttpResponder &responder, const absl::Status &status)
{
    if (status.ok()) {
        responder.sendJson(Ok, nlohmann::json::object());
    } else {
        responder.sendProblem(Problem::fromStatus(status));
    }
}

} // namespace

EngineServer::EngineServer(EngineHost::Options options)
    : m_host(std::move(options))
{
}

EngineServer::~EngineServer()
{
    m_host.stop();
    m_server.reset();
}

absl::StatusOr<std::unique_ptr<EngineServer>> EngineServer::start(Options options)
{
    std::unique_ptr<EngineServer> engine(new EngineServer(std::move(options.host)));
    auto server = HttpServer::start({
        .listen = options.listen,
        .threads = options.threads,
        // Token logs of long generations exceed the limit for callers.
        .bodyLimitBytes = 16 << 20,
        .handler = [&engine = *engine](const HttpRequest &request, HttpResponder &responder) { engine.handle(request, responder); },
    });
    if (!server.ok()) {
        return server.status();
    }
    engine->m_server = *std::move(server);
    return engine;
}

void EngineServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method == "POST") {
        handlePost(request, responder);
    } else if (request.method == "GET") {
        handleGet(request, responder);
    } else if (request.method == "DELETE" && request.path.starts_with(GenerationsPath)) {
        const bool found = m_host.cancel(request.path.substr(GenerationsPath.size()));
        answer(responder, found ? absl::OkStatus() : makeError(ErrorKind::NotFound, "no such generation"));
    } else {
        answer(responder, makeError(ErrorKind::MethodNotAllowed, request.method));
    }
}

void EngineServer::handlePost(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = parseJson(request.body);
    if (!body.ok()) {
        answer(responder, body.status());
        return;
    }
    try {
        if (request.path == "/generate") {
            generate(*body, responder);
        } else if (request.path == "/orders") {
            answer(responder, m_host.order(*body));
        } else if (request.path == "/faults") {
            answer(responder, m_host.injectFaults(*body));
        } else {
            answer(responder, makeError(ErrorKind::NotFound, request.path));
        }
    } catch (const nlohmann::json::exception &error) {
        answer(responder, makeError(ErrorKind::InvalidValue, error.what()));
    }
}

void EngineServer::handleGet(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/load") {
        responder.sendJson(Ok, m_host.load());
    } else if (request.path == "/cache-events") {
        responder.sendJson(Ok, m_host.cacheEventsAfter(numberParameter(request, "after")));
    } else if (request.path == "/statistics") {
        responder.sendJson(Ok, m_host.statistics());
    } else if (request.path.starts_with(GenerationsPath)) {
        resume(request, responder);
    } else {
        answer(responder, makeError(ErrorKind::NotFound, request.path));
    }
}

void EngineServer::generate(const nlohmann::json &body, HttpResponder &responder)
{
    auto parsed = parseGenerationRequest(body);
    if (!parsed.ok()) {
        answer(responder, parsed.status());
        return;
    }
    const auto from = parsed->tokens.size();
    const auto generation = m_host.submit(*std::move(parsed));
    if (!generation.ok()) {
        answer(responder, generation.status());
        return;
    }
    stream(**generation, from, responder);
}

void EngineServer::resume(const HttpRequest &request, HttpResponder &responder)
{
    const auto generation = m_host.find(request.path.substr(GenerationsPath.size()));
    if (!generation) {
        answer(responder, makeError(ErrorKind::NotFound, "no such generation"));
        return;
    }
    stream(*generation, numberParameter(request, "from"), responder);
}

void EngineServer::stream(const Generation &generation, size_t from, HttpResponder &responder)
{
    const auto epoch = m_host.connectionEpoch();
    bool writable = responder.beginStream("application/x-ndjson");
    while (writable) {
        const auto output = m_host.waitForOutput(generation, from, epoch, KeepAliveInterval);
        if (output.aborted) {
            return;
        }
        if (output.silenced) {
            continue;
        }
        std::string text;
        const auto cut = formatLines(generation, from, output, text);
        writable = writeLines(responder, text, cut);
        from += output.tokens.size();
        if (output.done) {
            return;
        }
    }
}

} // namespace Jujube
