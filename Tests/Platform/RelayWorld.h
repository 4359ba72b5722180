#pragma once

#include <LibRelayServer/Relay.h>
#include <platform/StandIns/StandInServer.h>
#include <platform/StandIns/StandInStore.h>

namespace Jujube
{

// A store, servers and relays on one loop, and callers that connect to a relay.
class RelayWorld
{
public:
    RelayWorld();
    ~RelayWorld();

    // Starts a relay. Its addresses are on the loopback interface.
    Relay &addRelay(const std::string &node);

    // Starts a server and registers it in the store.
    StandInServer &addServer(const std::string &id, const std::string &service, int events = 0, const std::string &dataCentre = "lahore");
    void registerServer(const std::string &id, const std::string &state, int64_t born = 1);
    void unregisterServer(const std::string &id);

    // Writes a document with the routes /draft/, /hint/, /commit/ and /status/.
    void writeDocument(int64_t version, const std::string &key = "key-1");

    // Runs the loop until the condition holds. Returns whether it did within the time.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds most = std::chrono::seconds(8));
    void runFor(std::chrono::milliseconds time);

    // Waits until a relay serves requests, by its readiness.
    bool waitReady(const std::string &node);

    // Sends a request to a relay and waits for its end.
    struct Answer {
        int status = 0;
        std::string body;
        ChannelEnd end = ChannelEnd::NotSent;
        MessageHead head;
    };
    struct Request {
        std::string path;
        std::string id = "r1";
        std::string method = "POST";
        std::string key = "key-1";
        std::vector<HeaderField> fields;
        std::string body = "{}";
    };
    Answer call(const std::string &node, const Request &request, std::chrono::milliseconds most = std::chrono::seconds(8));
    // Starts a request whose answer is filled in as it arrives.
    std::shared_ptr<TargetChannel> begin(const std::string &node, const Request &request, const std::shared_ptr<Answer> &answer);
    int readiness(const std::string &node);
    std::string directory(const std::string &node);

    boost::asio::io_context loop;
    std::unique_ptr<StandInStore> store;

private:
    struct Node {
        RelayOptions options;
        std::unique_ptr<Relay> relay;
    };
    struct Server {
        std::string service;
        std::string dataCentre;
        Endpoint address;
        std::unique_ptr<StandInServer> server;
    };

    int get(const Endpoint &address, const std::string &path, std::string *body);

    LineWriter m_lines;
    Endpoint m_storeAddress;
    std::map<std::string, Node> m_nodes;
    std::map<std::string, Server> m_servers;
};

} // namespace Jujube
