#pragma once

#include "policy_options.h"

namespace indigopoint {

class SettingsReader;

/// Reads the section "policy" of a forwarder's settings. Absent keys keep their
/// defaults.
void readPolicyOptions(SettingsReader &Reader, PolicyOptions &Out);

} // namespace indigopoint
