// A site as the demo and the fault tests start it: nodes, pools and organisations, read from a JSON file.
#pragma once

#include "harness/deployment.h"
#include "load/load_plan.h"

#include <string>
#include <vector>

namespace marigoldladder::fakes {

struct Site {
    harness::DeploymentPlan m_deployment;
    std::string m_modelPool; // The pool that serves adapters.
    std::vector<std::string> m_dataCentres;
    LoadPlan m_load; // Without addresses, which are known once the nodes run.
};

// Reads a site file. Throws `std::runtime_error` that says what is wrong with it.
auto readSite(const std::string& path) -> Site;

// Reads the site's first release note and adds the site's adapters to it.
auto readFirstNote(const std::string& path, const Site&) -> nlohmann::json;

} // namespace marigoldladder::fakes
