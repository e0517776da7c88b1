"""Which answers break off, and where."""

from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import jobs


class Breaks:
    """Plans the breaks of one crash fault, and counts them."""

    def __init__(self) -> None:
        self._count = 0

    def plan(self, job: jobs.Job, crash: configs.Crash | None) -> None:
        """Decides for a job that enters the batch."""
        if crash is None:
            return
        if crash.times is not None and self._count >= crash.times:
            return
        self._count += 1
        job.resumable = crash.resumable
        job.break_at = _find_position(job, crash)


def _find_position(job: jobs.Job, crash: configs.Crash) -> int:
    if crash.when is configs.CrashPoint.BEFORE_FIRST:
        return job.next_position
    if crash.when is configs.CrashPoint.AT_END:
        return job.prompt.length
    midway = job.next_position + crash.after_tokens
    return min(midway, job.prompt.length)
