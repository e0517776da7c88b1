"""Digests that identify requests that come again, and parts they share."""

import functools
import hashlib

from pollenfork import ids

_BYTES = 8
# Names of parts whose digests are kept, about 200 bytes each.
_CACHED_PARTS = 4096


def compute(
    account: ids.AccountId | None, method: bytes, target: bytes, body: bytes
) -> ids.RequestDigest:
    """Returns the digest of a request, equal for every attempt and instance.

    Other headers are left out, as a client may change them between attempts.
    The hash is cryptographic, so that nobody can craft a request that collides
    with another account's; it takes about 20 us for a body of 20 KB.

    Args:
        account: The account that sent it; None where the route needs no key.
        method: The HTTP method.
        target: The path with its query.
        body: The body.
    """
    head = b"%b %b %b " % ((account or "").encode(), method, target)
    # The length prefix keeps the end of the head distinct from the body.
    head = b"%d %b" % (len(head), head)
    made = hashlib.blake2b(head + body, digest_size=_BYTES)
    return ids.RequestDigest(int.from_bytes(made.digest()))


@functools.lru_cache(_CACHED_PARTS)
def compute_part(service: ids.ServiceName, name: bytes) -> ids.RequestDigest:
    """Returns the digest of a prompt part, equal at every instance.

    It can't equal a request's by design: what is hashed begins otherwise.

    Args:
        service: The service whose runners read the part.
        name: What identifies the part's text.
    """
    head = b"part %d %b" % (len(service), service.encode())
    made = hashlib.blake2b(head + name, digest_size=_BYTES)
    return ids.RequestDigest(int.from_bytes(made.digest()))
