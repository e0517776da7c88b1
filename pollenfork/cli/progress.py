"""Progress of long work: a bar on a terminal, else a line now and then."""

from collections.abc import Callable, Iterator
import contextlib

from pollenfork import context

_CALLS_PER_LINE = 5

Show = Callable[[int, int], None]


@contextlib.contextmanager
def show_progress(env: context.Environment, what: str) -> Iterator[Show]:
    """Yields a function to call about every second with done and planned."""
    if env.stderr_is_terminal:
        with _show_bar(env, what) as show:
            yield show
    else:
        yield _make_lines(env, what)


@contextlib.contextmanager
def _show_bar(env: context.Environment, what: str) -> Iterator[Show]:
    import rich.console
    import rich.progress

    console = rich.console.Console(file=env.stderr)
    with rich.progress.Progress(console=console, transient=True) as bar:
        task = bar.add_task(what, total=None)
        yield lambda done, planned: bar.update(
            task, completed=done, total=planned
        )


def _make_lines(env: context.Environment, what: str) -> Show:
    calls = 0

    def show(done: int, planned: int) -> None:
        nonlocal calls
        calls += 1
        if calls % _CALLS_PER_LINE == 0:
            env.stderr.write(f"{what}: {done} of {planned}\n")
            env.stderr.flush()

    return show
