#include "PlatformStandIn.h"

#include <fstream>
#include <iostream>
#include <LibCore/Json.h>
#include <LibCore/Settings.h>
#include <LibCore/StopSignals.h>
#include <sstream>

using namespace Jujube;

namespace
{

constexpr int InvalidSettings = 2;

// Reads the array "vms" of a JSON file. Returns an empty array if no file is named.
absl::StatusOr<nlohmann::json> readVms(const std::string &path)
{
    if (path.empty()) {
        return nlohmann::json::array();
    }
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    auto json = parseJson(text.str());
    if (json.ok() && (!json->is_object() || !json->contains("vms") || !(*json)["vms"].is_array())) {
        return makeError(ErrorKind::InvalidValue, path + " has no array \"vms\"");
    }
    return json.ok() ? absl::StatusOr<nlohmann::json>((*json)["vms"]) : json.status();
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings
        = Settings::parseForMain({.program = "jujube-standin-platform",
                                  .description = "A stand-in for the platform, in memory",
                                  .version = JUJUBE_VERSION,
                                  .settings = {{.name = "listen", .help = "Address to serve", .defaultValue = "127.0.0.1:8300", .check = checkAddress()},
                                               {.name = "vms-file", .help = "JSON file with the VM list at the start"}}},
                                 argc,
                                 argv,
                                 exitCode);
    if (!settings) {
        return exitCode;
    }
    const StopSignals stopSignals;
    auto vms = readVms(settings->text("vms-file"));
    if (!vms.ok()) {
        std::cerr << "--vms-file: " << vms.status().message() << '\n';
        return InvalidSettings;
    }
    const auto standIn = PlatformStandIn::start({.listen = settings->text("listen"), .vms = *std::move(vms)});
    if (!standIn.ok()) {
        std::cerr << standIn.status().message() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*standIn)->address() << std::endl;
    stopSignals.wait();
    return 0;
}
