"""What tells the same request from others when it comes again."""

import hashlib

from pollenfork import ids

_BYTES = 8


def make(
    account: ids.AccountId | None, method: bytes, target: bytes, body: bytes
) -> ids.RequestDigest:
    """Returns a request's digest: the same for each attempt, anywhere.

    Other headers are left out, as a caller may change them with each attempt.
    Nobody may find a text that passes for another account's, so this isn't one
    of the faster hashes: it takes some 20 us for a body of 20 KB.

    Args:
        account: Whose request it is; None where its route asks for no key.
        method: The HTTP method.
        target: The path with its query.
        body: The body.
    """
    head = b"%b %b %b " % ((account or "").encode(), method, target)
    # A length before the body: no head may pass for the start of a body.
    head = b"%d %b" % (len(head), head)
    made = hashlib.blake2b(head + body, digest_size=_BYTES)
    return ids.RequestDigest(int.from_bytes(made.digest()))
