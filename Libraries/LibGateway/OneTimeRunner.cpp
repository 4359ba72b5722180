#include <LibGateway/OneTimeRunner.h>

#include <LibCore/Identifier.h>
#include <thread>

namespace Jujube
{

using namespace OneTimeAction;

namespace
{

ClaimWriteEnd claimWriteEnd(const WriteResult &result)
{
    switch (result.end) {
    case WriteEnd::Done:
        return ClaimWriteEnd::Done;
    case WriteEnd::Conflict:
        // The response does not contain the conflicting row, so the claim has to be read again.
        return result.isCurrentKnown && result.current ? ClaimWriteEnd::Conflict : ClaimWriteEnd::Unknown;
    case WriteEnd::NotDone:
        return ClaimWriteEnd::NotDone;
    case WriteEnd::Unknown:
        break;
    }
    return ClaimWriteEnd::Unknown;
}

ClaimRow claimRow(const WriteResult &result)
{
    if (result.current) {
        return {.value = result.current->value, .revision = static_cast<uint64_t>(result.current->revision)};
    }
    return {.value = "", .revision = static_cast<uint64_t>(result.revision)};
}

} // namespace

OneTimeRunner::OneTimeRunner(Options options)
    : m_options(std::move(options))
    , m_call({.nonce = randomIdentifier(),
              .bodyDigest = m_options.bodyDigest,
              .gateway = m_options.parts->options.name,
              .wallMs = wallMsNow(),
              .claimDeadline = m_options.parts->options.claimDeadline},
             monotonicNow())
{
}

std::variant<Respond, Problem> OneTimeRunner::run()
{
    push(m_call.start());
    while (!m_steps.empty()) {
        const auto step = std::move(m_steps.front());
        m_steps.erase(m_steps.begin());
        std::visit([this](const auto &concrete) { perform(concrete); }, step);
    }
    return m_result;
}

void OneTimeRunner::push(OneTimeSteps steps)
{
    m_steps.insert(m_steps.end(), std::make_move_iterator(steps.begin()), std::make_move_iterator(steps.end()));
}

void OneTimeRunner::perform(const WriteClaim &step)
{
    const auto result = step.revision == 0 ? m_options.table->putIfAbsent(m_options.tableKey, step.value)
                                           : m_options.table->putIfRevision(m_options.tableKey, step.value, static_cast<int64_t>(step.revision));
    const auto end = claimWriteEnd(result);
    if (end == ClaimWriteEnd::Done) {
        record(EventKind::ClaimWritten);
    } else if (end == ClaimWriteEnd::Conflict) {
        record(EventKind::ClaimFound);
    }
    push(m_call.onWritten(end, claimRow(result), monotonicNow()));
}

void OneTimeRunner::perform(const ReadClaim &)
{
    const auto result = m_options.table->get(m_options.tableKey);
    const auto now = monotonicNow();
    if (result.end == ReadEnd::Failed) {
        push(m_call.onReadFailed(now));
        return;
    }
    record(EventKind::ClaimReadBack);
    std::optional<ClaimRow> row;
    if (result.end == ReadEnd::Found) {
        row = ClaimRow {.value = result.row.value, .revision = static_cast<uint64_t>(result.row.revision)};
    }
    push(m_call.onRead(row, now));
}

void OneTimeRunner::perform(const SendCall &)
{
    record(EventKind::CallSent);
    const auto answer = m_options.send();
    if (answer.end == CallEnd::NotSent) {
        record(EventKind::CallNotRun);
    } else if (answer.end == CallEnd::Responded) {
        record(EventKind::TargetAnswered, "status " + std::to_string(answer.status));
    }
    push(m_call.onCalled(answer));
}

void OneTimeRunner::perform(const RecordOutcome &step)
{
    const auto result = m_options.table->putIfRevision(m_options.tableKey, step.value, static_cast<int64_t>(step.revision));
    if (result.end == WriteEnd::Done) {
        record(EventKind::OutcomeRecorded);
        return;
    }
    record(EventKind::OutcomeUnrecorded);
    m_options.recorder->retry({
        .tableKey = m_options.tableKey,
        .value = step.value,
        .revision = static_cast<int64_t>(step.revision),
        .request = m_options.request,
    });
}

void OneTimeRunner::perform(const ReleaseClaim &step)
{
    m_options.recorder->retry({
        .tableKey = m_options.tableKey,
        .value = step.notRunValue,
        .releaseNonce = step.nonce,
        .request = m_options.request,
    });
}

void OneTimeRunner::perform(const Delay &step)
{
    std::this_thread::sleep_for(step.time);
    push(m_call.onTimer());
}

void OneTimeRunner::perform(const Respond &step)
{
    m_result = step;
}

void OneTimeRunner::perform(const Reject &step)
{
    m_result = step.problem;
}

void OneTimeRunner::record(EventKind kind, std::string detail) const
{
    m_options.parts->record({.kind = kind, .request = m_options.request, .detail = std::move(detail)});
}

} // namespace Jujube
