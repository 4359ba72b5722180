#include <LibControl/LeaseRecord.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Jujube
{

namespace
{

bool hasNumber(const nlohmann::json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

} // namespace

std::string LeaseRecord::toText() const
{
    const nlohmann::json json {{"holder", holder}, {"fencing", fencing}, {"renewal", renewal}, {"lease_ms", leaseTime.count()}};
    return json.dump();
}

absl::StatusOr<LeaseRecord> LeaseRecord::fromText(const std::string &text)
{
    const auto json = parseJson(text);
    const bool isRecord = json.ok() && json->is_object() && json->contains("holder") && (*json)["holder"].is_string() && hasNumber(*json, "fencing")
        && hasNumber(*json, "renewal") && hasNumber(*json, "lease_ms");
    if (!isRecord) {
        return makeError(ErrorKind::InvalidValue, "the lease row is not valid");
    }
    return LeaseRecord {.holder = (*json)["holder"].get<std::string>(),
                        .fencing = (*json)["fencing"].get<uint64_t>(),
                        .renewal = (*json)["renewal"].get<uint64_t>(),
                        .leaseTime = std::chrono::milliseconds((*json)["lease_ms"].get<int64_t>())};
}

} // namespace Jujube
