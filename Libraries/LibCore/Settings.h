#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Returns an error text if the value is not acceptable.
using SettingCheck = std::function<std::optional<std::string>(const std::string &value)>;

// A setting of a process: a flag --some-name and an environment variable JUJUBE_SOME_NAME. The flag goes before the variable.
struct Setting {
    std::string name;
    std::string help;
    std::string defaultValue;
    SettingCheck check;
    bool required = false;
    // Secret values are never printed or logged.
    bool secret = false;
    // The value if the flag stands without one. Empty if the flag needs a value.
    std::string valueOfBareFlag = {};
};

// The settings of a process after flags, environment variables and defaults were merged and checked.
class Settings
{
public:
    struct Options {
        std::string program;
        std::string description;
        std::string version;
        std::vector<Setting> settings;
        // Looks up an environment variable; std::getenv in production.
        std::function<std::optional<std::string>(const std::string &name)> environment;
    };

    // Errors: ErrorKind::InvalidValue with one line for every mistake found.
    static absl::StatusOr<Settings> parse(const Options &options, int argc, const char *const *argv);

    // Parses for a main function: handles --help, --version and --print-settings and prints mistakes. Returns nothing if the process should exit with
    // exitCode: 0 after printing information, 2 for invalid settings.
    static std::optional<Settings> parseForMain(const Options &options, int argc, const char *const *argv, int &exitCode);

    const std::string &text(const std::string &name) const;
    int64_t number(const std::string &name) const;
    std::chrono::milliseconds milliseconds(const std::string &name) const;
    bool isOn(const std::string &name) const;
    // The elements of a comma-separated list.
    std::vector<std::string> list(const std::string &name) const;
    const std::vector<std::string> &positional() const
    {
        return m_positional;
    }

    // "name=value" lines with secrets masked.
    std::string toText() const;

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, bool> m_secret;
    std::vector<std::string> m_positional;
    bool m_helpWanted = false;
    bool m_versionWanted = false;
    bool m_printWanted = false;
};

// Accepts whole numbers from low to high.
SettingCheck checkNumber(int64_t low, int64_t high);

// Accepts "address:port".
SettingCheck checkAddress();

// Accepts comma-separated lists of "address:port", also empty ones.
SettingCheck checkAddressList();

// Accepts "on" and "off".
SettingCheck checkSwitch();

// Accepts one of the given words.
SettingCheck checkOneOf(std::vector<std::string> words);

} // namespace Jujube
