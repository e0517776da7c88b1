"""Builds the entries that simulated runners write to the store."""


def make_entry(service: str, address: str, **overrides: object) -> dict:
    """Returns a runner's entry with every field that runners write.

    Args:
        service: The service that the runner offers.
        address: The runner's host and port.
        overrides: Fields to change, with underscores in their names.
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
    changes = {
        name.replace("_", "-"): value for name, value in overrides.items()
    }
    return {**entry, **changes}
