"""Imports C extensions that lie in the archive, without a disk.

The dynamic linker loads only from a file. The extension's bytes go into an
anonymous file in memory (`memfd_create`), which the linker opens under
`/proc/self/fd`. The file belongs to this process alone and no other can
open it by a name; nothing is shared.

This module imports only what needs no extension: whatever is imported before
it works would stay without its own.
"""

import importlib.machinery
import os
import zipimport


class ArchiveFinder:
    """Finds the extensions of one archive."""

    def __init__(self, archive: str, entries: dict[str, str]) -> None:
        """Wires a finder.

        Args:
            archive: Path of the archive.
            entries: The entry in the archive, by the module's full name.
        """
        self._archive = zipimport.zipimporter(archive)
        self._entries = entries

    def find_spec(
        self, fullname: str, path: object, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns how to load the extension, if the archive has it."""
        del path, target
        entry = self._entries.get(fullname)
        if entry is None:
            return None
        location = self._copy_to_memory(fullname, entry)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.machinery.ModuleSpec(fullname, loader, origin=location)

    def _copy_to_memory(self, name: str, entry: str) -> str:
        """Returns the path of an open file with the entry's bytes.

        It stays open: the linker knows a library by its path, and a closed
        descriptor's number would come again for another library.
        """
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        left = memoryview(self._archive.get_data(entry))
        while left:
            left = left[os.write(descriptor, left) :]
        return f"/proc/self/fd/{descriptor}"
