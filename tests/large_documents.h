#pragma once

#include <string>
#include <vector>

namespace indigopoint {

/// A document whose form makes it costly to read.
struct LargeDocument {
  /// A valid name of a test.
  std::string Kind;
  std::string Bytes;
};

/// One document of each kind, of about \p Size bytes.
std::vector<LargeDocument> largeDocuments(size_t Size);

/// A sound registration that has \p Size bytes by a field that is not read.
std::string paddedRegistration(size_t Size);

} // namespace indigopoint
