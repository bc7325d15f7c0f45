#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberry {

/// A response of a stand-in, all bytes of it.
struct RawResponse {
  std::string name;
  std::string bytes;
};

/// Replaces unprintable bytes, for messages of tests.
inline std::string Printable(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= 0x20 && byte < 0x7f) {
      text += character;
    } else {
      text.append("\\x").append({kDigits[byte >> 4], kDigits[byte & 15]});
    }
  }
  return text;
}

inline std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text += part;
  return text;
}

/// A string literal as text, including NUL bytes.
template <std::size_t Size>
std::string Bytes(const char (&literal)[Size]) {
  return {literal, Size - 1};
}

/// Status lines that RFC 9112 rules out, and 101 for a client that asks for no upgrade.
inline std::vector<std::string> InvalidStatusLines() {
  std::vector<std::string> lines;
  for (const char* status :
       {"000", "001", "020", "099",  "600",  "601",      "700",  "999",  "0",   "1",
        "7",   "20",  "59",  "2000", "0200", "00000200", "1000", "+200", "-20", "-200",
        "2x0", "0x1", "2 0", "",     "x",    "20O",      "200,", "200:"}) {
    lines.push_back(Join({"HTTP/1.1 ", status, " Text"}));
  }
  lines.insert(lines.end(), {"HTTP/1.1 000", "HTTP/1.1 99", "HTTP/1.1 600", "HTTP/1.1 0200",
                             "HTTP/1.1  200 Text", "HTTP/1.1\t200 Text", "HTTP/1.1 200\tText",
                             "HTTP/1.1 \t200 Text", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1200 Text"});
  lines.insert(lines.end(),
               {"HTTP/2 200 Text", "HTTP/2.0 200 Text", "HTTP/0.9 200 Text", "HTTP/3 200 Text",
                "HTTP/1 200 Text", "HTTP/1.x 200 Text", "HTTP/11.1 200 Text", "HTXP/1.1 200 Text",
                "http/1.1 200 Text", "ICY 200 Text", " HTTP/1.1 200 Text", "\tHTTP/1.1 200 Text"});
  lines.insert(lines.end(), {"HTTP/1.1 200 Te\x01xt", Bytes("HTTP/1.1 200 Te\0xt"),
                             "HTTP/1.1 200 Te\x7fxt", "HTTP/1.1 200 Te\rxt",
                             "HTTP/1.1 200 Te\rxX-A: 1", "HTTP/1.1 101 Switching Protocols"});
  return lines;
}

/// Header lines that RFC 9112 rules out.
inline std::vector<std::string> InvalidFieldLines() {
  return {"X-A : 1",      "X A: 1",         "X-A  : 1",
          " X-A: 1",      "\tX-A: 1",       "X-A\t: 1",
          "X\tA: 1",      Bytes("X\0A: 1"), "X\001A: 1",
          "X\037A: 1",    "X\177A: 1",      "X\351A: 1",
          "X\303\251: 1", "X\r: 1",         "X(A): 1",
          "X/A: 1",       "\"X\": 1",       "X@A: 1",
          ": 1",          " : 1",           "no colon",
          "X-A",          " folded",        "HTTP/1.1 200 OK",
          "HTTP/1.1: 1",  "X-A: a\001z",    Bytes("X-A: a\0z"),
          "X-A: a\177z",  "X-A: a\rz",      "X-A: a\033z"};
}

/// A response with these header lines, which are the usual ones of a sound response to the request,
/// each with its line end, and with `body`.
inline std::string SoundResponse(const std::string& lines, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Responses with an invalid status line. `lines` are the header lines of a sound one.
inline std::vector<RawResponse> ResponsesWithInvalidStatusLine(const std::string& lines) {
  std::vector<RawResponse> responses;
  for (const std::string& line : InvalidStatusLines()) {
    responses.push_back(
        {Printable(line), Join({line, "\r\n", lines, "Content-Length: 6\r\n\r\nbroken"})});
  }
  for (const std::string line :
       {"HTTP/1.1 000 Interim", "HTTP/1.1 099 Interim", "HTTP/1.1 20 Interim",
        "HTTP/1.1 0103 Interim", "HTTP/1.1 101 Interim", "HTTP/1.1 103 Inte\001rim"}) {
    responses.push_back({Printable(line) + " before a sound response",
                         Join({line, "\r\n\r\n", SoundResponse(lines, "sound")})});
  }
  return responses;
}

/// Responses with an invalid header line at any place of a head or a trailer.
inline std::vector<RawResponse> ResponsesWithInvalidField(const std::string& lines) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string early = "HTTP/1.1 103 Early Hints\r\n";
  const std::string length = "Content-Length: 6\r\n";
  const std::string body = "\r\nbroken";
  const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n";
  const std::string sound = "\r\n" + SoundResponse(lines, "sound");
  std::vector<RawResponse> responses;
  for (const std::string& field : InvalidFieldLines()) {
    const std::string line = field + "\r\n";
    const auto add = [&](std::string_view place, std::string bytes) {
      responses.push_back({Join({place, ": ", Printable(field)}), std::move(bytes)});
    };
    add("first line", Join({ok, line, lines, length, body}));
    add("middle line", Join({ok, lines, line, length, body}));
    add("last line", Join({ok, lines, length, line, body}));
    add("first line of an interim head", Join({early, line, sound}));
    add("last line of an interim head", Join({early, "X-B: 2\r\n", line, sound}));
    add("first line after an interim head", Join({early, "\r\n", ok, line, lines, length, body}));
    add("first line of a trailer", Join({ok, lines, chunks, line, "\r\n"}));
    // A folded line belongs to the value before it, and no one reads the values of a trailer.
    if (field.front() == ' ' || field.front() == '\t') continue;
    add("last line of a trailer", Join({ok, lines, chunks, "X-B: 2\r\n", line, "\r\n"}));
  }
  return responses;
}

/// Responses whose body would end elsewhere if the invalid line were believed or ignored.
inline std::vector<RawResponse> ResponsesWithInvalidLength(const std::string& lines) {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + lines;
  const std::string no_content = "HTTP/1.1 204 No Content\r\n" + lines;
  const std::string early = "HTTP/1.1 103 Early Hints\r\n";
  const std::string chunks = "\r\n6\r\nbroken\r\n0\r\n\r\n";
  return {
      {"blank after Content-Length", ok + "Content-Length : 3\r\n\r\nbroken"},
      {"tab after Content-Length", ok + "Content-Length\t: 3\r\n\r\nbroken"},
      {"blank before Content-Length", ok + " Content-Length: 3\r\n\r\nbroken"},
      {"folded Content-Length", ok + "Content-Length:\r\n 3\r\n\r\nbroken"},
      {"folded digits", ok + "Content-Length: 3\r\n 3\r\n\r\nbroken"},
      {"length beside one with a blank",
       ok + "Content-Length: 6\r\nContent-Length : 3\r\n\r\nbroken"},
      {"blank after Transfer-Encoding", ok + "Transfer-Encoding : chunked\r\n" + chunks},
      {"length beside chunks with a blank",
       ok + "Content-Length: 3\r\nTransfer-Encoding : chunked\r\n" + chunks},
      {"a head that ends with CR", ok + "Content-Length: 6\r\n\rXbroken"},
      {"two lengths", ok + "Content-Length: 3\r\nContent-Length: 6\r\n\r\nbroken"},
      {"the same length twice", ok + "Content-Length: 6\r\nContent-Length: 6\r\n\r\nbroken"},
      {"a list of lengths", ok + "Content-Length: 6, 6\r\n\r\nbroken"},
      {"a length with other characters", ok + "Content-Length: 3x\r\n\r\nbroken"},
      {"a length with a sign", ok + "Content-Length: +6\r\n\r\nbroken"},
      {"a negative length", ok + "Content-Length: -1\r\n\r\nbroken"},
      {"a hexadecimal length", ok + "Content-Length: 0x6\r\n\r\nbroken"},
      {"an empty length", ok + "Content-Length:\r\n\r\nbroken"},
      {"a length beyond 64 bits", ok + "Content-Length: 18446744073709551622\r\n\r\nbroken"},
      {"a length and chunks", ok + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n" + chunks},
      {"chunks and a length", ok + "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n" + chunks},
      {"a coding that was not asked for", ok + "Transfer-Encoding: x-code\r\n\r\nbroken"},
      {"an empty coding", ok + "Transfer-Encoding:\r\n\r\nbroken"},
      {"a coding under the chunks", ok + "Transfer-Encoding: x-code, chunked\r\n" + chunks},
      {"chunks under a coding", ok + "Transfer-Encoding: chunked, x-code\r\n" + chunks},
      {"chunks twice",
       ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks},
      {"a length of 204", no_content + "Content-Length: 6\r\n\r\nbroken"},
      {"chunks of 204", no_content + "Transfer-Encoding: chunked\r\n" + chunks},
      {"a length of an interim response",
       early + "Content-Length: 6\r\n\r\nbroken" + SoundResponse(lines, "sound")},
      {"a length of an interim response without its body",
       early + "Content-Length: 6\r\n\r\n" + SoundResponse(lines, "sound")},
      {"chunks of an interim response",
       early + "Transfer-Encoding: chunked\r\n" + chunks + SoundResponse(lines, "sound")},
  };
}

/// All of the above.
inline std::vector<RawResponse> InvalidResponses(const std::string& lines) {
  std::vector<RawResponse> responses = ResponsesWithInvalidStatusLine(lines);
  for (auto& more : {ResponsesWithInvalidField(lines), ResponsesWithInvalidLength(lines)}) {
    responses.insert(responses.end(), more.begin(), more.end());
  }
  return responses;
}

/// Unusual responses that the standard allows, with the body "sound".
inline std::vector<RawResponse> UnusualResponses(const std::string& lines) {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + lines;
  const std::string end = "Content-Length: 5\r\n\r\nsound";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "\r\n5\r\nsound\r\n0\r\n";
  std::vector<RawResponse> responses;
  for (const std::string line :
       {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 Other",
        "HTTP/1.1 499 Other", "HTTP/1.1 200 \303\251\ttext", "HTTP/1.1 200 000 600"}) {
    responses.push_back({Printable(line), Join({line, "\r\n", lines, end})});
  }
  for (const std::string line :
       {"!#$%&'*+-.^_`|~09azAZ: 1", "X-A:", "X-A: ", "X-A:1", "X-A: \t 1 \t", "X-A: a\tb: c",
        "X-A: \303\251", "X-A: HTTP/1.1", "X-A: \"()<>@,;\\/[]?={}\""}) {
    responses.push_back({Printable(line), Join({ok, line, "\r\n", end})});
    responses.push_back(
        {Join({"trailer ", Printable(line)}), Join({ok, chunked, chunks, line, "\r\n\r\n"})});
  }
  responses.push_back(
      {"line feeds alone", Join({"HTTP/1.1 200 OK\n", lines, "Content-Length: 5\n\nsound"})});
  responses.push_back(
      {"a coding in capitals", Join({ok, "Transfer-Encoding: CHUNKED \r\n", chunks, "\r\n"})});
  responses.push_back(
      {"interim heads", Join({"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
                              "HTTP/1.1 102 Processing\r\n\r\n",
                              ok, end})});
  return responses;
}

}  // namespace mulberry
