"""The tokens that this instance's requests hold on each runner."""

import msgspec

from pollenfork.fleet import candidates


class _Account(msgspec.Struct):
    """What is held on one incarnation of a runner."""

    tokens: int = 0


class Hold(msgspec.Struct):
    """The tokens that one attempt holds until it is released.

    Attributes:
        account: The incarnation's account that they were added to. A runner
            that the registry removed and that returns has another one, even if
            its incarnation can't be told from the earlier one.
        tokens: The tokens; 0 after the release.
    """

    account: _Account
    tokens: int


class RoomLedger:
    """Adds up what this instance's requests hold, by incarnation hash."""

    def __init__(self) -> None:
        """Starts with nothing held."""
        self._accounts: dict[int, _Account] = {}

    def hold(self, runner: int, profile: candidates.RequestProfile) -> Hold:
        """Adds the tokens that a request needs until its end.

        Requests of services that aren't forecast hold none. A request holds no
        more than the runner's whole KV cache.

        Args:
            runner: The hash of the runner's incarnation.
            profile: What the request needs.
        """
        account = self._accounts.setdefault(runner, _Account())
        tokens = profile.needed_tokens if profile.forecast else 0
        if profile.cache_tokens > 0:
            tokens = min(tokens, profile.cache_tokens)
        account.tokens += tokens
        return Hold(account, tokens)

    def release(self, hold: Hold) -> None:
        """Removes the tokens of an attempt; does nothing the second time."""
        hold.account.tokens -= hold.tokens
        hold.tokens = 0

    def get_held(self, runner: int) -> int:
        """Returns the tokens held on an incarnation."""
        account = self._accounts.get(runner)
        return 0 if account is None else account.tokens

    def forget(self, runner: int) -> None:
        """Forgets an incarnation; requests that still run there hold none."""
        self._accounts.pop(runner, None)
