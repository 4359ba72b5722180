#include <StandIns/Engine/TokenSource.h>

#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <LibCore/TokenChecksum.h>
#include <numbers>

namespace Jujube
{

namespace
{

constexpr std::array<std::string_view, 24> EnglishWords {
    "the",  "bag",  "print", "spoon",   "proof",  "handle", "cotton", "engraved", "motif",  "border", "jujube", "leaf",
    "blue", "gold", "with",  "calling", "market", "order",  "name",   "script",   "curved", "for",    "and",    "a",
};

constexpr std::array<std::string_view, 24> GujaratiWords {
    "થેલી", "કાપડ", "છાપ",  "નમૂનો",   "રંગ",   "લાલ",  "પીળો", "દુકાન",   "બજાર",    "નામ", "અને",    "માટે",
    "સુંદર", "ફૂલ",   "પાંદડું", "કિનારી", "ચમચી", "લખાણ", "સુરત",  "રાજકોટ", "અમદાવાદ", "ભાવ", "ગ્રાહક", "છે",
};

constexpr double MedianLength = 120;
// With this spread, 95% of the generations stay below 1,200 tokens and one in a thousand exceeds 9,000.
constexpr double LengthSigma = 1.4;
constexpr int64_t MaxLength = 60000;
constexpr int64_t OriginInterval = 16;
constexpr uint64_t OriginMask = 0xffff;
constexpr std::string_view LengthMark = "length=";

uint64_t mix(uint64_t value)
{
    // The finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014).
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

double unitInterval(uint64_t hash)
{
    constexpr int MantissaShift = 11;
    return (static_cast<double>(hash >> MantissaShift) + 0.5) * 0x1.0p-53;
}

int64_t fixedLength(std::string_view prompt)
{
    const auto at = prompt.find(LengthMark);
    int64_t length = 0;
    if (at != std::string_view::npos) {
        const auto digits = prompt.substr(at + LengthMark.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
    }
    return length;
}

} // namespace

TokenSource::TokenSource(std::string_view model, std::string_view prompt, uint64_t seed)
    : m_fixedLength(fixedLength(prompt))
{
    TokenChecksum promptHash(seed);
    promptHash.add(prompt);
    m_lengthHash = promptHash.value();
    promptHash.add(model);
    m_contentHash = promptHash.value();
}

std::string TokenSource::tokenAt(int64_t index) const
{
    if (index % OriginInterval == 0) {
        return absl::StrFormat(" no-%04x", m_contentHash & OriginMask);
    }
    const auto hash = mix(m_contentHash + static_cast<uint64_t>(index));
    const auto &words = (hash & 1) == 0 ? EnglishWords : GujaratiWords;
    std::string text(" ");
    text += words.at((hash >> 8) % words.size());
    return text;
}

int64_t TokenSource::length(int64_t maxTokens) const
{
    int64_t length = m_fixedLength;
    if (length <= 0) {
        // Box-Muller transform of two uniform numbers.
        const auto radius = std::sqrt(-2 * std::log(unitInterval(mix(m_lengthHash))));
        const auto normal = radius * std::cos(2 * std::numbers::pi * unitInterval(mix(m_lengthHash + 1)));
        length = static_cast<int64_t>(std::min<double>(MaxLength, MedianLength * std::exp(LengthSigma * normal)));
    }
    return std::clamp<int64_t>(length, 1, std::max<int64_t>(1, maxTokens));
}

int64_t promptTokenCount(std::string_view prompt)
{
    constexpr int64_t BytesPerToken = 4;
    return (static_cast<int64_t>(prompt.size()) + BytesPerToken - 1) / BytesPerToken;
}

} // namespace Jujube
