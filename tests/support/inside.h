// The relay inside the test's own process: where its events have to wait, or its disk is full.
#pragma once

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "relay/config.h"
#include "relay/relay.h"

namespace turntally::testing {

struct Inside {
  boost::asio::io_context io;
  std::optional<relay::Relay> relay;
  std::promise<uint16_t> port;
  std::future<void> run_out;  // its event loop has ended

  void create(const nlohmann::json& config, const std::filesystem::path& folder) {
    relay.emplace(io, relay::parse_config(config.dump(), folder.string()),
                  [this](const auto& address) { port.set_value(address.port()); });
  }
  void run() {
    run_out = std::async(std::launch::async, [this] { io.run(); });
  }
  ~Inside() {
    io.stop();
    if (run_out.valid()) run_out.wait();
  }
};

struct Folder {
  std::filesystem::path path;
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "turntally-relay-inside-XXXXXX";
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

// While it stands the process's files cannot grow beyond a size.
class FullDisk {
 public:
  explicit FullDisk(size_t size) {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit limit{size, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

}  // namespace turntally::testing
