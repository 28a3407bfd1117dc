// The file operations that durable state needs, as hooks.
//
// The daemon runs on realDisk(); tests run on a disk that loses what was not
// synced, fills up or fails. Every operation that fails returns StorageFailed;
// a failed sync is never tried again, since the kernel may have dropped the
// pages that it could not write.

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
    // Names are relative to the data folder.
    std::function<Result<std::vector<std::string>>()> list;
    std::function<Result<std::string>(std::string_view name)> read;
    // Appends to a file, creating it if needed. Not durable until sync().
    std::function<Result<void>(std::string_view name, std::string_view bytes)> append;
    std::function<Result<void>(std::string_view name)> sync;
    // Cuts a file to a length and syncs it.
    std::function<Result<void>(std::string_view name, uint64_t length)> truncate;
    std::function<Result<void>(std::string_view from, std::string_view to)> rename;
    std::function<Result<void>(std::string_view name)> remove;
    // Makes creations, renames and removals durable.
    std::function<Result<void>()> syncFolder;
};

// A disk over a folder, which is created if it does not exist. The folder is
// locked: a second process on the same folder gets StorageFailed.
Result<Disk> realDisk(const std::string &folder);

} // namespace bamboogap

#endif
