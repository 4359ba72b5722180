#include <LibEnvironment/EnvironmentDocument.h>

namespace Jujube
{

std::string_view nameOf(DataCentreState state)
{
    return state == DataCentreState::In ? "in" : "out";
}

std::string_view nameOf(WorkspaceTier tier)
{
    return tier == WorkspaceTier::Paying ? "paying" : "trial";
}

std::string_view nameOf(Continuation continuation)
{
    return continuation == Continuation::Exact ? "exact" : "none";
}

std::string_view nameOf(Fencing fencing)
{
    return fencing == Fencing::Honoured ? "honoured" : "ignored";
}

std::string_view nameOf(GenerationKind kind)
{
    return kind == GenerationKind::Draft ? "draft" : "suggestion";
}

std::string_view nameOf(CallMethod method)
{
    return method == CallMethod::Get ? "GET" : "POST";
}

} // namespace Jujube
