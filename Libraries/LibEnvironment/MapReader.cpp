#include <LibEnvironment/MapReader.h>

#include <LibCore/AbslView.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <cmath>
#include <numeric>

namespace Jujube
{

namespace
{

constexpr size_t MaxNameBytes = 63;
// Limits the cost of the search for the nearest known key, which grows with the number of unknown keys.
constexpr size_t MaxFields = 64;

// Levenshtein distance: the smallest number of inserted, deleted and replaced bytes that turns one text into the other.
size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (size_t i = 0; i < a.size(); ++i) {
        size_t diagonal = row[0];
        row[0] = i + 1;
        for (size_t j = 0; j < b.size(); ++j) {
            const size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace

bool isDocumentName(std::string_view name)
{
    const auto isLetterOrDigit = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    const auto isAllowed = [&](char c) { return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; };
    return !name.empty() && name.size() <= MaxNameBytes && isLetterOrDigit(name.front()) && std::all_of(name.begin(), name.end(), isAllowed);
}

MapReader::MapReader(const DocumentNode &node, std::string path, DocumentErrors &errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (node.kind != DocumentNode::Kind::Map && node.kind != DocumentNode::Kind::Null) {
        report("must be a map of fields");
    }
}

const DocumentNode *MapReader::find(std::string_view key)
{
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
        m_knownKeys.emplace_back(key);
    }
    for (size_t i = 0; i < m_node.keys.size(); ++i) {
        if (m_node.keys[i].text == key) {
            return &m_node.values[i];
        }
    }
    return nullptr;
}

const DocumentNode *MapReader::require(std::string_view key)
{
    const auto *node = find(key);
    if (!node) {
        report(absl::StrCat("the field \"", toAbsl(key), "\" is required"));
    }
    return node;
}

const DocumentNode *MapReader::findScalar(std::string_view key)
{
    const auto *node = find(key);
    if (node && node->kind != DocumentNode::Kind::Scalar) {
        report(*node, key, "must be a single value");
        return nullptr;
    }
    return node;
}

bool MapReader::readText(std::string_view key, std::string &out, size_t maxBytes)
{
    const auto *node = findScalar(key);
    if (!node) {
        return false;
    }
    if (node->text.empty() || node->text.size() > maxBytes) {
        report(*node, key, absl::StrCat("must have from 1 to ", maxBytes, " bytes"));
        return false;
    }
    out = node->text;
    return true;
}

std::optional<uint64_t> MapReader::numberOf(std::string_view key, uint64_t low, uint64_t high)
{
    const auto *node = findScalar(key);
    if (!node) {
        return std::nullopt;
    }
    uint64_t number = 0;
    if (!absl::SimpleAtoi(node->text, &number) || number < low || number > high) {
        report(*node, key, absl::StrCat("\"", node->text, "\" is not a whole number from ", low, " to ", high));
        return std::nullopt;
    }
    return number;
}

void MapReader::readSeconds(std::string_view key, std::chrono::milliseconds &out, std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    using Seconds = std::chrono::duration<double>;
    const auto *node = findScalar(key);
    if (!node) {
        return;
    }
    double seconds = 0;
    const bool isNumber = absl::SimpleAtod(node->text, &seconds);
    // These comparisons are false for NaN, so NaN is rejected.
    const bool isInRange = seconds >= Seconds(low).count() && seconds <= Seconds(high).count();
    if (!isNumber || !isInRange) {
        report(*node, key, absl::StrCat("\"", node->text, "\" is not a number of seconds from ", Seconds(low).count(), " to ", Seconds(high).count()));
        return;
    }
    out = std::chrono::round<std::chrono::milliseconds>(Seconds(seconds));
}

void MapReader::readBool(std::string_view key, bool &out)
{
    if (const auto index = indexOf(key, {"false", "true"})) {
        out = *index == 1;
    }
}

std::optional<size_t> MapReader::indexOf(std::string_view key, const std::vector<std::string_view> &words)
{
    const auto *node = findScalar(key);
    if (!node) {
        return std::nullopt;
    }
    const auto found = std::find(words.begin(), words.end(), node->text);
    if (found == words.end()) {
        const auto allowed = absl::StrJoin(words, ", ", [](std::string *out, std::string_view word) { out->append(word); });
        report(*node, key, absl::StrCat("\"", node->text, "\" is not one of ", allowed));
        return std::nullopt;
    }
    return static_cast<size_t>(found - words.begin());
}

std::vector<const DocumentNode *> MapReader::readItems(std::string_view key, size_t maxItems)
{
    const auto *node = find(key);
    if (!node) {
        return {};
    }
    if (node->kind != DocumentNode::Kind::Sequence) {
        report(*node, key, "must be a list");
        return {};
    }
    if (node->values.size() > maxItems) {
        report(*node, key, absl::StrCat("has more than ", maxItems, " items"));
        return {};
    }
    std::vector<const DocumentNode *> items;
    for (const auto &item : node->values) {
        if (item.kind == DocumentNode::Kind::Scalar) {
            items.push_back(&item);
        } else {
            report(item, key, "must be a list of single values");
        }
    }
    return items;
}

void MapReader::readEntries(std::string_view key, size_t maxEntries, const EntryFunction &function)
{
    const auto *node = find(key);
    if (!node || node->kind == DocumentNode::Kind::Null) {
        return;
    }
    if (node->kind != DocumentNode::Kind::Map) {
        report(*node, key, "must be a map of names");
        return;
    }
    if (node->keys.size() > maxEntries) {
        report(*node, key, absl::StrCat("has more than ", maxEntries, " entries"));
        return;
    }
    for (size_t i = 0; i < node->keys.size(); ++i) {
        const auto &name = node->keys[i].text;
        if (!isDocumentName(name)) {
            const auto rule
                = absl::StrCat("is not a name of at most ", MaxNameBytes, " characters from a-z, 0-9, '.', '_' and '-' that starts with a-z or 0-9");
            report(node->keys[i], key, absl::StrCat("\"", name, "\" ", rule));
        }
        function(name, node->values[i], absl::StrCat(pathOf(key), ".", name));
    }
}

void MapReader::report(const DocumentNode &node, std::string_view key, std::string_view text)
{
    m_errors.add(node.position, absl::StrCat(pathOf(key), ": ", toAbsl(text)));
}

void MapReader::report(std::string_view text)
{
    m_errors.add(m_node.position, absl::StrCat(m_path.empty() ? "document" : m_path, ": ", toAbsl(text)));
}

void MapReader::finish()
{
    if (m_node.keys.size() > MaxFields) {
        report(absl::StrCat("has more than ", MaxFields, " fields"));
        return;
    }
    for (const auto &key : m_node.keys) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key.text) == m_knownKeys.end()) {
            const auto nearest = nearestKnownKey(key.text);
            m_errors.add(key.position, absl::StrCat(pathOf(key.text), ": unknown key; the nearest known key is \"", nearest, "\""));
        }
    }
}

std::string MapReader::pathOf(std::string_view key) const
{
    return absl::StrCat(m_path, m_path.empty() ? "" : ".", toAbsl(key));
}

std::string MapReader::nearestKnownKey(std::string_view key) const
{
    const auto isNearer = [key](const std::string &a, const std::string &b) { return editDistance(key, a) < editDistance(key, b); };
    const auto nearest = std::min_element(m_knownKeys.begin(), m_knownKeys.end(), isNearer);
    return nearest == m_knownKeys.end() ? "" : *nearest;
}

} // namespace Jujube
