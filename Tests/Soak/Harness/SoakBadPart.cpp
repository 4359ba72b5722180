#include "SoakWorld.h"

#include <absl/strings/str_cat.h>

namespace Jujube
{

void SoakWorld::crashOnBadPart(Target &target)
{
    constexpr std::chrono::milliseconds LeastDowntime {1500};
    constexpr uint64_t MostMoreMs = 1500;
    if (target.isDown) {
        return;
    }
    m_ledger.onBadPartCrash(monotonicNow());
    crashTarget(target);
    // The engine comes back under another id. The entry of the one that crashed goes before, or stays until then.
    const auto downtime = LeastDowntime + std::chrono::milliseconds(m_random() % MostMoreMs);
    if (m_random() % 2 == 0) {
        after(downtime / 2, [this, id = target.id] { removeEntry(id); });
    }
    after(downtime, [this, &target] {
        if (target.isDown) {
            removeEntry(target.id);
            target.id += "x";
            restartTarget(target);
        }
    });
}

StandInTarget::Crash SoakWorld::drawCrash()
{
    constexpr uint64_t MostMsBefore = 80;
    StandInTarget::Crash crash {.sendsHead = m_random() % 2 == 0};
    if (m_random() % 2 == 0) {
        crash.after = std::chrono::milliseconds(m_random() % MostMsBefore);
    }
    return crash;
}

void SoakWorld::sendBadPartRequests(MonotonicTime until)
{
    constexpr std::chrono::milliseconds Pause {400};
    constexpr uint64_t MostBodyBytes = 5000;
    if (monotonicNow() > until) {
        return;
    }
    BadPartRequest request;
    if (m_badPartRepeats.empty()) {
        request.kind = m_random() % 2 == 0 ? SoakKind::Generation : SoakKind::ResumableGeneration;
        request.prompt = m_prompts.drawWithBadPart(request.kind);
        request.body = absl::StrCat(m_random(), std::string(m_random() % MostBodyBytes, 'b'));
    } else {
        request = m_badPartRepeats.front();
        m_badPartRepeats.pop_front();
    }
    sendBadPart(*m_relays[m_random() % m_relays.size()], request);
    after(Pause, [this, until] { sendBadPartRequests(until); });
}

void SoakWorld::sendBadPart(SoakRelay &relay, const BadPartRequest &request)
{
    if (relay.state() != SoakRelay::State::Running) {
        return;
    }
    const SoakLedger::Sent sent {.relay = relay.options().name,
                                 .kind = request.kind,
                                 .method = "POST",
                                 .target = request.kind == SoakKind::Generation ? "/draft/x" : "/hint/x",
                                 .deadline = std::chrono::milliseconds(3000),
                                 .prompt = request.prompt,
                                 .hasBadPart = true};
    const auto onStatus = [this, name = sent.relay, request](int status) {
        log(absl::StrCat("request with the bad part at ", name, " ends with status ", status));
        // Every second request that failed comes again.
        if (m_random() % 2 == 0) {
            m_badPartRepeats.push_back(request);
        }
    };
    ask(relay, sent, onStatus, request.body);
}

} // namespace Jujube
