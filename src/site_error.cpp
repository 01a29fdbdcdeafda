#include "site_error.h"

#include <array>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 23> KindNames = {
    "unreadable-file",   "file-too-large",
    "nested-too-deep",   "syntax",
    "duplicate-key",     "unknown-key",
    "wrong-type",        "missing-key",
    "out-of-range",      "bad-value",
    "duplicate-name",    "duplicate-id",
    "duplicate-address", "unknown-zone",
    "no-upstreams",      "hash-collision",
    "overlay-scope",     "reused-id",
    "unknown-service",   "no-effect",
    "contradiction",     "outdated-version",
    "large-change"};

} // namespace

std::string_view nameOf(SiteErrorKind Kind) {
  const auto Index = static_cast<size_t>(Kind);
  return Index < KindNames.size() ? KindNames[Index] : "invalid";
}

std::string SiteError::message() const {
  std::string Text = File;
  if (Line > 0)
    Text += ":" + std::to_string(Line);
  if (!Pointer.empty())
    Text += " " + Pointer;
  return Text + ": found " + Actual + "; " + Remedy + " [" +
         std::string(nameOf(Kind)) + "]";
}

} // namespace indigopoint
