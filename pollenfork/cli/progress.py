"""Progress output: a bar on a terminal, else periodic lines."""

from collections.abc import Callable, Iterator
import contextlib

from pollenfork import context

_CALLS_PER_LINE = 5

ProgressCallback = Callable[[int, int], None]


@contextlib.contextmanager
def show_progress(
    env: context.Environment, label: str
) -> Iterator[ProgressCallback]:
    """Yields a callback that takes the numbers of done and planned items.

    It should be called about once a second.
    """
    if env.stderr_is_terminal:
        with _show_bar(env, label) as callback:
            yield callback
    else:
        yield _make_line_writer(env, label)


@contextlib.contextmanager
def _show_bar(
    env: context.Environment, label: str
) -> Iterator[ProgressCallback]:
    import rich.console
    import rich.progress

    console = rich.console.Console(file=env.stderr)
    with rich.progress.Progress(console=console, transient=True) as bar:
        task = bar.add_task(label, total=None)
        yield lambda done, planned: bar.update(
            task, completed=done, total=planned
        )


def _make_line_writer(env: context.Environment, label: str) -> ProgressCallback:
    calls = 0

    def callback(done: int, planned: int) -> None:
        nonlocal calls
        calls += 1
        if calls % _CALLS_PER_LINE == 0:
            env.stderr.write(f"{label}: {done} of {planned}\n")
            env.stderr.flush()

    return callback
