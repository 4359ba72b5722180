#pragma once

#include <gtest/gtest.h>
#include <LibControl/OrderDuty.h>
#include <LibControl/PermitClient.h>
#include <LibControl/PermitDuty.h>
#include <StandIns/Platform/PlatformStandIn.h>

namespace Jujube
{

// An engine as far as orders and load reports go.
struct FakeEngine {
    bool honoursFencing = false;
    uint64_t highest = 0;
    std::string version;
    std::string role;
    bool isCold = true;
    int running = 0;
    // Where a server of the test plays the engine. Empty if this object does.
    std::string address;

    HttpAnswer answer(const HttpCall &call);
};

// One controller: its duties with a clock that the test sets and engines that the test plays. The platform is the stand-in.
class FakeController
{
public:
    FakeController(const std::string &name, const std::string &platform, std::map<std::string, FakeEngine> &engines, MonotonicTime start);

    // Runs every duty once, at this time.
    void step(MonotonicTime now, const std::vector<WantedTarget> &wanted);

    std::optional<LeaseTerm> term() const
    {
        return m_lease.term();
    }

    // Keeps orders back from now on, as if the process had frozen between its check of the lease and the send.
    void holdBackOrders()
    {
        m_holdsBack = true;
    }

    // Sends what was held back, as if the process had woken.
    void releaseOrders();

    // Lets 20 s pass, in which the process does not run, when it next makes a call whose URL has this part.
    void freezeOn(const std::string &urlPart)
    {
        m_freezeOn = urlPart;
    }

    int refusals() const
    {
        return m_refusals;
    }

private:
    ControlContext makeContext();
    TableClient makeTable(const std::string &platform);
    HttpAnswer callPlatform(HttpCall call);
    void freezeIfWanted(const std::string &url);
    void send(const HttpCall &call, const std::function<void(const HttpAnswer &)> &onEnd);

    std::map<std::string, FakeEngine> &m_engines;
    MonotonicTime m_now;
    HttpClient m_http;
    bool m_holdsBack = false;
    std::vector<std::function<void()>> m_heldBack;
    std::string m_freezeOn;
    // How far this process's time is ahead of the steps because of freezes.
    std::chrono::seconds m_frozen {0};
    int m_refusals = 0;
    const ControlContext m_context;
    LeaseDuty m_lease;
    ReportDuty m_reports;
    OrderDuty m_orders;
    PermitDuty m_permits;
};

// Two controllers, two engines, gateways g0 and g1, and the platform.
class ControlFixture : public testing::Test
{
protected:
    ControlFixture();

    // Steps the controllers every 500 ms for a time. A frozen controller does not run.
    void run(std::chrono::milliseconds time, bool withFirst, bool withSecond);

    void post(const std::string &path, const nlohmann::json &body);
    PermitClient permits(const std::string &gateway, uint64_t incarnation = 1);

    MonotonicTime m_now {std::chrono::seconds(1000)};
    std::unique_ptr<PlatformStandIn> m_platform;
    HttpClient m_http;
    std::map<std::string, FakeEngine> m_engines;
    std::vector<WantedTarget> m_wanted;
    FakeController m_first;
    FakeController m_second;
};

} // namespace Jujube
