#include "relay/durable_clock.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace turntally::relay {
namespace {

constexpr char kBootFile[] = "/proc/sys/kernel/random/boot_id";
constexpr char kBoot[] = "boot";
constexpr char kOffset[] = "offset";

}  // namespace

DurableClock::Reading DurableClock::read_machine() {
  Reading out;
  std::ifstream file(kBootFile);
  std::getline(file, out.boot);
  out.steady = net::steady_now();
  out.wall = net::wall_now();
  return out;
}

DurableClock::DurableClock(const Reading& machine, const std::string& stored)
    : boot_(machine.boot), offset_(machine.wall - machine.steady) {
  const auto before = nlohmann::json::parse(stored, nullptr, false);
  if (boot_.empty() || !before.is_object() || before.value(kBoot, "") != boot_) return;
  offset_ = before.value(kOffset, offset_);
}

std::string DurableClock::text() const {
  if (boot_.empty()) return "";
  return nlohmann::json{{kBoot, boot_}, {kOffset, offset_}}.dump();
}

}  // namespace turntally::relay
