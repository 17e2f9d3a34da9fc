#include "marigoldladder/configuration.h"

namespace marigoldladder {

auto drainKey(DrainScope scope, const std::string& name) -> std::string
{
    return std::string(nameOf(drainScopeNames, scope)) + "/" + name;
}

auto isOut(const Configuration& configuration, const VmName& vm, const DataCentreName& dataCentre) -> bool
{
    if (configuration.m_drains.empty())
        return false;
    return configuration.m_drains.contains(drainKey(DrainScope::Vm, vm.value()))
        || configuration.m_drains.contains(drainKey(DrainScope::DataCentre, dataCentre.value()));
}

} // namespace marigoldladder
