#include "registry/identity.h"

#include <random>

#include "net/clock.h"
#include "net/random.h"

namespace turntally::registry {

std::string new_list_identity() {
  std::random_device random;
  const uint64_t high = random();
  return net::hex((high << 32) ^ random());
}

Revision revision_floor() { return static_cast<Revision>(net::wall_now() / 1000); }

}  // namespace turntally::registry
