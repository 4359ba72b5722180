#pragma once

#include "PlatformStore.h"
#include "RequestCounter.h"

#include <absl/status/statusor.h>
#include <deque>
#include <LibCore/Time.h>
#include <LibHttp/HttpServer.h>
#include <memory>

namespace Jujube
{

// A small stand-in for the platform: table service, object store and VM list in memory, with fault injection over HTTP (section 13 of docs/design.md).
//
// POST /faults sets the fields that it names and leaves the others:
//   "down": true answers every platform request with 503 and without effect.
//   "delay_ms": every platform request waits this long first.
//   "lose_answers": the next N writes take effect, and their connections are closed without an answer.
//   "lose_requests": the next N writes have no effect, and their connections are closed without an answer.
//   "slow_vm_list_ms": GET /vms shows the list of this long ago.
class PlatformStandIn
{
public:
    struct Options {
        std::string listen = "127.0.0.1:0";
        nlohmann::json vms = nlohmann::json::array();
    };

    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<PlatformStandIn>> start(Options options);

    const std::string &address() const
    {
        return m_server->address();
    }

private:
    struct Faults {
        bool down = false;
        int64_t delayMs = 0;
        int64_t loseAnswers = 0;
        int64_t loseRequests = 0;
        int64_t slowVmListMs = 0;
    };

    // What becomes of one write.
    enum class WriteFate {
        Answered,
        AnswerLost,
        RequestLost,
    };

    // The list that was in force from a time on.
    struct VmListVersion {
        MonotonicTime since;
        nlohmann::json vms;
    };

    explicit PlatformStandIn(nlohmann::json vms);

    void handle(const HttpRequest &request, HttpResponder &responder);
    // Returns false if the request is for the stand-in itself and was answered.
    bool handleControl(const HttpRequest &request, HttpResponder &responder);
    void handleRead(const HttpRequest &request, HttpResponder &responder);
    void handleWrite(const HttpRequest &request, HttpResponder &responder);
    void setFaults(const HttpRequest &request, HttpResponder &responder);
    void setVms(const HttpRequest &request, HttpResponder &responder);
    // Returns the answer to a write after it took effect.
    std::pair<int, nlohmann::json> applyWrite(const HttpRequest &request);
    std::pair<int, nlohmann::json> applyTransaction(const std::string &body);
    std::pair<int, nlohmann::json> applyPut(const HttpRequest &request, const std::string &key);
    WriteFate nextWriteFate();
    Faults faults() const;
    nlohmann::json visibleVms(MonotonicTime now) const;

    PlatformStore m_store;
    RequestCounter m_counter;
    mutable std::mutex m_mutex;
    Faults m_faults;
    std::deque<VmListVersion> m_vmLists;
    // The last member: its threads use the others.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
