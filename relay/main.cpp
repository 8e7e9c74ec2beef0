// The relay program: flags, signals and the event loop.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "net/log.h"
#include "relay/config.h"
#include "relay/memory_limits.h"
#include "relay/process_end.h"
#include "relay/relay.h"

namespace {

void await_signal(boost::asio::signal_set& signals, turntally::relay::Relay& relay) {
  signals.async_wait([&](const boost::system::error_code& error, int number) {
    if (error) return;
    number == SIGHUP ? relay.reload() : relay.stop();
    await_signal(signals, relay);
  });
}

// Blocks the signals. Once the event loop has ended, a late signal must not kill the process, which has done
// all its work.
void block_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&signals, number);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace turntally;
  CLI::App app(
      "A message relay. The environment names the configuration file (PROXY_CONFIG) and the state folder "
      "(PROXY_STATE).");
  app.footer("Example: PROXY_CONFIG=config.json PROXY_STATE=state turntally-relay --log-level debug");
  std::string level = "info";
  app.add_option("--log-level", level, "debug (a line for each step of each message), info, warn or error");
  CLI11_PARSE(app, argc, argv);
  try {
    net::log::set_level(level);
    std::signal(SIGPIPE, SIG_IGN);
    relay::log_fatal_signals();
    relay::return_freed_memory();
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    relay::Relay relay(io, relay::load_config(), [](const auto& address) {
      net::log::info("listening", "address", net::text_of(address));
    });
    if (const auto control = relay.control_address()) {
      net::log::info("operators", "address", net::text_of(*control));
    }
    await_signal(signals, relay);
    io.run();
    block_signals();
    net::log::info("ended", "reason", relay.end_reason(), "status", 0);
    return 0;
  } catch (const net::Error& error) {  // one line, as programs read it
    std::fprintf(stderr, "turntally-relay: %s (%s)\n", error.what(), error.action().c_str());
    return 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turntally-relay: %s\n", error.what());
    return 1;
  }
}
