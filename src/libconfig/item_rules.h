#pragma once

#include <string>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// Returns what is wrong with a change (field, value and allowed range), empty when nothing is.
/// Depends on the change alone, so that every reader of the log agrees. Thread safety: any thread.
std::string ChangeFault(const Change& change);

/// True for 1 to 64 characters of a-z, 0-9 and '-'.
bool IsItemName(const std::string& text);

/// Largest number of items of a kind.
std::size_t MaxItems(ItemKind kind);

}  // namespace mulberry
