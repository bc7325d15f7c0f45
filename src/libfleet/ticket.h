#pragma once

#include <array>
#include <string>
#include <string_view>

#include "libfleet/claim_round.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Permits one non-idempotent request until it expires. Names the claim holders, which are fixed
/// when the ticket is issued.
struct Ticket {
  std::array<Incarnation, kClaimHolders> holders;
  std::array<std::string, kClaimHolders> peer_addresses;  ///< "ip:port" each.
  WallTime expires;
  std::uint64_t nonce = 0;
};

/// Signs and verifies tickets with a secret that all entry hosts share (HMAC-SHA256). Immutable and
/// thread safe.
class TicketSigner {
 public:
  /// Precondition: `secret` has at least 16 bytes.
  explicit TicketSigner(std::string secret);

  /// Returns the ticket as text of letters, digits, '-', '_' and '.'. Precondition: names and
  /// addresses are shorter than 256 bytes.
  std::string Sign(const Ticket& ticket) const;

  /// Verifies and decodes a ticket. Errors: kInvalidArgument if it is malformed or its signature
  /// does not match, kExpired if it has expired.
  Result<Ticket> Read(std::string_view text, WallTime now) const;

 private:
  std::string secret_;
};

/// Derives the request's idempotency key from its ticket. Each ticket text has one key.
IdempotencyKey KeyOfTicket(std::string_view ticket_text);

}  // namespace mulberry
