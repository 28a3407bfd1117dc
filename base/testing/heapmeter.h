// Measures what a test allocates.
//
// Replaces the global operators new and delete of the test program that links it.

#ifndef BAMBOOGAP_BASE_TESTING_HEAPMETER_H
#define BAMBOOGAP_BASE_TESTING_HEAPMETER_H

#include <cstddef>
#include <functional>

namespace bamboogap {

// The most bytes that were allocated at a time while `work` ran, above those before it.
size_t peakHeapBytes(const std::function<void()> &work);

} // namespace bamboogap

#endif
