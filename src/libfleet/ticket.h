#pragma once

#include <array>
#include <string>
#include <string_view>

#include "libfleet/claim_round.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Right to send one non-idempotent request. It names the claim holders, fixed for good when it
/// was issued, and expires.
struct Ticket {
  std::array<Incarnation, kClaimHolders> holders;
  std::array<std::string, kClaimHolders> peer_addresses;  ///< "ip:port" each.
  WallTime expires;
  std::uint64_t nonce = 0;
};

/// Signs and reads tickets with a key that all entry hosts share (HMAC-SHA256). Immutable, any
/// thread.
class TicketSigner {
 public:
  /// Precondition: `secret` has at least 16 bytes.
  explicit TicketSigner(std::string secret);

  /// Returns the ticket as text of letters, digits, '-', '_' and '.'. Precondition: names and
  /// addresses are shorter than 256 bytes.
  std::string Sign(const Ticket& ticket) const;

  /// Reads a ticket. Errors: kInvalidArgument for a malformed or forged one, kExpired for one past
  /// its time.
  Result<Ticket> Read(std::string_view text, WallTime now) const;

 private:
  std::string secret_;
};

/// Derives the request's key from its ticket: one ticket is one key.
IdempotencyKey KeyOfTicket(std::string_view ticket_text);

}  // namespace mulberry
