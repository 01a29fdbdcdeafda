#pragma once

namespace indigopoint {

/// Measures packets per second and latency of one instance and of a bare
/// forwarder, alternately, and prints both. Returns false if either passed no
/// requests.
bool measureLoopback(int Seconds, int Rounds);

} // namespace indigopoint
