#include <glog/logging.h>
#include <iostream>
#include <LibCore/Settings.h>
#include <LibCore/StopSignals.h>
#include <LibCore/Time.h>
#include <LibGateway/Gateway.h>
#include <thread>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int ExitCannotStart = 3;

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain({.program = "jujube-gateway",
                                                  .description = "Accepts callers' requests and serves them on targets",
                                                  .version = JUJUBE_VERSION,
                                                  .settings = GatewayOptions::settings()},
                                                 argc,
                                                 argv,
                                                 exitCode);
    if (!settings) {
        return exitCode;
    }
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const StopSignals stopSignals;
    auto gateway = Gateway::start(GatewayOptions::fromSettings(*settings));
    if (!gateway.ok()) {
        std::cerr << gateway.status().message() << '\n';
        return ExitCannotStart;
    }
    std::cout << "listening on " << (*gateway)->address() << std::endl;
    stopSignals.wait();
    (*gateway)->drain();
    while (!(*gateway)->isDrained()) {
        std::this_thread::sleep_for(50ms);
    }
    return 0;
}
