// Addresses as the project writes them: "127.0.0.1:80".
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace turntally::net {

using tcp = boost::asio::ip::tcp;

// Throws std::invalid_argument.
tcp::endpoint parse_address(const std::string& text);
// Opens the acceptor there, also where a connection of before lingers. Where sockets run short it tries again
// for 5 s: blocks so long. Throws CannotListen.
void listen(tcp::acceptor& acceptor, const tcp::endpoint& address);
std::string text_of(const tcp::endpoint& address);

}  // namespace turntally::net
