"""What the stand-ins of runners write to the platform's store."""


def make_entry(service: str, address: str, **given: object) -> dict:
    """Returns a runner's entry with every field that runners write.

    Args:
        service: The service it offers.
        address: Its host and port.
        given: Fields that differ, by their names with underscores.
    """
    entry = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
    }
    changes = {name.replace("_", "-"): value for name, value in given.items()}
    return {**entry, **changes}
