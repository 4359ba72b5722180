#pragma once

#include <LibMembership/Member.h>
#include <Membership_types.h>

namespace Jujube
{

inline MemberIdentity identityFromWire(const Wire::MemberRecord &record)
{
    return {.name = record.name,
            .dataCentre = record.dataCentre,
            .region = record.region,
            .address = record.address,
            .gossipAddress = record.gossipAddress,
            .incarnation = record.incarnation};
}

inline Wire::MemberRecord toWire(const MemberIdentity &identity)
{
    Wire::MemberRecord record;
    record.name = identity.name;
    record.dataCentre = identity.dataCentre;
    record.region = identity.region;
    record.address = identity.address;
    record.gossipAddress = identity.gossipAddress;
    record.incarnation = identity.incarnation;
    return record;
}

} // namespace Jujube
