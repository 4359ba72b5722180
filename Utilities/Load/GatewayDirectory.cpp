#include <Load/GatewayDirectory.h>

#include <algorithm>
#include <LibCore/Json.h>
#include <LibCore/Time.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr auto RetryInterval = 1s;
constexpr auto CheckInterval = 200ms;
// Callers of one list spread over this many of its first addresses.
constexpr size_t SpreadOver = 2;

} // namespace

GatewayDirectory::GatewayDirectory(std::vector<std::string> known, std::string workspaceKey)
    : m_known(std::move(known))
    , m_workspaceKey(std::move(workspaceKey))
    , m_lists(m_known.size())
{
    for (size_t i = 0; i < m_known.size(); ++i) {
        refresh(i);
    }
    m_thread = std::thread([this] { run(); });
}

GatewayDirectory::~GatewayDirectory()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::string GatewayDirectory::choose(uint64_t site, size_t tries) const
{
    const std::lock_guard lock(m_mutex);
    const auto index = site % m_lists.size();
    const auto &addresses = m_lists[index].addresses;
    if (addresses.empty()) {
        return m_known[(index + tries) % m_known.size()];
    }
    const auto spread = (site / m_lists.size()) % std::min(SpreadOver, addresses.size());
    return addresses[(spread + tries) % addresses.size()];
}

void GatewayDirectory::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        for (size_t i = 0; i < m_lists.size() && !m_stopping; ++i) {
            if (m_lists[i].askAgain <= monotonicNow()) {
                lock.unlock();
                refresh(i);
                lock.lock();
            }
        }
        m_changed.wait_for(lock, CheckInterval);
    }
}

void GatewayDirectory::refresh(size_t index)
{
    std::vector<std::string> candidates {m_known[index]};
    {
        const std::lock_guard lock(m_mutex);
        candidates.insert(candidates.end(), m_lists[index].addresses.begin(), m_lists[index].addresses.end());
        m_lists[index].askAgain = monotonicNow() + RetryInterval;
    }
    // An outdated list stays in use while nobody answers.
    [[maybe_unused]] const bool found = std::any_of(candidates.begin(), candidates.end(), [&](const auto &address) { return askAt(address, index); });
}

bool GatewayDirectory::askAt(const std::string &address, size_t index)
{
    const auto answer = m_client.call({.url = "http://" + address + "/v1/gateways", .headers = {{"Authorization", "Bearer " + m_workspaceKey}}});
    const auto json = parseJson(answer.body);
    if (!answer.isSuccess() || !json.ok() || !json->contains("gateways")) {
        return false;
    }
    List list;
    for (const auto &gateway : json->at("gateways")) {
        list.addresses.push_back(gateway.value("address", ""));
    }
    list.askAgain = monotonicNow() + std::max(1s, std::chrono::seconds(json->value("ttl_s", int64_t {1})));
    const std::lock_guard lock(m_mutex);
    m_lists[index] = std::move(list);
    return true;
}

} // namespace Jujube
