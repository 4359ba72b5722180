#include <LibEnvironment/DocumentTree.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace Jujube
{

namespace
{

// A valid document has 6 levels (services, service, calls, call, field). yaml-cpp recurses once per level.
constexpr size_t MaxDepth = 12;
// A document at full size has about 60,000 values.
constexpr size_t MaxValues = 300000;
constexpr size_t MaxScalarBytes = 1024;

// Thrown by callbacks to stop yaml-cpp's parser, which has no other way to be stopped.
struct TreeError {
    DocumentPosition position;
    std::string text;
};

DocumentPosition positionOf(const YAML::Mark &mark)
{
    return {.line = std::max(mark.line, 0) + 1, .column = std::max(mark.column, 0) + 1};
}

// Builds the tree from yaml-cpp's events.
class TreeBuilder : public YAML::EventHandler
{
public:
    explicit TreeBuilder(DocumentErrors &errors)
        : m_errors(errors)
    {
    }

    DocumentNode takeRoot()
    {
        return std::move(m_root);
    }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        if (++m_documents > 1) {
            throw TreeError {positionOf(mark), "a second document starts here; only one is allowed"};
        }
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        add(make(DocumentNode::Kind::Null, mark, "", anchor));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        throw TreeError {positionOf(mark), "aliases are not allowed"};
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        auto node = make(DocumentNode::Kind::Scalar, mark, tag, anchor);
        if (value.size() > MaxScalarBytes) {
            throw TreeError {node.position, absl::StrCat("a value of ", value.size(), " bytes is over the limit of ", MaxScalarBytes)};
        }
        node.text = value;
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        open(make(DocumentNode::Kind::Sequence, mark, tag, anchor));
    }

    void OnSequenceEnd() override
    {
        close();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        open(make(DocumentNode::Kind::Map, mark, tag, anchor));
    }

    void OnMapEnd() override
    {
        reportDuplicates(m_open.back());
        close();
    }

private:
    DocumentNode make(DocumentNode::Kind kind, const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        const auto position = positionOf(mark);
        if (anchor != YAML::NullAnchor) {
            throw TreeError {position, "anchors are not allowed"};
        }
        // "?" stands for a plain value and "!" for a quoted one.
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw TreeError {position, "tags are not allowed"};
        }
        if (++m_values > MaxValues) {
            throw TreeError {position, absl::StrCat("the document has more than ", MaxValues, " values")};
        }
        return {.kind = kind, .position = position};
    }

    void open(DocumentNode node)
    {
        if (m_open.size() == MaxDepth) {
            throw TreeError {node.position, absl::StrCat("values are nested more than ", MaxDepth, " levels deep")};
        }
        m_open.push_back(std::move(node));
    }

    void close()
    {
        auto node = std::move(m_open.back());
        m_open.pop_back();
        add(std::move(node));
    }

    void add(DocumentNode node)
    {
        if (m_open.empty()) {
            m_root = std::move(node);
            return;
        }
        auto &parent = m_open.back();
        const bool isKey = parent.kind == DocumentNode::Kind::Map && parent.keys.size() == parent.values.size();
        if (isKey && node.kind != DocumentNode::Kind::Scalar) {
            throw TreeError {node.position, "a key must be a text"};
        }
        (isKey ? parent.keys : parent.values).push_back(std::move(node));
    }

    void reportDuplicates(const DocumentNode &map)
    {
        std::map<std::string_view, int> lines;
        for (const auto &key : map.keys) {
            const auto [first, inserted] = lines.emplace(key.text, key.position.line);
            if (!inserted) {
                m_errors.add(key.position, absl::StrCat("the key \"", key.text, "\" was given in line ", first->second, " already"));
            }
        }
    }

    DocumentErrors &m_errors;
    DocumentNode m_root;
    std::vector<DocumentNode> m_open;
    size_t m_values = 0;
    int m_documents = 0;
};

absl::Status errorAt(ErrorKind kind, DocumentPosition position, std::string_view text)
{
    return makeError(kind, absl::StrCat(position.line, ":", position.column, ": ", std::string(text)));
}

DocumentPosition positionOf(std::string_view text, size_t offset)
{
    const auto before = text.substr(0, offset);
    const auto lineStart = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    return {.line = static_cast<int>(line), .column = static_cast<int>(offset - lineStart) + 1};
}

// Returns the offset of the first invalid byte, which is the length of the longest valid prefix of the line.
size_t firstInvalidByte(std::string_view line)
{
    constexpr size_t LongestSequence = 4;
    size_t low = 0;
    size_t high = line.size();
    const auto validLength = [&line](size_t length) {
        for (size_t cut = 0; cut < LongestSequence && cut <= length; ++cut) {
            if (isValidUtf8(line.substr(0, length - cut))) {
                return std::optional<size_t>(length - cut);
            }
        }
        return std::optional<size_t>();
    };
    while (low + 1 < high) {
        const auto middle = low + (high - low) / 2;
        (validLength(middle) ? low : high) = middle;
    }
    return validLength(low).value_or(0);
}

absl::Status checkUtf8(std::string_view text)
{
    if (isValidUtf8(text)) {
        return absl::OkStatus();
    }
    for (size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        const auto line = text.substr(start, end - start);
        if (!isValidUtf8(line)) {
            return errorAt(ErrorKind::InvalidUtf8, positionOf(text, start + firstInvalidByte(line)), "the text is not valid UTF-8");
        }
        start = end + 1;
    }
    return makeError(ErrorKind::InvalidUtf8, "1:1: the text is not valid UTF-8");
}

// Rejects control characters other than those that YAML 1.2, section 5.1, allows. yaml-cpp would also take text with NUL bytes for UTF-16.
absl::Status checkControlCharacters(std::string_view text)
{
    const auto isForbidden = [](char c) {
        constexpr unsigned char FirstPrintable = 0x20;
        constexpr unsigned char Delete = 0x7f;
        const auto byte = static_cast<unsigned char>(c);
        return (byte < FirstPrintable && c != '\n' && c != '\r' && c != '\t') || byte == Delete;
    };
    const auto found = std::find_if(text.begin(), text.end(), isForbidden);
    if (found == text.end()) {
        return absl::OkStatus();
    }
    const auto position = positionOf(text, static_cast<size_t>(found - text.begin()));
    return errorAt(ErrorKind::InvalidDocument, position, "the text has a control character");
}

absl::Status checkText(std::string_view yaml)
{
    if (yaml.size() > MaxDocumentBytes) {
        return errorAt(ErrorKind::InvalidDocument, {}, absl::StrCat("the document has ", yaml.size(), " bytes; the limit is ", MaxDocumentBytes));
    }
    if (auto status = checkUtf8(yaml); !status.ok()) {
        return status;
    }
    return checkControlCharacters(yaml);
}

} // namespace

absl::StatusOr<DocumentNode> parseDocumentTree(std::string_view yaml, DocumentErrors &errors)
{
    if (auto status = checkText(yaml); !status.ok()) {
        return status;
    }
    std::istringstream stream {std::string(yaml)};
    TreeBuilder builder(errors);
    try {
        YAML::Parser parser(stream);
        while (parser.HandleNextDocument(builder)) { }
    } catch (const TreeError &error) {
        return errorAt(ErrorKind::InvalidDocument, error.position, error.text);
    } catch (const YAML::Exception &error) {
        return errorAt(ErrorKind::InvalidDocument, positionOf(error.mark), error.msg);
    }
    return builder.takeRoot();
}

} // namespace Jujube
