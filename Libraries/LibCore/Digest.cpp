#include <LibCore/Digest.h>

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace Jujube
{

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Jujube
