#pragma once

#include <absl/status/status.h>
#include <LibHttp/HttpServer.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace Jujube
{

// A stand-in of a plain service whose calls must not run twice. Every call that runs is appended to a ledger, so that a test can count it.
class OrderDesk
{
public:
    struct Options {
        std::string name;
        std::string listen;
        int threads = 64;
        std::chrono::milliseconds delay {0};
        // Keeps the ledger across crashes, one JSON object in each line. Empty for a ledger in memory.
        std::string ledgerFile;
    };

    // Errors: those of HttpServer::start().
    static absl::StatusOr<std::unique_ptr<OrderDesk>> start(Options options);

    const std::string &address() const
    {
        return m_server->address();
    }

private:
    // Faults that affect the following calls.
    struct Faults {
        std::chrono::milliseconds delay {0};
        int64_t closeBeforeRun = 0;
        int64_t closeAfterRun = 0;
        int64_t crashBeforeRun = 0;
        int64_t crashAfterRun = 0;
    };

    explicit OrderDesk(Options options);

    void handle(const HttpRequest &request, HttpResponder &responder);
    void handlePost(const HttpRequest &request, HttpResponder &responder);
    void runCall(const std::string &call, const HttpRequest &request, const nlohmann::json &body, HttpResponder &responder);
    void answerStatus(const std::string &path, HttpResponder &responder) const;
    absl::Status injectFaults(const nlohmann::json &faults);
    // Takes one use of a fault. Returns false if none is left.
    bool takeFault(int64_t Faults::*fault);
    nlohmann::json appendToLedger(const std::string &call, const HttpRequest &request, const nlohmann::json &body);
    void readLedgerFile();

    const Options m_options;
    mutable std::mutex m_mutex;
    Faults m_faults;
    std::vector<nlohmann::json> m_ledger;
    int64_t m_running = 0;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
