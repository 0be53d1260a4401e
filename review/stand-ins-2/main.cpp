// review-2 CASE FOLDER PROGRAM: plays one case. 1: the rule was broken, 0: it held, 2: it
// couldn't run. TROUBLE=0 leaves the disruption out.
#include <cstdlib>
#include <iostream>
#include <map>

#include "cases.hpp"

int main(int argc, char** argv) {
  if (argc < 4) {
    std::cerr << "usage: review-2 CASE FOLDER PROGRAM\n";
    return 2;
  }
  const char* value = std::getenv("TROUBLE");
  standin::CaseArguments arguments{argv[2], argv[3], value == nullptr || std::string(value) != "0"};
  const auto found = standin::cases().find(argv[1]);
  if (found == standin::cases().end()) {
    std::cerr << "no such case\n";
    return 2;
  }
  try {
    return found->second(arguments);
  } catch (const std::exception& error) {
    std::cerr << "the case couldn't run: " << error.what() << '\n';
    return 2;
  }
}
