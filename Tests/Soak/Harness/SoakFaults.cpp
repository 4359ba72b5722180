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

constexpr std::chrono::milliseconds NotableTime {50};
// Requests are sent this long after the end of a bound.
constexpr std::chrono::milliseconds ProbeDelay {50};

// Every second variant of a fault takes the rarer of two forms.
bool isOdd(unsigned variant)
{
    return variant % 2 == 1;
}

StandInTarget::Behaviour behaviourOf(unsigned variant)
{
    const auto behaviour = Behaviours[variant % Behaviours.size()];
    if (!isOdd(variant / Behaviours.size())) {
        return behaviour;
    }
    switch (behaviour) {
    case StandInTarget::Behaviour::Truncate:
        return StandInTarget::Behaviour::Reset;
    case StandInTarget::Behaviour::DropResponse:
        return StandInTarget::Behaviour::Detach;
    case StandInTarget::Behaviour::Fail:
        return StandInTarget::Behaviour::DetachAndIgnoreOrders;
    default:
        return behaviour;
    }
}

bool isOfOperator(FaultKind kind)
{
    return kind == FaultKind::ChangeDocument || kind == FaultKind::GrowDocument || kind == FaultKind::Evacuate;
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
    if (m_operatorWaits && isOfOperator(fault.kind)) {
        m_waitingFaults.push_back(fault);
        return;
    }
    log(fault.toText());
    const auto begun = monotonicNow();
    strikeSubject(fault);
    if (const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - begun); took > NotableTime) {
        log(absl::StrCat("the fault took ", took.count(), " ms of the loop"));
    }
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
        growDocument(fault);
        return;
    case FaultKind::DrainSeries:
        drainSeries(fault);
        return;
    case FaultKind::StrikeDataCentre:
        strikeDataCentre(fault);
        return;
    case FaultKind::SlowRelay:
        strikeRelay(fault, *m_relays[fault.subject]);
        return;
    case FaultKind::RestoreStore:
        restoreStore(fault);
        return;
    }
}

void SoakWorld::strikeReader(Fault fault)
{
    // Readers ask the store to hold a read at least this often.
    constexpr std::chrono::milliseconds MaxReadInterval {2500};
    constexpr std::array Forms {FaultKind::KillRelay, FaultKind::PauseRelay, FaultKind::SlowRelay, FaultKind::StoreLink, FaultKind::StoreLink};
    std::vector<size_t> readers;
    for (size_t index = 0; index < m_relays.size(); ++index) {
        if (m_relays[index]->state() == SoakRelay::State::Running && monotonicNow() - m_relays[index]->heldReadAt() < MaxReadInterval) {
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
    case FaultKind::SlowRelay:
        strike(
            fault, "slowness of " + relay.options().name, [&] { relay.setSlow(true); }, [&relay] { relay.setSlow(false); });
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
            [&] { target.server->setBehaviour(behaviourOf(fault.variant)); },
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
        after(fault.duration / 2, [this, id = target.id] { removeEntry(id); });
    }
    after(fault.duration, [this, &target, keepsId] {
        if (target.isDown && !keepsId) {
            removeEntry(target.id);
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
        removeEntry(target.id);
    } else {
        target.server->setReportsLeaving();
        registerTarget(target, "draining");
    }
    if (m_active["store"] == 0) {
        m_ledger.forbidTarget(target.id, "drain", monotonicNow() + m_bounds.drain);
        after(m_bounds.drain + ProbeDelay, [this] { probeRelays(std::nullopt); });
    }
    after(m_bounds.drain + fault.duration, [this, &target, name] {
        --m_active[name];
        removeEntry(target.id);
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
        writeAsOperator(row, "{}");
        m_evacuatedSince.try_emplace(dataCentre, now);
        for (const auto &target : m_targets) {
            if (target->dataCentre == dataCentre && m_active["store"] == 0) {
                m_ledger.forbidTarget(target->id, "evacuation", now + SoakBounds::Evacuation);
            }
        }
    };
    if (m_active["store"] == 0) {
        after(SoakBounds::Evacuation + ProbeDelay, [this] { probeRelays(std::nullopt); });
    }
    strike(fault, row, begin, [this, dataCentre, row] {
        writeAsOperator(row, std::nullopt);
        m_evacuatedSince.erase(dataCentre);
        for (const auto &target : m_targets) {
            if (target->dataCentre == dataCentre) {
                m_ledger.allowTarget(target->id, "evacuation");
            }
        }
    });
}

void SoakWorld::drainSeries(const Fault &fault)
{
    constexpr unsigned MaxTargets = 8;
    constexpr unsigned MaxPauseMs = 300;
    // Every second series at once.
    const std::chrono::milliseconds pause(isOdd(fault.variant) ? (fault.variant / 2) % MaxPauseMs : 0);
    // At least half of a service's targets stay.
    const auto count = std::min<size_t>(2 + fault.variant / 4 % MaxTargets, std::max<size_t>(1, m_options.targets / 2));
    auto drain = fault;
    drain.kind = FaultKind::DrainTarget;
    const auto first = fault.subject - fault.subject % m_options.targets;
    for (size_t number = 0; number < count; ++number) {
        drain.subject = first + (fault.subject + number) % m_options.targets;
        ++drain.variant;
        after(pause * number, [this, drain] { apply(drain); });
    }
}

void SoakWorld::strikeDataCentre(const Fault &fault)
{
    constexpr std::array Forms {FaultKind::KillRelay, FaultKind::PauseRelay, FaultKind::StoreLink};
    auto strike = fault;
    strike.kind = Forms[fault.variant % Forms.size()];
    strike.variant /= Forms.size();
    std::vector<size_t> subjects;
    for (size_t index = 0; index < m_relays.size(); ++index) {
        if (m_relays[index]->options().dataCentre == m_relays[fault.subject]->options().dataCentre && m_relays[index]->wasStarted()) {
            subjects.push_back(index);
        }
    }
    if (strike.kind == FaultKind::KillRelay) {
        for (const auto index : subjects) {
            m_relays[index]->beginKill();
        }
    }
    for (const auto index : subjects) {
        strike.subject = index;
        strikeSubject(strike);
    }
}

std::string SoakWorld::addRoute(const std::string &name)
{
    m_document.addedRoutes.push_back(name);
    return name;
}

std::string SoakWorld::dropRoute(size_t index)
{
    auto route = m_document.addedRoutes[index];
    m_document.addedRoutes.erase(m_document.addedRoutes.begin() + static_cast<ptrdiff_t>(index));
    m_document.movedRoutes.erase(route);
    return route;
}

void SoakWorld::changeDocument(unsigned variant)
{
    constexpr unsigned MostStep = 5;
    enum class Change {
        AddRoute,
        DropRoute,
        MoveRoute,
        AddKey,
        DropKey,
    };
    constexpr unsigned Changes = 5;
    m_document.version += 1 + variant % MostStep;
    const auto drawn = variant / MostStep;
    auto &routes = m_document.addedRoutes;
    auto &keys = m_document.keys;
    // Without changes in series, the document changes in its routes only.
    auto change = static_cast<Change>(m_options.tableChanges > 0 ? drawn % Changes : drawn % 2);
    if ((routes.empty() && change != Change::AddKey && change != Change::DropKey) || (keys.size() == 1 && change == Change::DropKey)) {
        change = Change::AddRoute;
    }
    const auto picked = routes.empty() || m_options.tableChanges == 0 ? 0 : drawn / Changes % routes.size();
    DocumentHistory::Subject subject {.route = "status", .key = keys.front()};
    switch (change) {
    case Change::AddRoute:
        subject.route = addRoute(absl::StrCat("added-", m_document.version));
        break;
    case Change::DropRoute:
        subject.route = dropRoute(picked);
        break;
    case Change::MoveRoute:
        subject.route = routes[picked];
        if (m_document.movedRoutes.erase(subject.route) == 0) {
            m_document.movedRoutes[subject.route] = m_document.addedServices.front();
        }
        break;
    case Change::AddKey:
        subject.key = absl::StrCat("key-of-", m_document.version);
        keys.push_back(subject.key);
        break;
    case Change::DropKey:
        subject.key = keys.back();
        keys.pop_back();
        break;
    }
    writeDocument(subject);
}

void SoakWorld::growDocument(const Fault &fault)
{
    // All growths of a run together.
    constexpr size_t MaxRoutes = 1400;
    ++m_document.version;
    const auto growths = std::max<size_t>(1, fault.subject);
    const auto count = MaxRoutes / growths / 2 + fault.variant % (MaxRoutes / growths / 2);
    std::string route;
    for (size_t number = 0; number <= count; ++number) {
        route = addRoute(absl::StrCat("added-", m_document.version, "-", number));
    }
    writeDocument({.route = route, .key = m_document.keys.front()});
}

void SoakWorld::confirmDocument()
{
    const auto text = m_document.toText();
    m_documentBytes = std::max(m_documentBytes, text.size());
    writeAsOperator("config", text);
    DocumentHistory::Document document {.routes = {{"draft", "engine"}, {"hint", "engine"}, {"commit", "desk"}, {"status", "desk"}}};
    for (const auto &route : m_document.addedRoutes) {
        document.routes.emplace(route, m_document.serviceOf(route));
    }
    document.keys.insert(m_document.keys.begin(), m_document.keys.end());
    const auto now = monotonicNow();
    m_ledger.onDocument(now, std::move(document));
    m_writes.push_back({.version = m_document.version, .at = now, .wallMs = wallMsNow()});
}

void SoakWorld::writeDocument(const DocumentHistory::Subject &subject)
{
    confirmDocument();
    log(absl::StrCat("document ", m_document.version, " with ", m_document.addedRoutes.size(), " routes changes /", subject.route, " with ", subject.key));
    m_subjects.push_back(subject);
    after(m_bounds.document + ProbeDelay, [this, subject] { probeRelays(subject); });
}

void SoakWorld::probeRelays(const std::optional<DocumentHistory::Subject> &subject)
{
    // Relays, targets and the soak itself get the requests one after the other.
    constexpr std::chrono::milliseconds ProbePause {2};
    for (size_t index = 0; index < m_relays.size(); ++index) {
        after(ProbePause * index, [this, index, subject] { probe(*m_relays[index], subject); });
    }
}

void SoakWorld::probe(SoakRelay &relay, const std::optional<DocumentHistory::Subject> &subject)
{
    if (relay.state() != SoakRelay::State::Running) {
        return;
    }
    const SoakLedger::Sent sent {.relay = relay.options().name,
                                 .kind = SoakKind::Repeatable,
                                 .method = "GET",
                                 .target = subject ? absl::StrCat("/", subject->route, "/x") : "/status/x",
                                 .proper = !subject,
                                 .subject = subject,
                                 .deadline = std::chrono::milliseconds(3000)};
    ask(relay, sent, [](int) {});
}

void SoakWorld::probeNext()
{
    // Each relay gets a request in this time.
    constexpr std::chrono::milliseconds Round {1000};
    constexpr uint64_t Forms = 3;
    if (!m_isProbing) {
        return;
    }
    std::optional<DocumentHistory::Subject> subject;
    const auto form = m_random() % Forms;
    if (form > 0 && !m_subjects.empty()) {
        // Half of the requests are about the newest change.
        subject = form == 1 ? m_subjects.back() : m_subjects[m_random() % m_subjects.size()];
    }
    probe(*m_relays[m_probedRelay++ % m_relays.size()], subject);
    after(std::max(std::chrono::milliseconds(1), Round / static_cast<int>(m_relays.size())), [this] { probeNext(); });
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

void SoakWorld::ask(SoakRelay &relay, SoakLedger::Sent sent, std::function<void(int status)> onStatus, const std::string &body)
{
    // A caller waits this much longer than its deadline for the network.
    constexpr std::chrono::milliseconds DeadlineSlack {1000};
    const auto id = absl::StrCat("probe-", ++m_probes);
    MessageHead head {.method = sent.method, .target = sent.target};
    head.set("Host", "shop.example");
    head.set("X-Attempt-Id", id);
    head.set("X-Deadline-Ms", absl::StrCat(sent.deadline.count()));
    head.set("X-Own", "kept");
    head.set("Authorization", absl::StrCat("Bearer ", sent.subject ? sent.subject->key : "key-1"));
    if (!sent.prompt.empty()) {
        head.set("X-Token-Usage", std::string(SoakPrompts::TokenUsage));
        head.set("X-Prefix-Hash", sent.prompt);
    }
    if (!body.empty()) {
        head.set("Content-Length", absl::StrCat(body.size()));
    }
    const auto deadline = sent.deadline;
    const bool isFatal = sent.isFatal;
    m_ledger.onSent(monotonicNow(), id, std::move(sent));
    const auto channel = std::make_shared<TargetChannel>(m_loop, relay.callers);
    const auto answer = std::make_shared<SoakLedger::Answer>();
    const auto hasEnded = std::make_shared<bool>(false);
    const auto onEnd = [this, id, answer, hasEnded, isFatal, onStatus = std::move(onStatus)](bool isComplete) {
        if (std::exchange(*hasEnded, true)) {
            return;
        }
        answer->complete = isComplete;
        // The request that crashes targets breaks other promises while it does so.
        if (!isFatal) {
            m_ledger.onAnswer(monotonicNow(), id, *answer);
        }
        onStatus(answer->status);
    };
    const auto onHead = [answer](const MessageHead &message, const std::optional<uint64_t> &) {
        answer->status = message.status;
        answer->echoedId = std::string(message.value("X-Attempt-Id"));
        answer->seal = std::string(message.value("X-Server-Seal"));
        answer->namesLimit = message.has("Server-Limit");
        return true;
    };
    channel->exchange(requestText(head) + body,
                      false,
                      std::chrono::seconds(1),
                      {.onHead = onHead,
                       .onBody = [answer](std::string_view bytes) { answer->body += bytes; },
                       .onEnd =
                           [onEnd, answer](ChannelEnd end, const std::string &) {
                               answer->wasSent = end != ChannelEnd::NotSent;
                               onEnd(end == ChannelEnd::Complete);
                           }});
    after(deadline + DeadlineSlack, [channel, onEnd, answer, hasEnded] {
        if (!*hasEnded) {
            answer->gaveUp = true;
            channel->abort();
            onEnd(false);
        }
    });
}

} // namespace Jujube
