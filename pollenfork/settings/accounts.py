"""Client accounts packed for memory: found by the digest of their key.

Held as objects, 42,000 accounts take more memory than an entry instance's
whole budget for control leaves (benchmarks/settings_size.py). Here each
team's accounts are one MessagePack blob, and an account is decoded when a
request looks it up.
"""

from array import array
import bisect
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from pollenfork import ids
from pollenfork.settings import model

_NUMBER_BITS = 24
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
_PREFIX_DIGITS = 10  # 40 bits of the digest, beside 24 of the number.


class PackedAccount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One account as packed."""

    name: ids.AccountId
    digest: bytes
    classes: tuple[ids.ClassName, ...]
    default_class: ids.ClassName
    max_in_flight: int

    def unpack(self) -> model.Account:
        """Returns the account as the rest of the program knows it."""
        return model.Account(
            key_sha256=self.digest.hex(),
            classes=self.classes,
            default_class=self.default_class,
            max_in_flight=self.max_in_flight,
        )


_DECODER = msgspec.msgpack.Decoder(PackedAccount)
_ENCODER = msgspec.msgpack.Encoder()


class AccountPack:
    """The accounts of one team; immutable."""

    def __init__(self, accounts: Mapping[ids.AccountId, model.Account]) -> None:
        self._ends = array("I")
        self.prefixes = array("Q")
        blob = bytearray()
        for name, account in accounts.items():
            blob += _ENCODER.encode(_pack(name, account))
            self._ends.append(len(blob))
            self.prefixes.append(_take_prefix(account.key_sha256))
        self._blob = bytes(blob)

    def __len__(self) -> int:
        """Returns how many accounts there are."""
        return len(self._ends)

    def read(self, number: int) -> PackedAccount:
        """Returns the account at `number`, counted from 0."""
        start = self._ends[number - 1] if number else 0
        return _DECODER.decode(self._blob[start : self._ends[number]])


class AccountIndex:
    """Finds an account of any team by the digest of its key; immutable."""

    def __init__(self, packs: Mapping[ids.Team, AccountPack]) -> None:
        self._teams = tuple(packs)
        self._packs = tuple(packs.values())
        self._starts = array("I", _sum_lengths(self._packs))
        self._codes = array("Q", sorted(_number_all(self._packs)))

    def __len__(self) -> int:
        """Returns how many accounts there are."""
        return len(self._codes)

    def find(self, digest: str) -> tuple[ids.Team, PackedAccount] | None:
        """Returns the account whose key has this SHA-256 hex digest."""
        prefix = _take_prefix(digest)
        wanted = bytes.fromhex(digest)
        place = bisect.bisect_left(self._codes, prefix << _NUMBER_BITS)
        while place < len(self._codes):
            code = self._codes[place]
            if code >> _NUMBER_BITS != prefix:
                return None
            team, account = self._read(code & _NUMBER_MASK)
            if account.digest == wanted:
                return team, account
            place += 1
        return None

    def _read(self, number: int) -> tuple[ids.Team, PackedAccount]:
        place = bisect.bisect_right(self._starts, number) - 1
        account = self._packs[place].read(number - self._starts[place])
        return self._teams[place], account


def _pack(name: ids.AccountId, account: model.Account) -> PackedAccount:
    return PackedAccount(
        name=name,
        digest=bytes.fromhex(account.key_sha256),
        classes=account.classes,
        default_class=account.default_class,
        max_in_flight=account.max_in_flight,
    )


def _take_prefix(digest: str) -> int:
    return int(digest[:_PREFIX_DIGITS], 16)


def _sum_lengths(packs: Iterable[AccountPack]) -> Iterator[int]:
    start = 0
    for pack in packs:
        yield start
        start += len(pack)


def _number_all(packs: Iterable[AccountPack]) -> Iterator[int]:
    number = 0
    for pack in packs:
        for prefix in pack.prefixes:
            yield prefix << _NUMBER_BITS | number
            number += 1
