#pragma once

#include <absl/strings/str_cat.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <LibEnvironment/DocumentErrors.h>
#include <optional>
#include <string_view>

namespace Jujube
{

// Reads the fields of one map of a document. The output variable keeps its value if the field is absent or invalid; an invalid field is reported.
class MapReader
{
public:
    // `path` identifies the map in error messages, for example "targets.engine-1". A null node counts as an empty map.
    MapReader(const DocumentNode &node, std::string path, DocumentErrors &errors);

    // Returns nothing if the key is absent.
    const DocumentNode *find(std::string_view key);

    // Reports an error if the key is absent.
    const DocumentNode *require(std::string_view key);

    // Reports an empty text or one over the limit as an error. Returns whether the variable was set.
    bool readText(std::string_view key, std::string &out, size_t maxBytes);

    template<typename Number>
    void readNumber(std::string_view key, Number &out, uint64_t low, uint64_t high)
    {
        if (const auto number = numberOf(key, low, high)) {
            out = static_cast<Number>(*number);
        }
    }

    // Reads a decimal number of seconds, rounded to milliseconds.
    void readSeconds(std::string_view key, std::chrono::milliseconds &out, std::chrono::milliseconds low, std::chrono::milliseconds high);

    void readBool(std::string_view key, bool &out);

    // Reads one of the names that nameOf() returns for the values.
    template<typename Enum>
    void readEnum(std::string_view key, Enum &out, std::initializer_list<Enum> values)
    {
        std::vector<std::string_view> words;
        for (const auto value : values) {
            words.push_back(nameOf(value));
        }
        if (const auto index = indexOf(key, words)) {
            out = values.begin()[*index];
        }
    }

    // Reads a sequence of scalars.
    std::vector<const DocumentNode *> readItems(std::string_view key, size_t maxItems);

    // Calls the function for every entry of a map of named entries. Reports names for which isDocumentName() is false.
    using EntryFunction = std::function<void(const std::string &name, const DocumentNode &node, const std::string &path)>;
    void readEntries(std::string_view key, size_t maxEntries, const EntryFunction &function);

    // Reports an error in a field.
    void report(const DocumentNode &node, std::string_view key, std::string_view text);

    // Reports an error in the map as a whole.
    void report(std::string_view text);

    // Reports every unknown key, which is one that no other function was called for, together with the nearest known key.
    void finish();

private:
    std::optional<uint64_t> numberOf(std::string_view key, uint64_t low, uint64_t high);
    std::optional<size_t> indexOf(std::string_view key, const std::vector<std::string_view> &words);
    const DocumentNode *findScalar(std::string_view key);
    std::string pathOf(std::string_view key) const;
    std::string nearestKnownKey(std::string_view key) const;

    const DocumentNode &m_node;
    const std::string m_path;
    DocumentErrors &m_errors;
    std::vector<std::string> m_knownKeys;
};

// Whether a name is valid for an environment or an entry: made of a-z, 0-9, '.', '_' and '-'. Names become parts of table keys, so a slash is not allowed.
bool isDocumentName(std::string_view name);

} // namespace Jujube
