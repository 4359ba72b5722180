#pragma once

#include <string>
#include <vector>

namespace Jujube
{

// A position in the text of a document. Both numbers count from 1, columns in bytes.
struct DocumentPosition {
    int line = 1;
    int column = 1;

    auto operator<=>(const DocumentPosition &) const = default;
};

// One value of a document with its position.
struct DocumentNode {
    enum class Kind {
        Null,
        Scalar,
        Sequence,
        Map,
    };

    Kind kind = Kind::Null;
    DocumentPosition position;
    // The text of a scalar.
    std::string text;
    // The keys of a map, all of them scalars, in the order of the text. keys[i] belongs to values[i].
    std::vector<DocumentNode> keys;
    // The values of a map or the items of a sequence.
    std::vector<DocumentNode> values;
};

} // namespace Jujube
