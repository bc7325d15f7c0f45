#pragma once

/// Public header of libconfig: settings, and the configuration that operators publish.
#include "libconfig/change_publisher.h"      // IWYU pragma: export
#include "libconfig/config_follower.h"       // IWYU pragma: export
#include "libconfig/config_state.h"          // IWYU pragma: export
#include "libconfig/config_state_machine.h"  // IWYU pragma: export
#include "libconfig/ini_parser.h"            // IWYU pragma: export
#include "libconfig/settings.h"              // IWYU pragma: export
