#include "SoakWorld.h"

#include <absl/strings/str_cat.h>

namespace Jujube
{

namespace
{

constexpr std::array Failures {StandInStore::Fault::Silent, StandInStore::Fault::Busy, StandInStore::Fault::Reset};
constexpr std::chrono::milliseconds LeastRewriteDelay {100};
// After the return of the store.
constexpr std::chrono::milliseconds MostRewriteDelay {1000};
constexpr std::chrono::milliseconds AllRewritten {1900};
constexpr std::chrono::milliseconds EntriesRewritten {1200};
// The platform removes the entry of a target that is silent for so long.
constexpr std::chrono::milliseconds EntryExpiry {3600};

} // namespace

void SoakWorld::writeAsOperator(const std::string &key, const std::optional<std::string> &value)
{
    m_operatorWrites.push_back({.key = key, .value = value});
    if (m_operatorWaits) {
        return;
    }
    m_presentWrites = m_operatorWrites.size();
    if (value) {
        m_store->put("op", key, *value);
    } else {
        m_store->remove("op", key);
    }
}

void SoakWorld::removeEntry(const std::string &id)
{
    m_entries[id] = std::nullopt;
    m_store->remove("servers", id);
}

void SoakWorld::restoreStore(const Fault &fault)
{
    const auto form = restoreFormOf(fault.variant);
    const auto onReturn = [this, form, copy = m_store->takeCopy(), present = m_presentWrites] {
        noteDisturbances(monotonicNow());
        m_store->restoreCopy(copy, form.finishesTransactions ? StandInStore::Unfinished::DoneLater : StandInStore::Unfinished::Lost);
        m_presentWrites = present;
        if (--m_active["store"] == 0) {
            m_store->setFault(StandInStore::Fault::None);
        }
        --m_restoresUnderWay;
        onStoreRestored(form);
    };
    after(fault.duration - form.outage, [this, form, onReturn] {
        log(absl::StrCat("the store goes away for ", form.outage.count(), " ms"));
        ++m_active["store"];
        ++m_restoresUnderWay;
        ++m_restoreTurn;
        m_operatorWaits = true;
        m_store->setFault(Failures[form.failure]);
        noteDisturbances(monotonicNow());
        after(form.outage, onReturn);
    });
}

void SoakWorld::onStoreRestored(const RestoreForm &form)
{
    const auto lost = m_operatorWrites.size() - m_presentWrites;
    log(absl::StrCat("the store is restored without ", lost, " writes of the operator"));
    if (m_restoresUnderWay > 0) {
        return;
    }
    const auto turn = ++m_restoreTurn;
    const auto within = [this](std::chrono::milliseconds from, std::chrono::milliseconds to) {
        return from + std::chrono::milliseconds(m_restoreRandom() % static_cast<uint64_t>((to - from).count()));
    };
    const auto delay = within(LeastRewriteDelay, MostRewriteDelay);
    const auto pause = std::min(LeastRewriteDelay, (AllRewritten - delay) / static_cast<int>(lost + 1));
    after(delay, [this, turn, pause, newestOnly = form.rewritesNewestOnly] { rewriteNext(turn, newestOnly, pause); });
    for (const auto &entry : m_entries) {
        const auto &id = entry.first;
        after(isRunning(id) ? within({}, EntriesRewritten) : EntryExpiry, [this, turn, id] { rewriteEntry(turn, id); });
    }
}

bool SoakWorld::isRunning(const std::string &target) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &other) { return other->id == target && !other->isDown; });
}

void SoakWorld::rewriteNext(uint64_t turn, bool newestOnly, std::chrono::milliseconds pause)
{
    if (turn != m_restoreTurn) {
        return;
    }
    while (m_presentWrites < m_operatorWrites.size()) {
        const auto &write = m_operatorWrites[m_presentWrites++];
        const auto rest = m_operatorWrites.begin() + static_cast<ptrdiff_t>(m_presentWrites);
        if (newestOnly && std::any_of(rest, m_operatorWrites.end(), [&](const auto &other) { return other.key == write.key; })) {
            continue;
        }
        log(absl::StrCat("the operator writes ", write.key, " again"));
        if (write.value) {
            m_store->put("op", write.key, *write.value);
        } else {
            m_store->removePresent("op", write.key);
        }
        after(pause, [this, turn, newestOnly, pause] { rewriteNext(turn, newestOnly, pause); });
        return;
    }
    m_operatorWaits = false;
    for (const auto &fault : std::exchange(m_waitingFaults, {})) {
        apply(fault);
    }
}

void SoakWorld::rewriteEntry(uint64_t turn, const std::string &id)
{
    if (turn != m_restoreTurn) {
        return;
    }
    const auto &entry = m_entries[id];
    if (!entry) {
        m_store->removePresent("servers", id);
    } else if (isRunning(id)) {
        m_store->put("servers", id, *entry);
    }
}

} // namespace Jujube
