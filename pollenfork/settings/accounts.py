"""Stores client accounts compactly and finds them by key digest.

As Python objects, 42,000 accounts exceed the memory that an entry instance
has for its control data (benchmarks/settings_size.py). Each team's accounts
are therefore one MessagePack blob, and an account is decoded when a request
looks it up.
"""

from array import array
import bisect
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from pollenfork import ids
from pollenfork.settings import model

_NUMBER_BITS = 24
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
_PREFIX_DIGITS = 10  # 40 bits of the digest and 24 of the number.


class PackedAccount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One account in its MessagePack form."""

    name: ids.AccountId
    digest: bytes
    classes: tuple[ids.ClassName, ...]
    default_class: ids.ClassName
    max_in_flight: int

    def unpack(self) -> model.Account:
        """Returns the account as a settings model."""
        return model.Account(
            key_sha256=self.digest.hex(),
            classes=self.classes,
            default_class=self.default_class,
            max_in_flight=self.max_in_flight,
        )


_DECODER = msgspec.msgpack.Decoder(PackedAccount)
_ENCODER = msgspec.msgpack.Encoder()


class AccountPack:
    """The encoded accounts of one team; immutable."""

    def __init__(self, accounts: Mapping[ids.AccountId, model.Account]) -> None:
        self._ends = array("I")
        self.prefixes = array("Q")
        blob = bytearray()
        for name, account in accounts.items():
            blob += _ENCODER.encode(_pack(name, account))
            self._ends.append(len(blob))
            self.prefixes.append(_parse_prefix(account.key_sha256))
        self._blob = bytes(blob)

    def __len__(self) -> int:
        """Returns how many accounts there are."""
        return len(self._ends)

    def read(self, number: int) -> PackedAccount:
        """Decodes the account at index `number`, counted from 0."""
        start = self._ends[number - 1] if number else 0
        return _DECODER.decode(self._blob[start : self._ends[number]])


class AccountIndex:
    """Maps key digests to the accounts of all teams; immutable."""

    def __init__(self, packs: Mapping[ids.Team, AccountPack]) -> None:
        self._teams = tuple(packs)
        self._packs = tuple(packs.values())
        self._starts = array("I", _list_starts(self._packs))
        self._codes = array("Q", sorted(_list_codes(self._packs)))

    def __len__(self) -> int:
        """Returns how many accounts there are."""
        return len(self._codes)

    def find(self, digest: str) -> tuple[ids.Team, PackedAccount] | None:
        """Returns the account whose key has this SHA-256 hex digest."""
        prefix = _parse_prefix(digest)
        wanted = bytes.fromhex(digest)
        position = bisect.bisect_left(self._codes, prefix << _NUMBER_BITS)
        while position < len(self._codes):
            code = self._codes[position]
            if code >> _NUMBER_BITS != prefix:
                return None
            team, account = self._read(code & _NUMBER_MASK)
            if account.digest == wanted:
                return team, account
            position += 1
        return None

    def _read(self, number: int) -> tuple[ids.Team, PackedAccount]:
        position = bisect.bisect_right(self._starts, number) - 1
        account = self._packs[position].read(number - self._starts[position])
        return self._teams[position], account


def _pack(name: ids.AccountId, account: model.Account) -> PackedAccount:
    return PackedAccount(
        name=name,
        digest=bytes.fromhex(account.key_sha256),
        classes=account.classes,
        default_class=account.default_class,
        max_in_flight=account.max_in_flight,
    )


def _parse_prefix(digest: str) -> int:
    return int(digest[:_PREFIX_DIGITS], 16)


def _list_starts(packs: Iterable[AccountPack]) -> Iterator[int]:
    start = 0
    for pack in packs:
        yield start
        start += len(pack)


def _list_codes(packs: Iterable[AccountPack]) -> Iterator[int]:
    number = 0
    for pack in packs:
        for prefix in pack.prefixes:
            yield prefix << _NUMBER_BITS | number
            number += 1
