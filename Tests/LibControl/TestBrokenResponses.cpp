#include "../Support/ByteServer.h"
#include "ControlFixture.h"

#include <absl/strings/str_cat.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

std::string reportText(const std::string &version)
{
    const std::string body
        = absl::StrCat(R"({"incarnation":1,"running":0,"cold":false,"leaving":false,"models":[{"model":"m","version":")", version, R"("}],"role":""})");
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

class BrokenEngineTest : public ControlFixture
{
protected:
    BrokenEngineTest()
    {
        m_engines["e1"].address = m_server.address().toText();
        m_engines["e2"].version = "1";
    }

    void serve(ByteServer::Connection &connection)
    {
        for (auto request = connection.readRequest(); !request.empty(); request = connection.readRequest()) {
            const bool isOrder = request.starts_with("POST /orders");
            (isOrder ? m_orders : m_reports) += 1;
            const auto &text = isOrder ? m_orderText : m_reportText;
            const size_t sent = isOrder ? m_orderBytes.load() : m_reportBytes.load();
            connection.write(std::string_view(text).substr(0, sent));
            if (sent < text.size()) {
                connection.finish();
            }
        }
    }

    std::string m_reportText = reportText("0");
    std::string m_orderText = "HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nold";
    std::atomic<size_t> m_reportBytes = std::string::npos;
    std::atomic<size_t> m_orderBytes = std::string::npos;
    std::atomic<int> m_reports = 0;
    std::atomic<int> m_orders = 0;
    ByteServer m_server {[this](ByteServer::Connection &connection) { serve(connection); }};
};

} // namespace

// Guards against a controller that gives up its lease because an engine's response to an order broke off and looked like a refusal.
TEST_F(BrokenEngineTest, BrokenResponseToAnOrderIsNoRefusal)
{
    for (size_t sent = 0; sent < m_orderText.size(); ++sent) {
        m_orderBytes = sent;
        const int ordersBefore = m_orders;
        for (int step = 0; m_orders == ordersBefore && step < 100; ++step) {
            run(500ms, true, false);
        }
        ASSERT_GT(m_orders, ordersBefore) << sent;
        ASSERT_EQ(m_first.refusals(), 0) << sent;
    }
    m_orderBytes = std::string::npos;
    run(12s, true, false);
    EXPECT_GT(m_first.refusals(), 0);
}

// Guards against orders that follow from a load report that broke off.
TEST_F(BrokenEngineTest, BrokenReportCausesNoOrders)
{
    m_reportText = reportText("1");
    run(20s, true, false);
    ASSERT_TRUE(m_first.term());
    ASSERT_EQ(m_orders, 0);
    m_reportText = reportText("0");
    for (size_t sent = 0; sent < m_reportText.size(); ++sent) {
        m_reportBytes = sent;
        const int reportsBefore = m_reports;
        for (int step = 0; m_reports == reportsBefore && step < 100; ++step) {
            run(500ms, true, false);
        }
        ASSERT_GT(m_reports, reportsBefore) << sent;
        ASSERT_EQ(m_orders, 0) << sent;
    }
    m_reportBytes = std::string::npos;
    run(12s, true, false);
    EXPECT_GT(m_orders, 0);
}

} // namespace Jujube
