// turntally: one program for operators.
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/errors.h"
#include "registry/client_errors.h"

namespace {

using namespace turntally;

int failed(const net::Error& error) {
  std::fprintf(stderr, "turntally: %s\n  %s [%s]\n", error.what(), error.action().c_str(), error.code());
  switch (error.family()) {
    case net::Family::kBroken:
      return cli::kBroken;
    case net::Family::kMisuse:
      return cli::kMisuse;
    case net::Family::kRefused:
      return cli::kRefused;
    case net::Family::kUnknown:
      return cli::kUnknown;
  }
  return cli::kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("turntally: a message relay's fleet, for operators.");
  app.set_version_flag("--version", "turntally " TURNTALLY_VERSION);
  app.footer(
      "Exit status: 0 all held, 1 something was broken, 2 wrong use, 3 refused as things stand, 4 it may "
      "have "
      "been done.\nWhat went wrong stands on standard error, below it what to do [code: docs/errors.md].\n"
      "Example: turntally lab run lab/scenarios/calm.toml");
  app.require_subcommand(1);
  int status = cli::kHeld;
  cli::add_controller(app, status);
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
    return failed(cli::WrongUse(unknown.empty() ? error.what() : "'" + unknown.front() + "' is not known"));
  } catch (const net::Error& error) {
    return failed(error);
  } catch (const nlohmann::json::exception& error) {  // files are read with words of their own
    return failed(registry::AnswerUnreadable(error.what()));
  } catch (const std::exception& error) {
    return failed(cli::Unexpected(error.what()));
  }
}
