// Usage: site CASE FOLDER RECORD. TROUBLE=0 in the environment: the same without the disruption.
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "cases.hpp"

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: site CASE FOLDER RECORD\n";
    return 2;
  }
  try {
    const char* trouble = std::getenv("TROUBLE");
    boost::asio::io_context io{1};
    review::Site site(io, review::options_of(argv[1]), argv[2], argv[3]);
    const auto run = std::make_shared<review::Run>(
        review::Run{site, trouble == nullptr || std::string(trouble) != "0", [&site](int result) {
                      site.log("result " + std::to_string(result) +
                               (site.first_broken.empty() ? "" : ", " + site.first_broken));
                      std::cout << "result " << result << (site.first_broken.empty() ? "" : ": " + site.first_broken)
                                << std::endl;
                      std::_Exit(result);
                    }});
    site.log(std::string("case ") + argv[1] + (run->trouble ? "" : " without the disruption"));
    site.after(116, [run] {
      run->site.log("no result in time");
      run->finish(run->site.rules_broken > 0 ? 1 : 2);
    });
    review::start_case(argv[1], run);
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "site: " << error.what() << '\n';
  }
  return 2;
}
