#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace indigopoint {

enum class SiteErrorKind : uint8_t {
  UnreadableFile,
  FileTooLarge,
  NestedTooDeep,
  Syntax,
  DuplicateKey,
  UnknownKey,
  WrongType,
  MissingKey,
  OutOfRange,
  BadValue,
  DuplicateName,
  DuplicateId,
  DuplicateAddress,
  UnknownZone,
  NoUpstreams,
  HashCollision,
  OverlayScope,
  ReusedId,
  UnknownService,
  /// An entry that has no effect.
  NoEffect,
  Contradiction,
  OutdatedVersion,
  /// A change that many flows notice.
  LargeChange
};

std::string_view nameOf(SiteErrorKind Kind);

/// One error in a configuration file.
struct SiteError {
  SiteErrorKind Kind = SiteErrorKind::Syntax;
  std::string File;
  /// Counted from 1; 0 for the whole file.
  unsigned Line = 0;
  /// JSON pointer within the file.
  std::string Pointer;
  /// The value or state that was found.
  std::string Actual;
  std::string Remedy;

  /// "base.json:12 /services/0/slot: found ...; use ... [unknown-key]".
  std::string message() const;
};

using SiteErrors = std::vector<SiteError>;

} // namespace indigopoint
