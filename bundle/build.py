"""Builds the one binary: interpreter, library, packages and program.

Usage: python -m bundle.build OUTPUT

An executable with the interpreter linked in, with an archive appended that
holds everything else. Needs a C compiler, the interpreter's static library
(`libpython3.x.a`) and what `requirements.txt` names, from the package
registry.
"""

from collections.abc import Iterable, Iterator
import importlib.machinery
import os
import pathlib
import py_compile
import shlex
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

_ROOT = pathlib.Path(__file__).parent.parent
_HERE = pathlib.Path(__file__).parent
_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)
_NEVER = frozenset({"__pycache__", "lib-dynload", "tests"})
_UNUSED_LIBRARY = frozenset(
    {
        "curses", "distutils", "ensurepip", "idlelib", "lib2to3",
        "pydoc_data", "site-packages", "sqlite3", "test", "tkinter",
        "turtledemo", "venv",
    }
)  # fmt: skip
_UNUSED_DYNAMIC = ("_test", "_xx", "xxlimited", "_tkinter", "_ctypes_test")
_UNUSED_PACKAGES = frozenset(
    {"_distutils_hack", "bin", "pkg_resources", "setuptools"}
)
_DATE = (1980, 1, 1, 0, 0, 0)


class BuildError(Exception):
    """The binary can't be built here; the text says what is missing."""


def main() -> None:
    """Builds the binary and prints its size."""
    output = pathlib.Path(sys.argv[1])
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        try:
            build(pathlib.Path(scratch), output)
        except BuildError as error:
            sys.exit(f"make binary: {error}")
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


def build(scratch: pathlib.Path, output: pathlib.Path) -> None:
    """Builds the binary at `output`.

    Args:
        scratch: An empty folder for what is made on the way.
        output: Replaced when everything else has worked.
    """
    launcher = scratch / "launcher"
    archive = scratch / "archive.zip"
    packages = scratch / "packages"
    _compile_launcher(launcher)
    _install(packages)
    _write_archive(archive, packages)
    joined = scratch / "joined"
    with joined.open("wb") as to:
        for part in (launcher, archive):
            with part.open("rb") as source:
                shutil.copyfileobj(source, to)
    joined.chmod(0o755)
    shutil.move(joined, output)


def _compile_launcher(output: pathlib.Path) -> None:
    library = pathlib.Path(
        sysconfig.get_config_var("LIBPL"),
        f"libpython{sysconfig.get_config_var('LDVERSION')}.a",
    )
    if not library.exists():
        raise BuildError(
            f"{library} is missing; install the interpreter's development"
            " files with its static library"
        )
    compiler = os.environ.get("CC", "cc")
    if not shutil.which(compiler):
        raise BuildError(f"no C compiler {compiler}; install one or set CC")
    needed = " ".join(
        sysconfig.get_config_var(name) or "" for name in ("SYSLIBS", "MODLIBS")
    )
    subprocess.run(
        [
            compiler, "-O2", "-s", f"-I{sysconfig.get_path('include')}",
            str(_HERE / "launcher.c"), "-o", str(output),
            "-Wl,--export-dynamic", "-Wl,--whole-archive", str(library),
            "-Wl,--no-whole-archive", *shlex.split(needed),
            "-lpthread", "-ldl", "-lutil", "-lm",
        ],
        check=True,
    )  # fmt: skip


def _install(packages: pathlib.Path) -> None:
    subprocess.run(
        [
            sys.executable, "-m", "pip", "install", "-q", "--no-compile",
            "--disable-pip-version-check", "--target", str(packages),
            "-r", str(_ROOT / "requirements.txt"),
        ],
        check=True,
    )  # fmt: skip


def _write_archive(archive: pathlib.Path, packages: pathlib.Path) -> None:
    """Writes the archive; entries are stored plain, for a quick start."""
    extensions: dict[str, str] = {}
    with zipfile.ZipFile(archive, "w") as made:
        files = list(_list_files(packages))
        # A package without __init__ is found by its folder's entry only.
        for folder in _list_folders(name for name, _ in files):
            _add(made, f"{folder}/", b"")
        for name, path in files:
            if path.name.endswith(_SUFFIXES):
                extensions[_name_module(name)] = name
                _add(made, name, _strip(path, archive.parent))
            elif path.suffix == ".py":
                _add_module(made, name, path)
            else:
                _add(made, name, path.read_bytes())
        for module in ("start", "extensions"):
            path = _HERE / f"{module}.py"
            _add_module(made, f"pollenfork_{module}.py", path)
        _add(
            made,
            "pollenfork_listing.py",
            f"EXTENSIONS = {extensions!r}\n".encode(),
        )


def _strip(path: pathlib.Path, scratch: pathlib.Path) -> bytes:
    """Returns a library without its debugging symbols."""
    stripped = scratch / "stripped.so"
    command = ["strip", "--strip-unneeded", "-o", str(stripped), str(path)]
    subprocess.run(command, check=True)
    return stripped.read_bytes()


def _list_files(
    packages: pathlib.Path,
) -> Iterator[tuple[str, pathlib.Path]]:
    """Yields each file with the name of its entry."""
    library = pathlib.Path(sysconfig.get_path("stdlib"))
    for name, path in _walk(library, (".py",)):
        if name.partition("/")[0] not in _UNUSED_LIBRARY:
            yield name, path
    for name, path in _walk(library / "lib-dynload", _SUFFIXES):
        if not name.startswith(_UNUSED_DYNAMIC):
            yield name, path
    for name, path in _walk(packages, ("",)):
        if name.partition("/")[0] not in _UNUSED_PACKAGES:
            yield name, path
    for name, path in _walk(_ROOT / "pollenfork", (".py", ".json")):
        yield f"pollenfork/{name}", path


def _walk(
    folder: pathlib.Path, suffixes: tuple[str, ...]
) -> Iterator[tuple[str, pathlib.Path]]:
    """Yields the files below a folder, sorted, with their relative names."""
    for path in sorted(folder.rglob("*")):
        inner = path.relative_to(folder)
        is_wanted = path.name.endswith(suffixes) and path.is_file()
        if is_wanted and _NEVER.isdisjoint(inner.parts):
            yield inner.as_posix(), path


def _list_folders(entries: Iterable[str]) -> list[str]:
    folders = {
        str(folder)
        for entry in entries
        for folder in pathlib.PurePosixPath(entry).parents
    }
    return sorted(folders - {"."})


def _name_module(entry: str) -> str:
    stem = entry.rpartition("/")[2].partition(".")[0]
    return ".".join([*entry.split("/")[:-1], stem])


def _add_module(made: zipfile.ZipFile, name: str, path: pathlib.Path) -> None:
    """Adds a module's source, for traces, and what it compiles to."""
    _add(made, name, path.read_bytes())
    with tempfile.NamedTemporaryFile(suffix=".pyc") as compiled:
        try:
            py_compile.compile(
                str(path),
                cfile=compiled.name,
                dfile=name,
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
        except py_compile.PyCompileError:
            return  # A template or a sample for another version.
        _add(made, f"{name}c", pathlib.Path(compiled.name).read_bytes())


def _add(made: zipfile.ZipFile, name: str, body: bytes) -> None:
    entry = zipfile.ZipInfo(name, _DATE)
    entry.external_attr = 0o644 << 16
    made.writestr(entry, body)


if __name__ == "__main__":
    main()
