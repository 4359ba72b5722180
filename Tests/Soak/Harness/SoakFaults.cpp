#include "SoakWorld.h"

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr std::array LinkFaults {LinkFault::Delay, LinkFault::Silence, LinkFault::CutForward, LinkFault::CutBackward, LinkFault::Refuse};
constexpr std::array StoreFaults {StandInStore::Fault::Silent, StandInStore::Fault::Busy, StandInStore::Fault::Reset};
constexpr std::array Behaviours {StandInTarget::Behaviour::Full,
                                 StandInTarget::Behaviour::Fail,
                                 StandInTarget::Behaviour::DropResponse,
                                 StandInTarget::Behaviour::Truncate,
                                 StandInTarget::Behaviour::WrongResponse,
                                 StandInTarget::Behaviour::Hang};

// Requests per second.
constexpr std::array RequestLimits {"0", "0.5", "1.5", "3.2", "5.2", "12", "40"};

// Requests are sent this long after the end of a bound.
constexpr std::chrono::milliseconds ProbeDelay {50};

// Every second variant of a fault takes the rarer of two forms.
bool isOdd(unsigned variant)
{
    return variant % 2 == 1;
}

} // namespace

void SoakWorld::strike(const Fault &fault, const std::string &name, const std::function<void()> &begin, std::function<void()> end)
{
    ++m_active[name];
    begin();
    after(fault.duration, [this, name, end = std::move(end)] {
        noteDisturbances(monotonicNow());
        if (--m_active[name] == 0) {
            end();
        }
    });
}

void SoakWorld::apply(const Fault &fault)
{
    log(fault.toText());
    strikeSubject(fault);
    // Callers may see the fault before the next tick.
    noteDisturbances(monotonicNow());
}

void SoakWorld::strikeSubject(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KillRelay:
    case FaultKind::PauseRelay:
    case FaultKind::TerminateRelay:
    case FaultKind::ReloadRelay:
        strikeRelay(fault, *m_relays[fault.subject]);
        return;
    case FaultKind::CallerLink:
        strikeLink(fault, m_relays[fault.subject]->callerLink, "callers of " + m_relays[fault.subject]->options().name);
        return;
    case FaultKind::StoreLink:
        strikeLink(fault, m_relays[fault.subject]->storeLink, "store of " + m_relays[fault.subject]->options().name);
        return;
    case FaultKind::TargetLink:
        strikeLink(fault, *m_targets[fault.subject]->link, "link of " + m_targets[fault.subject]->id);
        return;
    case FaultKind::ResetLinks:
        resetLinks(fault, *m_relays[fault.subject]);
        return;
    case FaultKind::Store:
        strikeStore(fault);
        return;
    case FaultKind::TargetBehaviour:
    case FaultKind::CrashTarget:
    case FaultKind::DrainTarget:
        strikeTarget(fault, *m_targets[fault.subject]);
        return;
    case FaultKind::LimitTarget:
        limitTarget(fault, *m_targets[fault.subject]);
        return;
    case FaultKind::ChangeDocument:
        changeDocument(fault.variant);
        return;
    case FaultKind::Evacuate:
        evacuate(fault);
        return;
    case FaultKind::StoreReader:
        strikeReader(fault);
        return;
    case FaultKind::GrowDocument:
        growDocument(fault.variant);
        return;
    }
}

void SoakWorld::strikeReader(Fault fault)
{
    // Readers call the store at least this often, other relays seldom.
    constexpr std::chrono::milliseconds MaxReadInterval {1300};
    constexpr std::array Forms {FaultKind::KillRelay, FaultKind::PauseRelay, FaultKind::StoreLink};
    std::vector<size_t> readers;
    for (size_t index = 0; index < m_relays.size(); ++index) {
        if (m_relays[index]->state() == SoakRelay::State::Running && monotonicNow() - m_relays[index]->storeLink.usedAt() < MaxReadInterval) {
            readers.push_back(index);
        }
    }
    if (readers.empty()) {
        return;
    }
    fault.kind = Forms[fault.variant % Forms.size()];
    fault.variant /= Forms.size();
    // Both readers at once in every second case.
    const size_t count = isOdd(fault.variant) ? std::min<size_t>(2, readers.size()) : 1;
    fault.variant /= 2;
    for (size_t number = 0; number < count; ++number) {
        fault.subject = readers[(fault.variant + number) % readers.size()];
        log(absl::StrCat("reader ", m_relays[fault.subject]->options().name, " of ", readers.size(), ": ", toAbsl(nameOf(fault.kind))));
        strikeSubject(fault);
    }
}

void SoakWorld::strikeRelay(const Fault &fault, SoakRelay &relay)
{
    const auto now = monotonicNow();
    switch (fault.kind) {
    case FaultKind::KillRelay:
        relay.kill(now, fault.duration);
        return;
    case FaultKind::PauseRelay:
        strike(
            fault, "pause of " + relay.options().name, [&] { relay.pause(); }, [&relay] { relay.resume(); });
        return;
    case FaultKind::TerminateRelay:
        if (relay.state() == SoakRelay::State::Running) {
            relay.terminate(now);
            after(SoakBounds::NotReadyAfterTerm, [this, &relay] { checkNotReadyAfterTerm(relay); });
        }
        return;
    default:
        relay.reload(fault.variant, !isOdd(fault.variant / 4));
        return;
    }
}

void SoakWorld::checkNotReadyAfterTerm(SoakRelay &relay)
{
    if (relay.state() != SoakRelay::State::Ending || monotonicNow() < relay.stoppedAt() + SoakBounds::NotReadyAfterTerm) {
        return;
    }
    m_client.call(relay.ready, {.target = "/-/readyz"}, [this, &relay](const LoopAnswer &answer) {
        if (answer.isSuccess() && relay.state() == SoakRelay::State::Ending) {
            m_ledger.reportTimed("drain", relay.options().name + " is ready although it ends");
        }
    });
}

void SoakWorld::strikeLink(const Fault &fault, LoopbackProxy &link, const std::string &name)
{
    const auto form = LinkFaults[fault.variant % LinkFaults.size()];
    // What a cut held up is delivered or lost at its end.
    const bool resets = isOdd(fault.variant / LinkFaults.size());
    strike(
        fault,
        name,
        [&] { link.setFault(form); },
        [&link, resets] {
            link.setFault(LinkFault::None);
            if (resets) {
                link.resetAll();
            }
        });
}

void SoakWorld::resetLinks(const Fault &fault, SoakRelay &relay)
{
    const auto &name = relay.options().name;
    if (isOdd(fault.variant)) {
        m_ledger.disturb(name, monotonicNow());
        relay.callerLink.resetAll();
        relay.storeLink.resetAll();
        return;
    }
    auto &target = *m_targets[fault.variant / 2 % m_targets.size()];
    m_ledger.disturbTarget(target.id, monotonicNow());
    target.link->resetAll();
}

void SoakWorld::strikeStore(const Fault &fault)
{
    if (fault.variant % 4 == 0) {
        m_store->discardHistory();
        return;
    }
    strike(
        fault, "store", [&] { m_store->setFault(StoreFaults[fault.variant % StoreFaults.size()]); }, [this] { m_store->setFault(StandInStore::Fault::None); });
}

void SoakWorld::strikeTarget(const Fault &fault, Target &target)
{
    const auto end = "end of " + target.id;
    if (target.isDown || m_active[end] > 0) {
        return;
    }
    if (fault.kind == FaultKind::DrainTarget) {
        drainTarget(fault, target);
        return;
    }
    if (fault.kind == FaultKind::TargetBehaviour) {
        strike(
            fault,
            "behaviour of " + target.id,
            [&] { target.server->setBehaviour(Behaviours[fault.variant % Behaviours.size()]); },
            [&target] {
                if (target.server) {
                    target.server->setBehaviour(StandInTarget::Behaviour::Serve);
                }
            });
        return;
    }
    // The entry of a crashed target goes after a while, or the target is back before. It keeps its id at times.
    const bool keepsId = isOdd(fault.variant);
    const bool keepsEntry = isOdd(fault.variant / 2);
    crashTarget(target);
    if (!keepsEntry) {
        after(fault.duration / 2, [this, id = target.id] { m_store->remove("servers", id); });
    }
    after(fault.duration, [this, &target, keepsId] {
        if (target.isDown && !keepsId) {
            m_store->remove("servers", target.id);
            target.id += "x";
        }
        restartTarget(target);
    });
}

void SoakWorld::limitTarget(const Fault &fault, Target &target)
{
    const auto setLimit = [this, &target](const std::string &limit) {
        // A target that is down names nothing, and begins without a limit.
        if (!target.isDown) {
            target.server->setRequestLimit(limit);
            m_ledger.onLimitNamed(monotonicNow(), target.id, limit.empty() ? std::nullopt : std::optional(std::stod(limit)));
        }
    };
    strike(
        fault,
        "limit of " + target.service + target.address.toText(),
        [&] { setLimit(RequestLimits[fault.variant % RequestLimits.size()]); },
        [setLimit] { setLimit({}); });
}

void SoakWorld::drainTarget(const Fault &fault, Target &target)
{
    // Some targets never say that they leave: their entry goes, and they serve on for a while.
    const bool isSilent = isOdd(fault.variant);
    const auto name = "end of " + target.id;
    ++m_active[name];
    if (isSilent) {
        m_store->remove("servers", target.id);
    } else {
        target.server->setReportsLeaving();
        registerTarget(target, "draining");
    }
    if (m_active["store"] == 0) {
        m_ledger.forbidTarget(target.id, "drain", monotonicNow() + m_bounds.drain);
        after(m_bounds.drain + ProbeDelay, [this] { probeTargets(); });
    }
    after(m_bounds.drain + fault.duration, [this, &target, name] {
        --m_active[name];
        m_store->remove("servers", target.id);
        crashTarget(target);
        target.id += "x";
        restartTarget(target);
    });
}

void SoakWorld::evacuate(const Fault &fault)
{
    const std::string dataCentre = m_targets[fault.subject]->dataCentre;
    const auto row = "evacuate/" + dataCentre;
    const auto begin = [&] {
        const auto now = monotonicNow();
        m_store->put("op", row, "{}");
        m_evacuatedSince.try_emplace(dataCentre, now);
        for (const auto &target : m_targets) {
            if (target->dataCentre == dataCentre && m_active["store"] == 0) {
                m_ledger.forbidTarget(target->id, "evacuation", now + SoakBounds::Evacuation);
            }
        }
    };
    if (m_active["store"] == 0) {
        after(SoakBounds::Evacuation + ProbeDelay, [this] { probeTargets(); });
    }
    strike(fault, row, begin, [this, dataCentre, row] {
        m_store->remove("op", row);
        m_evacuatedSince.erase(dataCentre);
        for (const auto &target : m_targets) {
            if (target->dataCentre == dataCentre) {
                m_ledger.allowTarget(target->id, "evacuation");
            }
        }
    });
}

void SoakWorld::changeDocument(unsigned variant)
{
    constexpr unsigned MostStep = 5;
    m_document.version += 1 + variant % MostStep;
    const bool removes = isOdd(variant / MostStep) && !m_document.addedRoutes.empty();
    std::string route;
    if (removes) {
        route = m_document.addedRoutes.front();
        m_document.addedRoutes.erase(m_document.addedRoutes.begin());
    } else {
        route = absl::StrCat("added-", m_document.version);
        m_document.addedRoutes.push_back(route);
    }
    writeDocument(route, !removes);
}

void SoakWorld::growDocument(unsigned variant)
{
    constexpr unsigned MaxRoutes = 400;
    ++m_document.version;
    const auto count = 1 + variant % MaxRoutes;
    for (unsigned number = 0; number < count; ++number) {
        m_document.addedRoutes.push_back(absl::StrCat("added-", m_document.version, "-", number));
    }
    writeDocument(m_document.addedRoutes.back(), true);
}

void SoakWorld::writeDocument(const std::string &route, bool isThere)
{
    m_store->put("op", "config", m_document.toText());
    if (m_active["store"] == 0) {
        after(m_bounds.document, [this, route, isThere] { probeDocument(route, isThere); });
    }
}

void SoakWorld::probeDocument(const std::string &route, bool isThere)
{
    const auto &routes = m_document.addedRoutes;
    const bool isStillThere = std::find(routes.begin(), routes.end(), route) != routes.end();
    if (isStillThere != isThere) {
        return;
    }
    const auto now = monotonicNow();
    for (const auto &relay : m_relays) {
        if (m_ledger.isInTouch(relay->options().name, now) && relay->state() == SoakRelay::State::Running) {
            probe(*relay, route, isThere);
        }
    }
}

void SoakWorld::probeTargets()
{
    // Most relays get few requests otherwise.
    for (const auto &relay : m_relays) {
        if (relay->state() == SoakRelay::State::Running) {
            const SoakLedger::Sent sent {.relay = relay->options().name,
                                         .kind = SoakKind::Repeatable,
                                         .method = "GET",
                                         .target = "/status/x",
                                         .proper = true,
                                         .deadline = std::chrono::milliseconds(3000)};
            ask(*relay, sent, [](int) {});
        }
    }
}

void SoakWorld::probe(SoakRelay &relay, const std::string &route, bool isThere)
{
    constexpr int StatusNotFound = 404;
    const SoakLedger::Sent sent {.relay = relay.options().name,
                                 .kind = SoakKind::Repeatable,
                                 .method = "GET",
                                 .target = absl::StrCat("/", route, "/x"),
                                 .proper = isThere,
                                 .deadline = std::chrono::milliseconds(3000)};
    ask(relay, sent, [this, name = sent.relay, isThere, route](int status) {
        if ((status == StatusNotFound) == isThere && m_ledger.isInTouch(name, monotonicNow())) {
            m_ledger.reportTimed("document", absl::StrCat(name, " answers ", status, " on the route ", route, isThere ? ", added" : ", removed"));
        }
    });
}

void SoakWorld::sendFatalRequests(MonotonicTime until)
{
    constexpr std::chrono::milliseconds Pause {400};
    if (monotonicNow() > until) {
        return;
    }
    auto &relay = *m_relays[m_fatalRelay++ % m_relays.size()];
    const SoakLedger::Sent sent {.relay = relay.options().name,
                                 .kind = SoakKind::Repeatable,
                                 .method = "GET",
                                 .target = std::string(FatalTarget),
                                 .deadline = std::chrono::milliseconds(3000),
                                 .isFatal = true};
    ask(relay, sent, [this, name = sent.relay](int status) { log(absl::StrCat("fatal request at ", name, " ends with status ", status)); });
    after(Pause, [this, until] { sendFatalRequests(until); });
}

void SoakWorld::ask(SoakRelay &relay, SoakLedger::Sent sent, std::function<void(int status)> onStatus)
{
    const auto id = absl::StrCat("probe-", ++m_probes);
    MessageHead head {.method = sent.method, .target = sent.target};
    head.set("Host", "shop.example");
    head.set("X-Attempt-Id", id);
    head.set("X-Deadline-Ms", absl::StrCat(sent.deadline.count()));
    head.set("X-Own", "kept");
    head.set("Authorization", "Bearer key-1");
    m_ledger.onSent(monotonicNow(), id, std::move(sent));
    const auto channel = std::make_shared<TargetChannel>(m_loop, relay.callers);
    const auto onHead = [onStatus = std::move(onStatus)](const MessageHead &answer, const std::optional<uint64_t> &) {
        onStatus(answer.status);
        return true;
    };
    channel->exchange(requestText(head),
                      false,
                      std::chrono::seconds(1),
                      {.onHead = onHead, .onBody = [](std::string_view) {}, .onEnd = [channel](ChannelEnd, const std::string &) {}});
}

} // namespace Jujube
