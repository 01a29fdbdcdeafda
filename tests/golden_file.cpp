#include "golden_file.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace indigopoint {

std::string compareWithGolden(const std::string &Name,
                              const std::string &Text) {
  const std::string Path =
      std::string(SOURCE_DIR) + "/tests/golden/" + Name + ".txt";
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(Path) << Text;
    return "";
  }
  std::ifstream File(Path);
  std::ostringstream Expected;
  Expected << File.rdbuf();
  if (Expected.str() == Text)
    return "";
  return Path + " differs. It is now:\n" + Text +
         "If this is intended, run the test with UPDATE_GOLDEN=1 and review "
         "the difference.";
}

} // namespace indigopoint
