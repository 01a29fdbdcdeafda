#pragma once

#include <string>

namespace indigopoint {

/// Compares \p Text with tests/golden/NAME.txt. Returns an empty string if
/// they are equal, else where they differ. With UPDATE_GOLDEN set in the
/// environment the file is rewritten instead.
std::string compareWithGolden(const std::string &Name, const std::string &Text);

} // namespace indigopoint
