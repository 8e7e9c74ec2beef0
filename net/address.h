// Parsing and formatting of TCP addresses such as "127.0.0.1:80", and listening on them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace turntally::net {

using tcp = boost::asio::ip::tcp;

// Parses an IP address with a port. Throws std::invalid_argument if the text is anything else.
tcp::endpoint parse_address(const std::string& text);
// Binds the acceptor to the address and listens, also while connections of an earlier process linger on it.
// Retries for up to 5 s, blocking, while sockets run short. Throws ListenError.
void listen(tcp::acceptor& acceptor, const tcp::endpoint& address);
std::string text_of(const tcp::endpoint& address);

}  // namespace turntally::net
