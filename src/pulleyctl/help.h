#pragma once

#include <string>

namespace mulberry {

/// Returns the help of one command such as "class set" or "class", or the overview when `topic` is
/// empty; empty when there is no such command.
std::string HelpText(const std::string& topic);

}  // namespace mulberry
