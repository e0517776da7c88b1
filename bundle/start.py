"""The archive's first module: makes extensions importable, then starts."""

import sys

import pollenfork_extensions
import pollenfork_listing

sys.meta_path.insert(
    0,
    pollenfork_extensions.ArchiveFinder(
        sys.executable, pollenfork_listing.EXTENSIONS
    ),
)

from pollenfork import __main__  # noqa: E402

__main__.main()
