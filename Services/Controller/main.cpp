#include "Controller.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>

using namespace Jujube;

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(controllerSettings(JUJUBE_VERSION), argc, argv, exitCode);
    if (!settings) {
        return exitCode;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    // Blocked before the first thread starts, so that the signals reach sigwait() only.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto controller = Controller::start(*settings);
    if (!controller.ok()) {
        std::cerr << controller.status().message() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*controller)->address() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
