#pragma once

/// Public header of libfleet: membership, leases on groups, run claims, as pure state machines.
#include "libfleet/claim_holder.h"   // IWYU pragma: export
#include "libfleet/claim_round.h"    // IWYU pragma: export
#include "libfleet/host_list.h"      // IWYU pragma: export
#include "libfleet/lease.h"          // IWYU pragma: export
#include "libfleet/lease_grantor.h"  // IWYU pragma: export
#include "libfleet/lease_holder.h"   // IWYU pragma: export
#include "libfleet/membership.h"     // IWYU pragma: export
#include "libfleet/peer_message.h"   // IWYU pragma: export
#include "libfleet/ticket.h"         // IWYU pragma: export
