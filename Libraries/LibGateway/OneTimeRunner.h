#pragma once

#include <LibGateway/OutcomeRecorder.h>
#include <LibGateway/RequestContext.h>
#include <LibOneTime/OneTimeCall.h>

namespace Jujube
{

// Runs one one-time call: performs the steps of a OneTimeCall with the table service and the target. Runs on the thread that serves the request.
class OneTimeRunner
{
public:
    struct Options {
        const GatewayParts *parts = nullptr;
        const TableClient *table = nullptr;
        OutcomeRecorder *recorder = nullptr;
        std::string tableKey;
        std::string bodyDigest;
        std::string request;
        // Sends the call to a target, at most once.
        std::function<CallResponse()> send;
    };

    explicit OneTimeRunner(Options options);

    std::variant<OneTimeAction::Respond, Problem> run();

private:
    void push(OneTimeSteps steps);
    void perform(const OneTimeAction::WriteClaim &step);
    void perform(const OneTimeAction::ReadClaim &step);
    void perform(const OneTimeAction::SendCall &step);
    void perform(const OneTimeAction::RecordOutcome &step);
    void perform(const OneTimeAction::ReleaseClaim &step);
    void perform(const OneTimeAction::Delay &step);
    void perform(const OneTimeAction::Respond &step);
    void perform(const OneTimeAction::Reject &step);
    void record(EventKind kind, std::string detail = {}) const;

    const Options m_options;
    OneTimeCall m_call;
    std::vector<OneTimeStep> m_steps;
    std::variant<OneTimeAction::Respond, Problem> m_result = Problem {};
};

} // namespace Jujube
