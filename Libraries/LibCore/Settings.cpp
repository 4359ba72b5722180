#include <LibCore/Settings.h>

#include <LibCore/Error.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace Jujube
{

namespace
{

constexpr int64_t MaxPort = 65535;

std::string environmentName(const std::string &name)
{
    return "JUJUBE_" + absl::AsciiStrToUpper(absl::StrReplaceAll(name, {{"-", "_"}}));
}

std::optional<std::string> environmentValue(const Settings::Options &options, const std::string &name)
{
    if (options.environment) {
        return options.environment(name);
    }
    const char *value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

cxxopts::Options makeParser(const Settings::Options &options)
{
    cxxopts::Options parser(options.program, options.description);
    auto add = parser.add_options();
    for (const auto &setting : options.settings) {
        const auto help
            = absl::StrCat(setting.help, " (", environmentName(setting.name), setting.defaultValue.empty() ? "" : ", default " + setting.defaultValue, ")");
        const auto value = cxxopts::value<std::string>();
        if (!setting.valueOfBareFlag.empty()) {
            value->implicit_value(setting.valueOfBareFlag);
        }
        add(setting.name, help, value, "VALUE");
    }
    add("help", "Print this help");
    add("version", "Print the version");
    add("print-settings", "Print the settings in force and exit");
    add("positional", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional("positional");
    return parser;
}

} // namespace

absl::StatusOr<Settings> Settings::parse(const Options &options, int argc, const char *const *argv)
{
    auto parser = makeParser(options);
    std::vector<std::string> mistakes;
    Settings result;
    cxxopts::ParseResult parsed;
    try {
        parsed = parser.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        return makeError(ErrorKind::InvalidValue, error.what());
    }
    result.m_helpWanted = parsed.count("help") > 0;
    result.m_versionWanted = parsed.count("version") > 0;
    result.m_printWanted = parsed.count("print-settings") > 0;
    if (parsed.count("positional") > 0) {
        result.m_positional = parsed["positional"].as<std::vector<std::string>>();
    }
    for (const auto &setting : options.settings) {
        std::string value = setting.defaultValue;
        bool given = false;
        if (parsed.count(setting.name) > 0) {
            value = parsed[setting.name].as<std::string>();
            given = true;
        } else if (auto fromEnvironment = environmentValue(options, environmentName(setting.name))) {
            value = *fromEnvironment;
            given = true;
        }
        if (setting.required && !given) {
            mistakes.push_back(absl::StrCat("--", setting.name, ": a value is required"));
        } else if (setting.check && (given || !value.empty())) {
            if (auto mistake = setting.check(value)) {
                mistakes.push_back(absl::StrCat("--", setting.name, ": ", *mistake));
            }
        }
        result.m_values[setting.name] = value;
        result.m_secret[setting.name] = setting.secret;
    }
    const bool informationWanted = result.m_helpWanted || result.m_versionWanted;
    if (!mistakes.empty() && !informationWanted) {
        return makeError(ErrorKind::InvalidValue, absl::StrJoin(mistakes, "\n"));
    }
    return result;
}

std::optional<Settings> Settings::parseForMain(const Options &options, int argc, const char *const *argv, int &exitCode)
{
    constexpr int InvalidSettings = 2;
    auto settings = parse(options, argc, argv);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\nSee " << options.program << " --help\n";
        exitCode = InvalidSettings;
        return std::nullopt;
    }
    exitCode = 0;
    if (settings->m_helpWanted) {
        std::cout << makeParser(options).help() << '\n';
        return std::nullopt;
    }
    if (settings->m_versionWanted) {
        std::cout << options.program << ' ' << options.version << '\n';
        return std::nullopt;
    }
    if (settings->m_printWanted) {
        std::cout << settings->toText();
        return std::nullopt;
    }
    return *std::move(settings);
}

const std::string &Settings::text(const std::string &name) const
{
    return m_values.at(name);
}

int64_t Settings::number(const std::string &name) const
{
    int64_t value = 0;
    // The setting's check has accepted the text already.
    [[maybe_unused]] const bool isNumber = absl::SimpleAtoi(text(name), &value);
    return value;
}

std::chrono::milliseconds Settings::milliseconds(const std::string &name) const
{
    return std::chrono::milliseconds(number(name));
}

bool Settings::isOn(const std::string &name) const
{
    return text(name) == "on";
}

std::vector<std::string> Settings::list(const std::string &name) const
{
    return absl::StrSplit(text(name), ',', absl::SkipWhitespace());
}

std::string Settings::toText() const
{
    std::string out;
    for (const auto &[name, value] : m_values) {
        const bool masked = m_secret.at(name) && !value.empty();
        absl::StrAppend(&out, name, "=", masked ? "***" : value, "\n");
    }
    return out;
}

SettingCheck checkNumber(int64_t low, int64_t high)
{
    return [low, high](const std::string &value) -> std::optional<std::string> {
        int64_t number = 0;
        if (!absl::SimpleAtoi(value, &number) || number < low || number > high) {
            return absl::StrCat("\"", value, "\" is not a whole number from ", low, " to ", high);
        }
        return std::nullopt;
    };
}

SettingCheck checkAddress()
{
    return [](const std::string &value) -> std::optional<std::string> {
        const auto colon = value.rfind(':');
        int64_t port = 0;
        if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(value.substr(colon + 1), &port) || port < 0 || port > MaxPort) {
            return absl::StrCat("\"", value, "\" is not an address of the form 127.0.0.1:8100");
        }
        return std::nullopt;
    };
}

SettingCheck checkAddressList()
{
    return [check = checkAddress()](const std::string &value) -> std::optional<std::string> {
        for (const auto part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            if (auto mistake = check(std::string(part))) {
                return mistake;
            }
        }
        return std::nullopt;
    };
}

SettingCheck checkSwitch()
{
    return checkOneOf({"on", "off"});
}

SettingCheck checkOneOf(std::vector<std::string> words)
{
    return [words = std::move(words)](const std::string &value) -> std::optional<std::string> {
        if (std::find(words.begin(), words.end(), value) == words.end()) {
            return absl::StrCat("\"", value, "\" is not one of ", absl::StrJoin(words, ", "));
        }
        return std::nullopt;
    };
}

} // namespace Jujube
