#include "PlannedCaller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr uint64_t Percent = 100;
constexpr std::chrono::milliseconds ConnectTimeout {1000};
constexpr std::chrono::milliseconds ShortPause {300};
constexpr std::chrono::milliseconds LongPause {6000};

// The value of a query field, or zero.
int64_t queryNumber(std::string_view target, std::string_view name)
{
    const auto at = target.find(absl::StrCat(toAbsl(name), "="));
    int64_t value = 0;
    if (at != std::string_view::npos) {
        const auto text = target.substr(at + name.size() + 1);
        (void)absl::SimpleAtoi(toAbsl(text.substr(0, text.find('&'))), &value);
    }
    return value;
}

} // namespace

std::string PlannedWork::toQuery() const
{
    return absl::StrCat("work=", time.count(), "&before=", pausesBefore, "&pause=", pause.count());
}

PlannedWork PlannedWork::parse(std::string_view target)
{
    return {.time = std::chrono::milliseconds(queryNumber(target, "work")),
            .pausesBefore = static_cast<int>(queryNumber(target, "before")),
            .pause = std::chrono::milliseconds(queryNumber(target, "pause"))};
}

PlannedCaller::PlannedCaller(boost::asio::io_context &loop, SoakLedger &ledger, PlannedLosses &losses, Options options, Hooks hooks)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_losses(losses)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_random(m_options.seed)
    , m_pause(loop)
{
}

uint64_t PlannedCaller::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
}

void PlannedCaller::start()
{
    pauseThenSend(std::chrono::milliseconds(below(ShortPause.count())));
}

void PlannedCaller::stop()
{
    m_stopped = true;
    m_pause.cancel();
}

void PlannedCaller::pauseThenSend(std::chrono::milliseconds pause)
{
    if (m_stopped) {
        return;
    }
    m_pause.expires_after(pause);
    m_pause.async_wait([this](const LoopError &error) {
        if (!error) {
            send();
        }
    });
}

std::chrono::milliseconds PlannedCaller::drawAround(std::chrono::milliseconds median)
{
    constexpr double Spread = 0.9;
    const double factor = std::lognormal_distribution<double>(0, Spread)(m_random);
    return std::chrono::milliseconds(static_cast<int64_t>(static_cast<double>(median.count()) * factor));
}

SoakLedger::Sent PlannedCaller::drawGeneration(SoakKind kind)
{
    constexpr double FewestTokens = 30;
    constexpr double Doublings = 4.5;
    constexpr std::chrono::microseconds TimePerToken {10500};
    constexpr std::chrono::milliseconds Shortest {300};
    constexpr std::chrono::milliseconds Longest {14000};
    constexpr uint64_t PausePercent = 25;
    constexpr std::chrono::milliseconds ShortestPause {1000};
    constexpr uint64_t MostFurtherPauseMs = 3000;
    constexpr uint64_t Events = 30;
    // From 0.3 s to 7 s, and as many short ones as long ones.
    m_lengthHint = static_cast<int64_t>(FewestTokens * std::exp2(std::uniform_real_distribution<double>(0, Doublings)(m_random)));
    const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(TimePerToken * m_lengthHint);
    PlannedWork work {.time = std::clamp(drawAround(expected), Shortest, Longest)};
    if (below(Percent) < PausePercent) {
        // Half of the pauses come before the first event, as those of an engine with a queue do.
        work.pausesBefore = below(2) == 0 ? 1 : 1 + static_cast<int>(below(Events));
        work.pause = ShortestPause + std::chrono::milliseconds(below(MostFurtherPauseMs));
    }
    return {.kind = kind,
            .method = "POST",
            .target = absl::StrCat(kind == SoakKind::Generation ? "/draft/x?" : "/hint/x?", work.toQuery()),
            .deadline = PlannedRoutes::Generation,
            .routeTimeout = PlannedRoutes::Generation};
}

SoakLedger::Sent PlannedCaller::drawCall(SoakKind kind)
{
    constexpr std::chrono::milliseconds Median {300};
    constexpr std::chrono::milliseconds ShortestDeadline {1000};
    const auto timeout = kind == SoakKind::OneTime ? PlannedRoutes::OneTime : PlannedRoutes::Repeatable;
    m_lengthHint = 0;
    // Some targets work for almost as long as the route allows.
    const auto time = below(4) == 0 ? std::chrono::milliseconds(below(timeout.count())) : std::min(drawAround(Median), timeout);
    const auto deadline = ShortestDeadline + std::chrono::milliseconds(below(PlannedRoutes::OneTime.count()));
    return {.kind = kind,
            .method = "POST",
            .target = absl::StrCat(kind == SoakKind::OneTime ? "/commit/x?" : "/status/x?", PlannedWork {.time = time}.toQuery()),
            .deadline = deadline,
            .routeTimeout = timeout};
}

SoakLedger::Sent PlannedCaller::drawRequest()
{
    const auto drawn = below(Percent);
    if (drawn < 30) {
        return drawCall(SoakKind::OneTime);
    }
    if (drawn < 50) {
        return drawCall(SoakKind::Repeatable);
    }
    return drawGeneration(drawn < 85 ? SoakKind::Generation : SoakKind::ResumableGeneration);
}

std::string PlannedCaller::textOf(const SoakLedger::Sent &sent)
{
    constexpr uint64_t MostBodyBytes = 20000;
    const std::string body(below(MostBodyBytes), 'b');
    const bool inChunks = below(2) == 0;
    MessageHead head {.method = sent.method, .target = sent.target};
    head.set("Host", "shop.example");
    head.set("X-Attempt-Id", m_id);
    head.set("X-Deadline-Ms", absl::StrCat(sent.deadline.count()));
    head.set("Authorization", "Bearer key-1");
    head.set("X-Own", "kept");
    if (isGeneration(sent.kind)) {
        head.set("X-Token-Usage", "400,1500");
        head.set("X-Length-Hint", absl::StrCat(m_lengthHint));
    }
    if (inChunks) {
        head.set("Transfer-Encoding", "chunked");
        return requestText(head) + (body.empty() ? "" : absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n")) + "0\r\n\r\n";
    }
    head.set("Content-Length", absl::StrCat(body.size()));
    return requestText(head) + body;
}

void PlannedCaller::send()
{
    const auto now = monotonicNow();
    const bool isOnKept = m_channel && m_channel->isReusable();
    if (!isOnKept) {
        m_relay = m_hooks.chooseRelay(m_random());
        if (!m_relay) {
            pauseThenSend(ShortPause);
            return;
        }
        m_channel = std::make_shared<TargetChannel>(m_loop, m_relay->address);
    }
    auto sent = drawRequest();
    sent.relay = m_relay->name;
    m_id = absl::StrCat(m_options.name, "-", ++m_sent);
    m_answer = {};
    const auto limit = std::min(sent.deadline, sent.routeTimeout);
    m_losses.onSent(now, m_id, {.relay = sent.relay, .target = sent.target, .limit = limit, .isOnKept = isOnKept});
    const auto text = textOf(sent);
    m_ledger.onSent(now, m_id, std::move(sent));
    m_channel->exchange(text,
                        false,
                        ConnectTimeout,
                        {.onHead =
                             [this](const MessageHead &head, const std::optional<uint64_t> &) {
                                 onHead(head);
                                 return true;
                             },
                         .onBody = [this](std::string_view bytes) { m_answer.body += bytes; },
                         .onEnd = [this](ChannelEnd end, const std::string &) { onEnd(end); }});
}

void PlannedCaller::onHead(const MessageHead &head)
{
    m_answer.status = head.status;
    m_answer.echoedId = std::string(head.value("X-Attempt-Id"));
    m_answer.seal = std::string(head.value("X-Server-Seal"));
}

void PlannedCaller::onEnd(ChannelEnd end)
{
    constexpr uint64_t LongPausePercent = 30;
    const auto now = monotonicNow();
    m_answer.complete = end == ChannelEnd::Complete;
    const auto id = std::exchange(m_id, {});
    m_ledger.onAnswer(now, id, m_answer);
    // What was never sent cannot be lost.
    const bool isOver = m_answer.complete || end == ChannelEnd::NotSent;
    if (const auto lost = m_losses.onEnd(now, id, isOver, m_answer.status, m_answer.body.size())) {
        m_hooks.onLost(*lost);
    }
    const auto most = below(Percent) < LongPausePercent ? LongPause : ShortPause;
    pauseThenSend(std::chrono::milliseconds(below(most.count())));
}

} // namespace Jujube
