// turntally: one program for operators.
#include <cstdio>
#include <exception>

#include "command.h"
#include "net/toml.h"

int main(int argc, char** argv) {
  using namespace firspool;
  CLI::App app("turntally: a message relay's fleet, for operators.");
  app.set_version_flag("--version", "turntally " TURNTALLY_VERSION);
  app.footer(
      "Exit status: 0 all held, 1 something was broken, 2 wrong use.\nExample: turntally lab run "
      "lab/scenarios/calm.toml");
  app.require_subcommand(1);
  int status = cli::kHeld;
  cli::add_lab(app, status);
  cli::add_registry(app, status);
  cli::add_targets(app, status);
  try {
    app.parse(argc, argv);
    return status;
  } catch (const CLI::Success& done) {  // --help, --version
    return app.exit(done);
  } catch (const CLI::ParseError& error) {
    const auto unknown = app.remaining(true);
    const std::string what = unknown.empty() ? error.what() : "'" + unknown.front() + "' is not known";
    std::fprintf(stderr, "turntally: %s (see --help)\n", what.c_str());
    return cli::kMisuse;
  } catch (const net::BadInput& error) {
    std::fprintf(stderr, "turntally: %s\n", error.what());
    return cli::kMisuse;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turntally: %s\n", error.what());
    return cli::kBroken;
  }
}
