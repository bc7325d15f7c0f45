#pragma once

/// Public header of libbase: identifiers, units, errors, hashing, log lines, memory budgets and the
/// syntax of HTTP heads.
#include "libbase/error.h"          // IWYU pragma: export
#include "libbase/hash.h"           // IWYU pragma: export
#include "libbase/http_syntax.h"    // IWYU pragma: export
#include "libbase/ids.h"            // IWYU pragma: export
#include "libbase/log.h"            // IWYU pragma: export
#include "libbase/memory_budget.h"  // IWYU pragma: export
#include "libbase/text.h"           // IWYU pragma: export
#include "libbase/units.h"          // IWYU pragma: export
