#include "Jujubectl.h"

#include <iostream>
#include <LibCore/Time.h>
#include <thread>

int main(int argc, char **argv)
{
    using namespace Jujube;
    int exitCode = 0;
    const auto settings = Settings::parseForMain(Jujubectl::settingsOptions(), argc, argv, exitCode);
    if (!settings) {
        return exitCode;
    }
    const auto pause = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); };
    return static_cast<int>(Jujubectl::run(*settings, {.out = std::cout, .error = std::cerr, .pause = pause, .wallMsNow = wallMsNow}));
}
