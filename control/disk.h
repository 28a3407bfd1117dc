// The file operations used for persistent state, as replaceable functions.
//
// The daemon uses realDisk(); tests use a fake that loses unsynced data, fills up or fails. An
// operation that fails returns StorageFailed. Callers must not retry a failed sync, because the
// kernel may have dropped the pages that it could not write.

#ifndef BAMBOOGAP_CONTROL_DISK_H
#define BAMBOOGAP_CONTROL_DISK_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bamboogap {

struct Disk
{
    // File names are relative to the data folder.
    std::function<Result<std::vector<std::string>>()> list;
    std::function<Result<std::string>(std::string_view name)> read;
    // Appends to a file and creates it if it does not exist. Not durable until sync().
    std::function<Result<void>(std::string_view name, std::string_view bytes)> append;
    std::function<Result<void>(std::string_view name)> sync;
    // Truncates a file to `length` bytes and syncs it.
    std::function<Result<void>(std::string_view name, uint64_t length)> truncate;
    std::function<Result<void>(std::string_view from, std::string_view to)> rename;
    std::function<Result<void>(std::string_view name)> remove;
    // Makes file creations, renames and removals in the folder durable.
    std::function<Result<void>()> syncFolder;
};

// Returns file operations on `folder`, which is created if it does not exist and locked while the
// returned functions exist. StorageFailed if it cannot be created or another process has it locked.
Result<Disk> realDisk(const std::string &folder);

} // namespace bamboogap

#endif
