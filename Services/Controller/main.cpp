#include "Controller.h"

#include <glog/logging.h>
#include <iostream>
#include <LibCore/StopSignals.h>

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
    const StopSignals stopSignals;
    const auto controller = Controller::start(*settings);
    if (!controller.ok()) {
        std::cerr << controller.status().message() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*controller)->address() << std::endl;
    stopSignals.wait();
    return 0;
}
