#include "libfleet/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <optional>
#include <utility>

namespace mulberry {
namespace {

constexpr std::size_t kMacBytes = 32;          // SHA-256
constexpr std::size_t kMaxTicketBytes = 4096;  // Longer texts are refused unread.
constexpr std::uint8_t kFormatVersion = 1;
constexpr std::size_t kKeyBytes = 16;
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// Unpadded base64url (RFC 4648).
std::string EncodeBase64Url(std::string_view bytes) {
  std::string text;
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8) | static_cast<std::uint8_t>(byte);
    bit_count += 8;
    while (bit_count >= 6) {
      bit_count -= 6;
      text += kAlphabet[(bits >> bit_count) & 63];
    }
  }
  if (bit_count > 0) text += kAlphabet[(bits << (6 - bit_count)) & 63];
  return text;
}

/// Accepts only the one text that EncodeBase64Url gives for some bytes.
std::optional<std::string> DecodeBase64Url(std::string_view text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char letter : text) {
    const std::size_t value = kAlphabet.find(letter);
    if (value == std::string_view::npos) return std::nullopt;
    bits = (bits << 6) | static_cast<std::uint32_t>(value);
    bit_count += 6;
    if (bit_count < 8) continue;
    bit_count -= 8;
    bytes += static_cast<char>((bits >> bit_count) & 255);
  }
  const bool canonical = bit_count < 6 && (bits & ((1u << bit_count) - 1)) == 0;
  if (!canonical) return std::nullopt;
  return bytes;
}

void AppendNumber(std::uint64_t value, std::string* bytes) {
  for (int shift = 56; shift >= 0; shift -= 8) *bytes += static_cast<char>((value >> shift) & 255);
}

/// Precondition: the signer's names and addresses are shorter than 256 bytes.
void AppendText(const std::string& text, std::string* bytes) {
  *bytes += static_cast<char>(text.size());
  *bytes += text;
}

/// Reads fields in the order in which they were appended; a short text makes all later reads fail.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t ReadByte() { return Take(1) ? static_cast<std::uint8_t>(taken_[0]) : 0; }

  std::uint64_t ReadNumber() {
    if (!Take(8)) return 0;
    std::uint64_t value = 0;
    for (const char byte : taken_) value = (value << 8) | static_cast<std::uint8_t>(byte);
    return value;
  }

  std::string ReadText() {
    const std::size_t size = ReadByte();
    return Take(size) ? std::string(taken_) : std::string();
  }

  bool AtEnd() const { return good_ && bytes_.empty(); }

 private:
  bool Take(std::size_t size) {
    good_ = good_ && size <= bytes_.size();
    if (!good_) return false;
    taken_ = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return true;
  }

  std::string_view bytes_;
  std::string_view taken_;
  bool good_ = true;
};

std::string Encode(const Ticket& ticket) {
  std::string bytes(1, static_cast<char>(kFormatVersion));
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    AppendText(ticket.holders[i].host.str(), &bytes);
    AppendNumber(ticket.holders[i].start.value(), &bytes);
    AppendText(ticket.peer_addresses[i], &bytes);
  }
  AppendNumber(static_cast<std::uint64_t>(ticket.expires.time_since_epoch().count()), &bytes);
  AppendNumber(ticket.nonce, &bytes);
  return bytes;
}

std::optional<Ticket> Decode(std::string_view bytes) {
  FieldReader reader(bytes);
  if (reader.ReadByte() != kFormatVersion) return std::nullopt;
  Ticket ticket;
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    ticket.holders[i].host = HostName(reader.ReadText());
    ticket.holders[i].start = StartId(reader.ReadNumber());
    ticket.peer_addresses[i] = reader.ReadText();
  }
  const auto expires = static_cast<std::int64_t>(reader.ReadNumber());
  ticket.expires = WallTime(std::chrono::milliseconds(expires));
  ticket.nonce = reader.ReadNumber();
  if (!reader.AtEnd()) return std::nullopt;
  return ticket;
}

std::string Mac(const std::string& secret, std::string_view text) {
  std::string mac(kMacBytes, '\0');
  unsigned int size = kMacBytes;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

}  // namespace

TicketSigner::TicketSigner(std::string secret) : secret_(std::move(secret)) {}

std::string TicketSigner::Sign(const Ticket& ticket) const {
  const std::string content = EncodeBase64Url(Encode(ticket));
  return content + "." + EncodeBase64Url(Mac(secret_, content));
}

Result<Ticket> TicketSigner::Read(std::string_view text, WallTime now) const {
  if (text.size() > kMaxTicketBytes) return Fail(ErrorCode::kInvalidArgument, "ticket too long");
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return Fail(ErrorCode::kInvalidArgument, "malformed ticket");
  const std::string_view content = text.substr(0, dot);
  const std::optional<std::string> mac = DecodeBase64Url(text.substr(dot + 1));
  if (!mac || mac->size() != kMacBytes) {
    return Fail(ErrorCode::kInvalidArgument, "malformed ticket signature");
  }
  if (CRYPTO_memcmp(mac->data(), Mac(secret_, content).data(), kMacBytes) != 0) {
    return Fail(ErrorCode::kInvalidArgument, "ticket signature does not match");
  }
  const std::optional<std::string> bytes = DecodeBase64Url(content);
  std::optional<Ticket> ticket = bytes ? Decode(*bytes) : std::nullopt;
  if (!ticket) return Fail(ErrorCode::kInvalidArgument, "malformed ticket");
  if (ticket->expires <= now) return Fail(ErrorCode::kExpired, "ticket has expired");
  return *std::move(ticket);
}

IdempotencyKey KeyOfTicket(std::string_view ticket_text) {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  EVP_Digest(ticket_text.data(), ticket_text.size(),
             reinterpret_cast<unsigned char*>(digest.data()), &size, EVP_sha256(), nullptr);
  return IdempotencyKey(EncodeBase64Url(std::string_view(digest).substr(0, kKeyBytes)));
}

}  // namespace mulberry
