#pragma once

#include "libconfig/config.h"
#include "pulleyctl/command_line.h"

namespace mulberry {

/// Builds the configuration change that a command requests. For an existing class, flags that are
/// absent keep their values. Errors: kInvalidArgument, kNotFound. Thread safety: any thread.
Result<Change> BuildChange(const ChangeCommand& command, const Options& options,
                           const ConfigState& state, const ChangeId& id, WallTime now);

/// Returns a random 64-bit change id, "c" and 16 hexadecimal digits.
ChangeId GenerateChangeId();

}  // namespace mulberry
