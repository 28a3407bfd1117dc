// The daemon's command line.

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "node/daemon.h"
#include "node/directdaemon.h"
#include "platform/platform.h"

namespace {

constexpr const char *kVersion = "0.1.0";

int printProblems(const bamboogap::SettingsErrors &errors)
{
    for (const bamboogap::Error &error : errors)
        fmt::print(stderr, "{}\n", error.text());
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    // A file that may not grow is a failed write like any other, not the end.
    std::signal(SIGXFSZ, SIG_IGN);
    std::string file;
    bool checkOnly = false;
    try {
        TCLAP::CmdLine line("Runs one node of a bamboogap fleet: a router, and with a data folder "
                            "also a control replica.",
                            ' ', kVersion);
        TCLAP::ValueArg<std::string> check("", "check", "Check a settings file and exit", false, "",
                                           "file", line);
        TCLAP::ValueArg<std::string> settings(
                "s", "settings", "Settings file to run with; default: the one the platform names",
                false, bamboogap::platform::settingsFile(), "file", line);
        line.parse(argc, argv);
        checkOnly = check.isSet();
        file = checkOnly ? check.getValue() : settings.getValue();
        if (file.empty()) {
            fmt::print(stderr, "no settings file is named; give --settings or --check\n");
            return EXIT_FAILURE;
        }
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    auto settings = bamboogap::loadSettings(file);
    if (!settings)
        return printProblems(settings.error());
    if (checkOnly) {
        fmt::print("{}: settings are valid\n", file);
        return EXIT_SUCCESS;
    }
    bamboogap::platform::applyContracts(*settings);
    const bool direct = settings->forwarding == bamboogap::Forwarding::Direct;
    auto daemon = direct ? bamboogap::startDirectDaemon(std::move(*settings), file,
                                                        bamboogap::platform::dialect())
                         : bamboogap::Daemon::start(std::move(*settings));
    if (!daemon)
        return printProblems({ daemon.error() });
    (*daemon)->run();
    return EXIT_SUCCESS;
}
