#pragma once

#include <asio/ip/tcp.hpp>
#include <string_view>

namespace mulberry {

/// Sends a final answer and closes the connection gracefully: incoming data is read and discarded
/// for up to 1 s or 16 MiB, since a reset would make the peer lose the answer. The answer is
/// dropped when the socket's send buffer has no room. Not thread safe: call it on the thread that
/// runs the socket's io_context.
void CloseWithAnswer(asio::ip::tcp::socket socket, std::string_view answer);

}  // namespace mulberry
