#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libfleet/fleet.h"

namespace mulberry {
namespace {

constexpr WallTime kNow{std::chrono::seconds(1000)};

Ticket MakeTicket() {
  Ticket ticket;
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    ticket.holders[i] = {HostName("uio-a-" + std::to_string(i)), StartId(~std::uint64_t{i})};
    ticket.peer_addresses[i] = "10.0.0." + std::to_string(i) + ":7201";
  }
  ticket.expires = kNow + std::chrono::seconds(60);
  ticket.nonce = 42;
  return ticket;
}

}  // namespace

TEST_CASE("ticket: a signed ticket is read back unchanged") {
  const TicketSigner signer("a secret of 16 bytes or more");
  const Ticket ticket = MakeTicket();
  const std::string text = signer.Sign(ticket);
  const Result<Ticket> read = signer.Read(text, kNow);
  REQUIRE(read.has_value());
  CHECK(read.value().holders == ticket.holders);
  CHECK(read.value().peer_addresses == ticket.peer_addresses);
  CHECK(read.value().expires == ticket.expires);
  CHECK(read.value().nonce == 42);
  CHECK(signer.Read(text, ticket.expires).error().code == ErrorCode::kExpired);
  const TicketSigner other("another secret of 16 bytes");
  CHECK(other.Read(text, kNow).error().code == ErrorCode::kInvalidArgument);
  CHECK(KeyOfTicket(text) == KeyOfTicket(text));
  CHECK(KeyOfTicket(text).str().size() == 22);
  Ticket next = ticket;
  next.nonce = 43;
  CHECK(KeyOfTicket(signer.Sign(next)) != KeyOfTicket(text));
}

TEST_CASE("ticket: only the exact signed text is accepted, so that each ticket has one key") {
  const TicketSigner signer("a secret of 16 bytes or more");
  const std::string text = signer.Sign(MakeTicket());
  const auto refused = [&](const std::string& forged) {
    const Result<Ticket> read = signer.Read(forged, kNow);
    return !read.has_value() && read.error().code == ErrorCode::kInvalidArgument;
  };
  for (std::size_t i = 0; i < text.size(); ++i) {
    CHECK(refused(text.substr(0, i)));
    for (const char letter : {'A', 'B', 'z', '_', '.', '=', '\0'}) {
      std::string changed = text;
      changed[i] = letter;
      if (changed != text) CHECK(refused(changed));
    }
  }
  for (const char* suffix : {"A", "=", ".", " ", "\n"}) CHECK(refused(text + suffix));
  CHECK(rc::check("garbage is refused", [&](const std::string& garbage) {
    RC_ASSERT(refused(garbage));
    RC_ASSERT(refused(garbage + "." + text));
    RC_ASSERT(refused(text + garbage) || garbage.empty());
  }));
}

}  // namespace mulberry
