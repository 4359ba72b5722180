#include <LibGeneration/EngineLineParser.h>

#include <nlohmann/json.hpp>

namespace Jujube
{

namespace
{

constexpr size_t MaxLineBytes = 64 * 1024;

std::string stringField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

int32_t numberField(const nlohmann::json &json, const char *name)
{
    constexpr int32_t Missing = -1;
    const auto found = json.find(name);
    return found != json.end() && found->is_number_integer() ? found->get<int32_t>() : Missing;
}

} // namespace

EngineLine parseEngineLine(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    EngineLine line;
    if (!json.is_object()) {
        return line;
    }
    line.cold = json.contains("cold") && json["cold"] == true;
    if (json.contains("ka")) {
        line.kind = EngineLineKind::KeepAlive;
        return line;
    }
    line.generation = stringField(json, "g");
    line.attempt = numberField(json, "a");
    if (json.contains("done")) {
        line.count = numberField(json, "count");
        line.kind = line.count >= 0 ? EngineLineKind::Done : EngineLineKind::Invalid;
        return line;
    }
    line.offset = numberField(json, "o");
    line.text = stringField(json, "t");
    line.kind = line.offset >= 0 && json.contains("t") ? EngineLineKind::Token : EngineLineKind::Invalid;
    return line;
}

void EngineLineParser::feed(std::string_view bytes, const std::function<void(EngineLine)> &onLine)
{
    size_t start = 0;
    for (auto newline = bytes.find('\n'); newline != std::string_view::npos; newline = bytes.find('\n', start)) {
        const auto part = bytes.substr(start, newline - start);
        start = newline + 1;
        if (m_isSkippingLine) {
            m_isSkippingLine = false;
            m_partialLine.clear();
            continue;
        }
        if (m_partialLine.empty()) {
            onLine(parseEngineLine(part));
        } else {
            m_partialLine.append(part);
            onLine(parseEngineLine(m_partialLine));
            m_partialLine.clear();
        }
    }
    if (!m_isSkippingLine) {
        m_partialLine.append(bytes.substr(start));
    }
    if (m_partialLine.size() > MaxLineBytes) {
        m_partialLine.clear();
        m_isSkippingLine = true;
        onLine({});
    }
}

} // namespace Jujube
