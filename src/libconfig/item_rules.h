#pragma once

#include <string>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// Returns an error (field, value and allowed range) for an invalid change, else an empty string.
/// The result depends only on the change, so that all readers of the log agree. Thread safety: any
/// thread.
std::string ValidateChange(const Change& change);

/// True for 1 to 64 characters of a-z, 0-9 and '-'.
bool IsItemName(const std::string& text);

/// Returns the maximum number of items of a kind.
std::size_t MaxItems(ItemKind kind);

}  // namespace mulberry
