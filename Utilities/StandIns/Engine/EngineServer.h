#pragma once

#include <LibHttp/HttpServer.h>
#include <StandIns/Engine/EngineHost.h>

namespace Jujube
{

// The HTTP interface of an engine.
class EngineServer
{
public:
    struct Options {
        std::string listen;
        // Each open stream occupies one thread.
        int threads = 256;
        EngineHost::Options host;
    };

    // Errors: those of HttpServer::start().
    static absl::StatusOr<std::unique_ptr<EngineServer>> start(Options options);

    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    const std::string &address() const
    {
        return m_server->address();
    }

private:
    explicit EngineServer(EngineHost::Options options);

    void handle(const HttpRequest &request, HttpResponder &responder);
    void handlePost(const HttpRequest &request, HttpResponder &responder);
    void handleGet(const HttpRequest &request, HttpResponder &responder);
    void generate(const nlohmann::json &body, HttpResponder &responder);
    void resume(const HttpRequest &request, HttpResponder &responder);
    void stream(const Generation &generation, size_t from, HttpResponder &responder);

    EngineHost m_host;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
