#include <LibGateway/PermitManager.h>

#include <LibCore/Identifier.h>

namespace Jujube
{

PermitManager::PermitManager(Options options)
    : m_options(std::move(options))
{
    m_thread = std::thread([this] { run(); });
}

PermitManager::~PermitManager()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopSignal.notify_all();
    m_thread.join();
}

void PermitManager::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        revisePermits();
        lock.lock();
        m_stopSignal.wait_for(lock, m_options.interval, [this] { return m_stopping; });
    }
}

void PermitManager::revisePermits()
{
    for (const auto &target : m_options.fleet->engineColdStates(monotonicNow())) {
        // A warm target needs an update only while this gateway holds slots on it.
        if (target.mayBeCold || m_slots.contains(target.name)) {
            revisePermit(target);
        }
    }
}

void PermitManager::revisePermit(const EngineColdState &target)
{
    const auto key = permitKey(target.address);
    const auto read = m_options.table->get(key);
    if (read.end == ReadEnd::Failed) {
        return;
    }
    PermitRow row;
    if (read.end == ReadEnd::Found) {
        const auto parsed = PermitRow::fromText(read.row.value);
        if (!parsed.ok()) {
            m_options.events->record({.kind = EventKind::OrderRefused, .target = target.name, .detail = "the permit row is damaged"}, wallMsNow());
            return;
        }
        row = *parsed;
    }
    // The fleet manager stops using a returned slot before the row is written, because another gateway may get the slot right after the write.
    const OwnSlotDemand demand {.self = m_options.self, .newSlotId = randomIdentifier(), .needsSlot = target.mayBeCold, .ownRunning = target.ownRunning};
    const auto revised = reviseOwnSlots(row, demand);
    applyUsableSlots(target.name, countUsableSlots(revised.value_or(row), m_options.self));
    if (!revised) {
        return;
    }
    if (read.end == ReadEnd::Found) {
        m_options.table->putIfRevision(key, revised->toText(), read.row.revision);
    } else {
        m_options.table->putIfAbsent(key, revised->toText());
    }
    // The result of the write is not checked: the next read shows whether it took effect.
}

void PermitManager::applyUsableSlots(const std::string &target, int slots)
{
    const int before = m_slots.contains(target) ? m_slots.at(target) : 0;
    if (slots == before) {
        return;
    }
    m_options.fleet->setColdPermits(target, slots);
    m_options.events->record(
        {.kind = slots > before ? EventKind::PermitGranted : EventKind::PermitReturned, .target = target, .detail = std::to_string(slots) + " usable"},
        wallMsNow());
    if (slots > 0) {
        m_slots[target] = slots;
    } else {
        m_slots.erase(target);
    }
}

} // namespace Jujube
