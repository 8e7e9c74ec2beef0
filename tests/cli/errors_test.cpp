// Tests the error types against the table in docs/errors.md, the errors that the registry's client raises,
// and the exit statuses and error output of turntally.
#include "cli/errors.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

#include "controller/errors.h"
#include "lab/errors.h"
#include "net/http.h"
#include "registry/client.h"
#include "registry/client_errors.h"
#include "registry/errors.h"
#include "relay/errors.h"
#include "relay/fence.h"

namespace turntally {
namespace {

namespace fs = std::filesystem;

// Returns an instance of every error type. Errors.SampleListNamesEveryType fails if a type is missing here.
const std::map<std::string, net::Error>& sample_errors() {
  static const std::map<std::string, net::Error> kErrors = {
      {"net/InvalidInput", net::InvalidInput("f:1: key: is missing")},
      {"net/ListenError", net::ListenError("127.0.0.1:1", "in use")},
      {"registry/BadRequest", registry::BadRequest("no")},
      {"registry/NoSuchCall", registry::NoSuchCall("/x")},
      {"registry/NoSuchMethod", registry::NoSuchMethod("PATCH")},
      {"registry/NotListed", registry::NotListed("e-1")},
      {"registry/NotRegistered", registry::NotRegistered("e-1")},
      {"registry/RevisionConflict", registry::RevisionConflict("e-1")},
      {"registry/NoLeader", registry::NoLeader("no")},
      {"registry/NoList", registry::NoList()},
      {"registry/Busy", registry::Busy()},
      {"registry/WriteUnknown", registry::WriteUnknown("no")},
      {"registry/NoRoom", registry::NoRoom("no")},
      {"registry/LogClosed", registry::LogClosed("no")},
      {"registry/NotInLog", registry::NotInLog()},
      {"registry/ProposalRefused", registry::ProposalRefused("no")},
      {"registry/MemberUnknown", registry::MemberUnknown(1)},
      {"registry/LastMember", registry::LastMember()},
      {"registry/LeadMoves", registry::LeadMoves("no")},
      {"registry/MembersChange", registry::MembersChange("no")},
      {"registry/LeaseFenced", registry::LeaseFenced("no")},
      {"registry/LeaseUnknown", registry::LeaseUnknown("no")},
      {"registry/LeaseRefused", registry::LeaseRefused("no")},
      {"registry/NoMember", registry::NoMember("none")},
      {"registry/Refused", registry::Refused(409, "no")},
      {"registry/OutcomeUnknown", registry::OutcomeUnknown("lost")},
      {"registry/AnswerUnreadable", registry::AnswerUnreadable("hello")},
      {"registry/ListUnreadable", registry::ListUnreadable("hello")},
      {"relay/MissingEnvironment", relay::MissingEnvironment("X")},
      {"relay/BadConfig", relay::BadConfig("no")},
      {"relay/StateUnusable", relay::StateUnusable("no")},
      {"relay/HandoverRefused", relay::HandoverRefused("folder")},
      {"relay/HandoverUnavailable", relay::HandoverUnavailable("no")},
      {"relay/HandoverFrameInvalid", relay::HandoverFrameInvalid('S', "no")},
      {"relay/ClaimUnreadable", relay::ClaimUnreadable("no")},
      {"relay/LeaseFenced", relay::LeaseFenced({"task/mirror", 3, false}, 4)},
      {"relay/TooManyLeases", relay::TooManyLeases("task/mirror")},
      {"relay/FencingTokenNotStored", relay::FencingTokenNotStored("task/mirror")},
      {"controller/NoAnswer", controller::NoAnswer("discovery")},
      {"controller/Fenced", controller::Fenced("discovery")},
      {"controller/Refused", controller::Refused("discovery", 500, "no")},
      {"controller/BackupBroken", controller::BackupBroken("no")},
      {"controller/FolderUnusable", controller::FolderUnusable("no")},
      {"controller/WatchBroken", controller::WatchBroken("no")},
      {"lab/NoAddresses", lab::NoAddresses()},
      {"lab/NotStarted", lab::NotStarted("no")},
      {"lab/NotReady", lab::NotReady("the registry", 3)},
      {"lab/NotWritten", lab::NotWritten("file")},
      {"lab/NoPlot", lab::NoPlot("file")},
      {"cli/InvalidUsage", cli::InvalidUsage("no")},
      {"cli/FileUnreadable", cli::FileUnreadable("file", "no")},
      {"cli/NotConfirmed", cli::NotConfirmed()},
      {"cli/EndpointNotListed", cli::EndpointNotListed("e-1")},
      {"cli/NotExecutable", cli::NotExecutable("--a", "file")},
      {"cli/FolderUnusable", cli::FolderUnusable("folder", "no")},
      {"cli/MemberNotStarted", cli::MemberNotStarted(1, "no")},
      {"cli/MemberEnded", cli::MemberEnded(1, "no")},
      {"cli/Unexpected", cli::Unexpected("no")},
  };
  return kErrors;
}

std::string file_text(const fs::path& path) {
  std::ostringstream out;
  out << std::ifstream(path).rdbuf();
  return out.str();
}

TEST(Errors, SampleListNamesEveryType) {
  // A folder's common base classes (Error, FenceError) are not error types themselves.
  const std::regex derived(
      R"((?:class|struct)\s+(?!Error\b|FenceError\b)(\w+)\s*(?:final\s*)?:\s*(?:public\s+)?(?:net::)?(?:Fence)?Error\b)");
  std::set<std::string> found;
  for (const char* folder : {"net", "registry", "relay", "lab", "cli", "lease", "controller"}) {
    if (!fs::exists(fs::path(SOURCE) / folder)) continue;
    for (const auto& file : fs::directory_iterator(fs::path(SOURCE) / folder)) {
      if (file.path().extension() != ".h" && file.path().extension() != ".cpp") continue;
      const std::string text = file_text(file.path());
      for (std::sregex_iterator it(text.begin(), text.end(), derived), end; it != end; ++it)
        found.insert(std::string(folder) + "/" + (*it)[1].str());
    }
  }
  std::set<std::string> sampled;
  for (const auto& [name, error] : sample_errors()) sampled.insert(name);
  EXPECT_EQ(found, sampled);
}

TEST(Errors, CodesAreUniqueAndTableListsActionAndStatus) {
  struct Row {
    std::string action;
    std::string status;
  };
  std::map<std::string, Row> table;
  const std::regex row(R"(\| `(\w+)` \| [^|]+ \| ([^|]+) \| ([1-4]) \|)");
  std::istringstream lines(file_text(fs::path(SOURCE) / "docs/errors.md"));
  for (std::string line; std::getline(lines, line);) {
    std::smatch match;
    if (!std::regex_match(line, match, row)) continue;
    EXPECT_TRUE(table.emplace(match[1], Row{match[2], match[3]}).second)
        << match[1] << " is in the table twice";
  }
  std::map<std::string, std::string> codes;
  for (const auto& [name, error] : sample_errors()) {
    const std::string code = error.code();
    // lease_fenced is shared by every component that refuses a token lower than one it has seen.
    EXPECT_TRUE(codes.emplace(code, name).second || code == "lease_fenced")
        << name << " and " << codes[code] << ": " << code;
    EXPECT_TRUE(std::regex_match(code, std::regex("[a-z_]+"))) << name << ": " << code;
    EXPECT_FALSE(error.action().empty()) << name;
    EXPECT_EQ((error.what() + error.action()).find('\n'), std::string::npos) << name;
    EXPECT_EQ(table[code].action, error.action()) << name;
    EXPECT_EQ(table[code].status, std::to_string(1 + static_cast<int>(error.kind()))) << name;
  }
  for (const auto& [code, entry] : table)
    EXPECT_TRUE(codes.contains(code)) << code << " belongs to no error type";
}

// A stand-in for a registry member that runs on a thread of its own and answers through a test's handler. A
// reply with status 0 is never sent.
class FakeMember {
 public:
  using Handler = std::function<net::HttpResponse(const net::HttpRequest&)>;
  explicit FakeMember(Handler handler)
      : server_(io_, net::parse_address("127.0.0.1:0"), {},
                [this, handler](const net::HttpRequest& request,
                                const std::shared_ptr<net::HttpResponder>& answer) {
                  const net::HttpResponse reply = handler(request);
                  reply.status != 0 ? answer->reply(reply) : unanswered_.push_back(answer);
                }),
        address_(server_.address()),
        thread_([this] { io_.run(); }) {}
  ~FakeMember() {
    io_.stop();
    thread_.join();
  }
  net::tcp::endpoint address() const { return address_; }

 private:
  boost::asio::io_context io_;
  std::vector<std::shared_ptr<net::HttpResponder>> unanswered_;  // kept open until the end
  net::HttpServer server_;
  net::tcp::endpoint address_;
  std::thread thread_;
};

net::HttpResponse json_reply(int status, const std::string& body) {
  return {status, body, "application/json", {}};
}

// Calls the client and returns the error of type `Type` that the call throws; any other outcome fails the
// test.
template <typename Type>
Type error_of_call(const net::tcp::endpoint& at, const std::string& method,
                   std::chrono::milliseconds timeout = std::chrono::seconds(20)) {
  registry::Client client({at}, std::chrono::milliseconds(200));
  try {
    client.get({method, "/api/targets", {}, "", timeout});
  } catch (const Type& error) {
    return error;
  } catch (const net::Error& error) {
    ADD_FAILURE() << error.code() << ": " << error.what();
  }
  ADD_FAILURE() << "no error of its type";
  throw std::logic_error("unreached");
}

TEST(Errors, ClientKeepsCodeAndActionOfRegistryReply) {
  const FakeMember named([](const auto&) {
    return json_reply(
        409, R"({"code":"lease_fenced","error":"a\nlater grant stands","action":"stop","outcome":"none"})");
  });
  const auto refused = error_of_call<registry::Refused>(named.address(), "PUT");
  EXPECT_STREQ(refused.code(), "lease_fenced");
  EXPECT_STREQ(refused.what(), "a later grant stands");
  EXPECT_EQ(refused.action(), "stop");
  EXPECT_EQ(refused.kind(), net::ErrorKind::kRefused);
  const FakeMember plain([](const auto&) { return json_reply(400, R"({"error":"no","code":"A B"})"); });
  EXPECT_STREQ(error_of_call<registry::Refused>(plain.address(), "PUT").code(), "registry_refused");
  EXPECT_EQ(error_of_call<registry::Refused>(plain.address(), "PUT").kind(), net::ErrorKind::kInvalidInput);
  const FakeMember other([](const auto&) { return json_reply(200, "<html>\n"); });
  EXPECT_NE(
      std::string(error_of_call<registry::AnswerUnreadable>(other.address(), "GET").what()).find("<html>"),
      std::string::npos);
}

TEST(Errors, ClientReportsUnknownOutcomeOfUnansweredWrite) {
  net::tcp::endpoint nowhere;
  {
    const FakeMember gone([](const auto&) { return json_reply(200, "{}"); });
    nowhere = gone.address();
  }
  error_of_call<registry::NoMember>(nowhere, "GET");
  error_of_call<registry::NoMember>(nowhere, "PUT");  // the connection was refused, so nothing was sent
  const FakeMember silent([](const auto&) { return json_reply(0, ""); });
  const auto soon = std::chrono::milliseconds(100);
  error_of_call<registry::NoMember>(silent.address(), "GET", soon);
  error_of_call<registry::OutcomeUnknown>(silent.address(), "PUT", soon);
  const FakeMember unsure(
      [](const auto&) { return json_reply(503, R"({"error":"late","outcome":"unknown"})"); });
  EXPECT_STREQ(error_of_call<registry::OutcomeUnknown>(unsure.address(), "PUT").what(),
               "late; the write may have been applied");
  error_of_call<registry::Refused>(unsure.address(), "GET");
  const FakeMember leaderless(
      [](const auto&) { return json_reply(503, R"({"error":"none leads","outcome":"none"})"); });
  error_of_call<registry::Refused>(leaderless.address(), "PUT");
}

// Runs turntally and returns its exit status, or -1 if a signal ended it, and its standard error.
std::pair<int, std::string> run_turntally(const std::string& arguments) {
  FILE* pipe =
      ::popen((std::string(TURNTALLY) + " " + arguments + " 2>&1 >/dev/null </dev/null").c_str(), "r");
  std::string out;
  char bytes[512];
  for (size_t got = 0; (got = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.append(bytes, got);
  const int status = ::pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

TEST(Errors, TurntallyExitsWithStatusOfErrorFamilyAndPrintsAction) {
  std::string folder = ::testing::TempDir() + "errors-XXXXXX";
  ASSERT_NE(::mkdtemp(folder.data()), nullptr);
  std::ofstream(folder + "/list.json") << R"({"entries":[{"id":"a","host_port":"127.0.0.1:80"}]})";
  std::atomic<int> status = 409;
  const FakeMember member([&status](const net::HttpRequest& request) {
    if (request.method == "GET") return json_reply(200, R"({"entries":[]})");
    return json_reply(status,
                      R"({"code":"conflict","error":"changed","action":"look again","outcome":"unknown"})");
  });
  const std::string apply =
      "targets apply " + folder + "/list.json --at " + net::text_of(member.address()) + " --yes";
  EXPECT_EQ(run_turntally(apply),
            std::pair(3, std::string("+ a  host_port \"127.0.0.1:80\"\nturntally: changed\n"
                                     "  look again [conflict]\n")));
  status = 503;  // takes the client's whole timeout of 8 s
  EXPECT_EQ(run_turntally(apply).first, 4);
  status = 500;
  EXPECT_EQ(run_turntally(apply).first, 1);
  EXPECT_EQ(
      run_turntally("targets drain nobody --yes --at " + net::text_of(member.address())),
      std::pair(2,
                std::string("turntally: endpoint 'nobody' is not in the registry's list\n"
                            "  run turntally targets list to see the endpoint ids [endpoint_not_listed]\n")));
  EXPECT_EQ(run_turntally("nonsense"),
            std::pair(2, std::string("turntally: 'nonsense' is not a known command or option\n"
                                     "  see turntally --help, or --help after a subcommand [wrong_use]\n")));
  EXPECT_EQ(run_turntally("registry run " + folder + "/none.toml").first, 2);
  const std::string address = net::text_of(member.address());  // already in use
  std::ofstream(folder + "/r.toml") << "folder = \"" << folder
                                    << "/state\"\n[[members]]\nmember = 1\nraft = \""
                                    << "127.0.0.1:1\"\nhttp = \"" << address << "\"\n";
  const auto [exit_status, output] = run_turntally("registry run " + folder + "/r.toml");
  EXPECT_EQ(exit_status, 1);
  EXPECT_NE(output.find("cannot listen at " + address), std::string::npos) << output;
  EXPECT_NE(output.find("[cannot_listen]"), std::string::npos) << output;
  fs::remove_all(folder);
}

}  // namespace
}  // namespace turntally
