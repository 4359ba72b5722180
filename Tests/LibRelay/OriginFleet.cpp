#include "OriginFleet.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

constexpr auto StepTime = 100ms;
// A relay counts as alive for this time after its last heartbeat.
constexpr auto SilenceTimeout = 2500ms;
// A relay has discovered its peers after this time.
constexpr auto DiscoveryTime = 2000ms;
constexpr size_t MaxReports = 1000;

} // namespace

OriginFleet::OriginFleet(int relays)
    : m_relays(static_cast<size_t>(relays))
{
    for (int relay = 0; relay < relays; ++relay) {
        m_relays[static_cast<size_t>(relay)].node = absl::StrCat("n", relay);
        start(relay);
    }
    run(6s);
}

void OriginFleet::start(int relay)
{
    auto &member = m_relays.at(static_cast<size_t>(relay));
    member.incarnation = ++m_starts;
    member.startedAt = m_now;
    member.origins = std::make_unique<StreamOrigins>(StreamOrigins::Options {});
    member.keepers = std::make_unique<StreamOriginKeepers>(
        StreamOriginKeepers::Options {.ownNode = member.node, .ownAddress = member.node, .ownIncarnation = member.incarnation});
    m_unsettledUntil = m_now + SilenceTimeout + StepTime;
}

void OriginFleet::kill(int relay)
{
    auto &member = m_relays.at(static_cast<size_t>(relay));
    member.lastHeardAt = m_now;
    member.origins.reset();
    member.keepers.reset();
    m_unsettledUntil = m_now + SilenceTimeout + StepTime;
}

void OriginFleet::setCut(int relay, bool isCut)
{
    auto &member = m_relays.at(static_cast<size_t>(relay));
    member.isCut = isCut;
    member.lastHeardAt = m_now;
    m_unsettledUntil = m_now + SilenceTimeout + StepTime;
}

void OriginFleet::run(std::chrono::milliseconds time)
{
    for (const auto end = m_now + time; m_now < end; m_now += StepTime) {
        step();
    }
}

void OriginFleet::step()
{
    for (auto &relay : m_relays) {
        if (!relay.keepers) {
            continue;
        }
        if (m_now <= m_unsettledUntil) {
            updateView(relay);
        }
        if (relay.keepers->needsHandover()) {
            handOver(relay);
        }
        report(relay);
    }
}

void OriginFleet::updateView(Member &relay)
{
    std::vector<StreamOriginKeepers::Relay> live;
    for (const auto &other : m_relays) {
        if (&other == &relay) {
            continue;
        }
        const bool isUp = other.keepers && isHeard(other, relay);
        // The times of the last heartbeats, also of those that are cut off and have not been missed yet.
        const auto heardAt = isUp ? m_now : std::max(other.lastHeardAt, relay.isCut ? relay.lastHeardAt : other.lastHeardAt);
        if (isUp || (m_now - heardAt < SilenceTimeout && heardAt >= relay.startedAt)) {
            live.push_back({.node = other.node, .address = other.node, .incarnation = other.incarnation, .heardAt = heardAt});
        }
    }
    relay.keepers->update(std::move(live), m_now);
}

void OriginFleet::handOver(Member &relay)
{
    using Scope = StreamOriginKeepers::HandoverScope;
    relay.keepers->beginHandover(m_now - relay.startedAt >= DiscoveryTime ? Scope::All : Scope::SinceOwnStart);
    for (const auto key : relay.origins->keys()) {
        const auto record = relay.origins->known(key, m_now);
        if (!record) {
            continue;
        }
        for (const auto &address : relay.keepers->receiversOf(key, record->isOwn, record->recordedAt)) {
            ++m_handedOver;
            for (const auto &origin : record->origins) {
                send(relay, address, origin);
            }
        }
    }
}

void OriginFleet::report(Member &relay)
{
    for (const auto &origin : relay.origins->takeReports(MaxReports, m_now)) {
        for (const auto &address : relay.keepers->keepersOf(origin.key)) {
            send(relay, address, origin);
        }
    }
}

void OriginFleet::send(const Member &from, const std::string &address, const StreamOrigin &origin)
{
    const auto to = std::ranges::find(m_relays, address, &Member::node);
    if (to != m_relays.end() && to->origins && isHeard(from, *to)) {
        to->origins->recordReported(origin, m_now);
    }
}

void OriginFleet::begin(int relay, uint64_t key)
{
    auto &member = m_relays.at(static_cast<size_t>(relay));
    member.origins->recordOwn(key, "v1", m_now + 5min, m_now);
    report(member);
}

bool OriginFleet::isKnownAt(int relay, uint64_t key) const
{
    const auto &member = m_relays.at(static_cast<size_t>(relay));
    if (member.origins->version(key, m_now)) {
        return true;
    }
    const auto asked = member.keepers->relaysToAsk(key, m_now);
    return std::ranges::any_of(m_relays, [&](const Member &other) {
        const bool isAsked = other.origins && isHeard(other, member) && std::ranges::find(asked, other.node) != asked.end();
        return isAsked && other.origins->version(key, m_now);
    });
}

} // namespace Jujube
