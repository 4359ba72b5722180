#include <LibCore/Compression.h>

#include <glog/logging.h>
#include <zstd.h>

namespace Jujube
{

namespace
{

// Documents compress to a tenth of their size at this level; higher ones save little more and take several times the processor time.
constexpr int Level = 3;

} // namespace

std::string compressZstd(std::string_view text)
{
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), Level);
    frame.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return frame;
}

std::optional<std::string> decompressZstd(std::string_view frame, size_t maxBytes)
{
    const auto length = ZSTD_getFrameContentSize(frame.data(), frame.size());
    // Values above the maximum also state that the length is missing or unreadable.
    if (length > maxBytes) {
        return std::nullopt;
    }
    std::string text(length, '\0');
    const auto size = ZSTD_decompress(text.data(), text.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) != 0 || size != length) {
        return std::nullopt;
    }
    return text;
}

} // namespace Jujube
