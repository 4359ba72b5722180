#include "SessionHarness.h"

namespace Jujube
{

SessionHarness::SessionHarness(RequestProperties facts)
{
    facts.id = "r";
    facts.deadline = m_now + std::chrono::seconds(30);
    m_session = std::make_unique<RelaySession>(
        facts,
        RelaySession::Hooks {.choose =
                                 [this](const std::set<std::string> &excluded, MonotonicTime) {
                                     lastTargetsExcluded = excluded;
                                     TargetChoice choice;
                                     if (targetsLeft > 0) {
                                         const auto id = "t" + std::to_string(attempts.size() + excluded.size());
                                         choice.target = RelayTarget {.id = id, .incarnation = 1, .address = id + ":1"};
                                     }
                                     return choice;
                                 },
                             .chooseBackup = [this](const RelayTarget &target, MonotonicTime) -> std::optional<RelayTarget> {
                                 if (backup.empty() || target.id == backup) {
                                     return std::nullopt;
                                 }
                                 return RelayTarget {.id = backup, .incarnation = 1, .address = backup + ":1"};
                             },
                             .chooseDestination =
                                 [this](const std::set<std::string> &excluded, MonotonicTime) {
                                     lastExcluded = excluded;
                                     return hasDestination ? std::optional(RelayTarget {.id = "d", .incarnation = 1, .address = "d:1"}) : std::nullopt;
                                 },
                             .mayContinue =
                                 [this](const RelayTarget &target, MonotonicTime) {
                                     return !continuationExcluded.contains(target.id) && (reserved.contains(target.id) || !cooldowns.contains(target.id));
                                 },
                             .reserveContinuation =
                                 [this](const RelayTarget &target, MonotonicTime) {
                                     const bool isAllowed = !continuationExcluded.contains(target.id) && !cooldowns.contains(target.id);
                                     if (isAllowed) {
                                         reserved.insert(target.id);
                                     }
                                     return isAllowed;
                                 },
                             .releaseContinuations = [this] { reserved.clear(); },
                             .tryTakeRetry = [this](MonotonicTime) { return retriesLeft-- > 0; },
                             .sendAttempt =
                                 [this](const RelayAttempt &send) {
                                     reserved.erase(send.target.id);
                                     attempts.push_back(send);
                                     targetsLeft -= send.kvCacheSource.empty() ? 1 : 0;
                                 },
                             .abortAttempt = [this] { ++aborts; },
                             .startCopy = [this](const RelayTarget &, const RelayTarget &, bool stop) { copyOrders.push_back(stop); },
                             .readRuns =
                                 [this](const RelayTarget &, MonotonicTime at) {
                                     reads.push_back(at);
                                     if (statement) {
                                         m_session->onRunsRead(statement(at), m_now);
                                     }
                                 },
                             .beginResponse = [this](std::optional<uint64_t>) { ++begun; },
                             .write = [this](std::string_view bytes) { received += bytes; },
                             .finishResponse = [this] { ++finished; },
                             .respond = [this](RelayOutcome outcome, std::chrono::milliseconds) { ownResponses.push_back(outcome); },
                             .cutResponse = [this](RelayOutcome) { ++cuts; },
                             .record = [](std::string_view, std::string_view) {}});
}

void SessionHarness::startStream(std::string_view bytes)
{
    m_session->start(m_now);
    m_session->onHead(streamHead(), m_now);
    m_session->onBody(bytes, m_now);
}

std::string SessionHarness::events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: text\n\n";
    }
    return text;
}

std::vector<int> SessionHarness::receivedIds() const
{
    std::vector<int> ids;
    for (size_t position = received.find("id: "); position != std::string::npos; position = received.find("id: ", position + 1)) {
        ids.push_back(std::stoi(received.substr(position + 4)));
    }
    return ids;
}

} // namespace Jujube
