#include "base/testing/heapmeter.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

thread_local size_t allocated = 0;
thread_local size_t peak = 0;

void *allocate(size_t size)
{
    void *memory = std::malloc(std::max<size_t>(size, 1));
    if (!memory)
        throw std::bad_alloc();
    allocated += malloc_usable_size(memory);
    peak = std::max(peak, allocated);
    return memory;
}

void release(void *memory)
{
    if (!memory)
        return;
    allocated -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

void *operator new(size_t size)
{
    return allocate(size);
}

void *operator new[](size_t size)
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete[](void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, size_t) noexcept
{
    release(memory);
}

void operator delete[](void *memory, size_t) noexcept
{
    release(memory);
}

namespace bamboogap {

size_t peakHeapBytes(const std::function<void()> &work)
{
    const size_t before = allocated;
    peak = allocated;
    work();
    return peak - before;
}

} // namespace bamboogap
