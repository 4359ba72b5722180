#include <LibControl/LeaseDuty.h>

namespace Jujube
{

namespace
{

constexpr std::string_view LeaseKey = "control/lease";

} // namespace

LeaseDuty::LeaseDuty(LeaseKeeper::Options options, TableClient table, ControlContext context)
    : m_table(std::move(table))
    , m_context(std::move(context))
    , m_keeper(std::move(options))
{
}

std::optional<LeaseTerm> LeaseDuty::term() const
{
    const std::lock_guard lock(m_mutex);
    const auto fencing = m_keeper.fencing(m_context.now());
    return fencing ? std::optional(LeaseTerm {.fencing = *fencing, .start = m_keeper.termStart()}) : std::nullopt;
}

void LeaseDuty::suspect()
{
    const std::lock_guard lock(m_mutex);
    m_keeper.requestRead(m_context.now());
}

void LeaseDuty::step()
{
    LeaseKeeper::Action action;
    {
        const std::lock_guard lock(m_mutex);
        action = m_keeper.next(m_context.now(), m_context.random());
    }
    if (action.step == LeaseKeeper::Step::Read) {
        read();
    } else if (action.step == LeaseKeeper::Step::Write) {
        write(action);
    }
    recordChange();
}

void LeaseDuty::read()
{
    RowReadResult result {.error = "not admitted"};
    if (m_context.gate->admit(PlatformUse::LeaseRead, m_context.now())) {
        result = m_table.get(LeaseKey);
        m_context.reportToGate(result.end != ReadEnd::Failed);
    }
    const std::lock_guard lock(m_mutex);
    m_keeper.onRead(result, m_context.now());
}

void LeaseDuty::write(const LeaseKeeper::Action &action)
{
    WriteResult result {.end = WriteEnd::NotDone, .error = "not admitted"};
    if (m_context.gate->admit(PlatformUse::LeaseWrite, m_context.now())) {
        result = action.revision == 0 ? m_table.putIfAbsent(LeaseKey, action.value) : m_table.putIfRevision(LeaseKey, action.value, action.revision);
        m_context.reportToGate(result.end == WriteEnd::Done || result.end == WriteEnd::Conflict);
    }
    const std::lock_guard lock(m_mutex);
    m_keeper.onWrite(result, m_context.now());
}

void LeaseDuty::recordChange()
{
    const auto current = term();
    const uint64_t fencing = current ? current->fencing : 0;
    if (fencing == m_recordedTerm) {
        return;
    }
    if (m_recordedTerm > 0) {
        m_context.record(EventKind::LeaseLost, "", "fencing number " + std::to_string(m_recordedTerm));
    }
    if (fencing > 0) {
        m_context.record(EventKind::LeaseAcquired, "", "fencing number " + std::to_string(fencing));
    }
    m_recordedTerm = fencing;
}

} // namespace Jujube
