#include "GatewayPoll.h"

#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>
#include <condition_variable>
#include <mutex>

namespace Jujube
{

namespace
{

// Bounds the open connections of one poll; a fleet of 390 gateways takes 13 rounds.
constexpr size_t ConcurrentCalls = 30;
constexpr size_t AnswerLimitBytes = 64 * 1024;

// Collects the answers of one round. HttpClient delivers them on its own thread.
class Round
{
public:
    explicit Round(size_t calls)
        : m_bodies(calls)
        , m_answers(calls)
        , m_open(calls)
    {
    }

    HttpStreamSink sink(size_t index)
    {
        return {
            .onBytes =
                [this, index](int, std::string_view bytes) {
                    auto &body = m_bodies[index];
                    body.append(bytes.substr(0, AnswerLimitBytes - std::min(AnswerLimitBytes, body.size())));
                    return true;
                },
            .onEnd = [this, index](const HttpAnswer &answer) { finish(index, answer); },
        };
    }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_done.wait(lock, [this] { return m_open == 0; });
    }

    HttpAnswer takeAnswer(size_t index)
    {
        m_answers[index].body = std::move(m_bodies[index]);
        return std::move(m_answers[index]);
    }

private:
    void finish(size_t index, const HttpAnswer &answer)
    {
        const std::lock_guard lock(m_mutex);
        m_answers[index] = answer;
        --m_open;
        m_done.notify_all();
    }

    std::vector<std::string> m_bodies;
    std::vector<HttpAnswer> m_answers;
    std::mutex m_mutex;
    std::condition_variable m_done;
    size_t m_open;
};

std::optional<std::chrono::milliseconds> ageFrom(const nlohmann::json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_number() ? std::optional(std::chrono::milliseconds(found->get<int64_t>())) : std::nullopt;
}

GatewayReport reportFrom(const GatewayAddress &gateway, const HttpAnswer &answer)
{
    GatewayReport report {.gateway = gateway};
    if (!answer.isSuccess()) {
        report.problem = answer.end == HttpEnd::Complete ? absl::StrCat("status ", answer.status) : absl::StrCat("no answer: ", answer.error);
        return report;
    }
    const auto json = parseJson(answer.body);
    try {
        if (!json.ok()) {
            report.problem = "the answer is not JSON";
            return report;
        }
        report.environment = json->value("environment", "");
        report.version = json->value("version", uint64_t {0});
        report.digest = json->value("digest", "");
        report.age = ageFrom(*json, "age_ms");
        report.confirmedAge = ageFrom(*json, "confirmed_age_ms");
    } catch (const nlohmann::json::exception &error) {
        report.problem = absl::StrCat("the answer cannot be read: ", error.what());
    }
    return report;
}

} // namespace

std::vector<GatewayReport> pollGateways(HttpClient &client, const std::vector<GatewayAddress> &gateways, std::chrono::milliseconds timeout)
{
    std::vector<GatewayReport> reports;
    for (size_t first = 0; first < gateways.size(); first += ConcurrentCalls) {
        const auto count = std::min(ConcurrentCalls, gateways.size() - first);
        Round round(count);
        for (size_t i = 0; i < count; ++i) {
            const auto url = absl::StrCat("http://", gateways[first + i].address, "/environment");
            client.open({.url = url, .connectTimeout = timeout, .totalTimeout = timeout, .freshConnection = true}, round.sink(i));
        }
        round.wait();
        for (size_t i = 0; i < count; ++i) {
            reports.push_back(reportFrom(gateways[first + i], round.takeAnswer(i)));
        }
    }
    return reports;
}

} // namespace Jujube
