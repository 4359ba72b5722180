#pragma once

#include <gtest/gtest.h>
#include <LibPlatform/TableClient.h>
#include <StandIns/Platform/PlatformStandIn.h>

namespace Jujube
{

// A stand-in for the platform within the test's process, and a client for it.
class PlatformFixture : public testing::Test
{
protected:
    PlatformFixture()
        : m_platform(*PlatformStandIn::start({}))
    {
    }

    HttpTransport transport()
    {
        return [this](HttpCall call) { return m_http.call(std::move(call)); };
    }

    TableClient table()
    {
        return TableClient({.address = m_platform->address(), .transport = transport()});
    }

    void setFaults(const nlohmann::json &faults)
    {
        ASSERT_EQ(post("/faults", faults).status, 200);
    }

    HttpAnswer post(const std::string &path, const nlohmann::json &body)
    {
        return m_http.call({.method = "POST", .url = "http://" + m_platform->address() + path, .body = body.dump()});
    }

    std::unique_ptr<PlatformStandIn> m_platform;
    HttpClient m_http;
};

} // namespace Jujube
