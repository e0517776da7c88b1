"""Where other instances are found."""

import asyncio

from pollenfork import ids
from pollenfork.gateway import peers
from pollenfork.gateway import settings


# Guards against asking nobody for a newer table, and waiting for the answer,
# after the instance that announced it was passed over.
def test_no_address_belongs_to_this_instance_or_to_no_host() -> None:
    async def run():
        me = settings.Address("10.0.0.1", 7)
        told = settings.GatewaySettings(
            instance=ids.InstanceId("a"),
            data_centre=ids.DataCentre("dc"),
            front=me,
            readiness=me,
            store=me,
            peer=me,
            seeds=(),
        )
        here = peers.Peers(None, told, me)
        assert here.locate("10.0.0.2") == settings.Address("10.0.0.2", 7)
        for host in (None, "", me.host):
            assert here.locate(host) is None

    asyncio.run(run())
