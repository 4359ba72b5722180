#pragma once

#include "ExitCode.h"

#include <chrono>
#include <functional>
#include <LibCore/Settings.h>
#include <ostream>

namespace Jujube
{

// The operators' command line.
class Jujubectl
{
public:
    struct Hooks {
        std::ostream &out;
        std::ostream &error;
        std::function<void(std::chrono::milliseconds)> pause;
        // Wall-clock time in milliseconds since 1970.
        std::function<int64_t()> wallMsNow;
    };

    static Settings::Options settingsOptions();

    // Runs the command that the first positional argument names.
    static ExitCode run(const Settings &settings, const Hooks &hooks);
};

} // namespace Jujube
