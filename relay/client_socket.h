// Asks the system about a client's connection: bytes that wait, their age, and whether the client has
// left.
#pragma once

#include <cstddef>
#include <optional>

#include "net/address.h"
#include "net/clock.h"

namespace turntally::relay {

// Returns whether no received bytes are unread.
bool is_input_empty(const net::tcp::socket& socket);

// Returns how long ago the newest byte arrived, in microseconds; 0 if the system does not tell.
net::Time time_since_newest_byte(net::tcp::socket& socket);

// Returns whether the client has closed or reset the connection, or ended its sending, also behind bytes that
// have not been read.
bool has_peer_left(net::tcp::socket& socket);

// Reads bytes that have arrived and drops them. Returns how many, or nothing if the connection has ended.
std::optional<size_t> discard_input(net::tcp::socket& socket);

}  // namespace turntally::relay
